//! The use of an upstream by one request.

use {
    crate::{core::GatewayCore, port::UpstreamHead, watched_run::SendState},
    catkindeck::{Moment, id::ObjectName},
    catkindeck_net::SendError,
    catkindeck_policy::direct::{
        EngineQuery, LimitHeader, PlainQuery, RateLimits, SoftwareVersion, TextDemand, UpstreamKey,
    },
    http::StatusCode,
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

/// The share of a cold upstream's tolerated rate that this process sends to an upstream that it believes to
/// be warm, in percent. With less than half each, two processes together stay within the tolerance if the
/// upstream is in fact cold.
const COLD_RATE_SHARE_PERCENT: u64 = 45;

/// Counts a request as in progress at an upstream until the guard is dropped.
pub struct UpstreamGuard {
    core: Rc<GatewayCore>,
    /// Identifies the run of the upstream.
    pub key: UpstreamKey,
    pub id: ObjectName,
    pub address: SocketAddr,
    /// The version of the upstream's software.
    pub software: SoftwareVersion,
    /// When the request was assigned to the upstream, which is not later than when it was sent.
    pub begun: Moment,
    /// Whether the request was sent.
    pub send: Rc<SendState>,
    /// Whether the request counts for the latency of a plain upstream until it is answered.
    is_timed: Cell<bool>,
}

impl UpstreamGuard {
    /// Selects a plain upstream, of a software version if one is given, and counts a request there. Returns `None` if none is available.
    pub fn acquire_plain(
        core: &Rc<GatewayCore>,
        service: &ObjectName,
        software: Option<&SoftwareVersion>,
        excluded: &[UpstreamKey],
    ) -> Option<Self> {
        let settings = core.settings();
        let query = PlainQuery {
            service,
            avoids_slow: core.shares_plain_room(),
            avoids_full: core.uses_capacity(),
            software,
            excluded,
            zone: &settings.zone,
            connected: &|address| core.upstream_client.has_idle(address),
        };
        let limits = rate_limits(core, service);
        let now = core.now();
        let roster = core.roster.borrow();
        let selected = roster.select_plain(now, &query, limits);
        let Some(key) = selected else {
            core.request_permit(roster.select_limited_plain(now, &query, limits));
            return None;
        };
        if roster.get(key).is_half_full() {
            core.request_permit(roster.select_limited_plain(now, &query, limits));
        }
        drop(roster);
        Some(Self::begin(core, key))
    }

    /// Selects an engine and counts a request there. With `text`, the engine is the one at which that text is
    /// predicted to be complete first. Returns `None` if none is available.
    pub fn acquire_engine(
        core: &Rc<GatewayCore>,
        query: &EngineQuery<'_>,
        text: Option<TextDemand>,
    ) -> Option<Self> {
        // An item that finds no connection would count against its engine.
        if !core.upstream_client.has_room() {
            return None;
        }
        let limits = rate_limits(core, query.service);
        let now = core.now();
        let roster = core.roster.borrow();
        let selected = match text {
            Some(text) => roster.select_engine_for_text(now, query, text, limits),
            None => roster.select_engine(now, query, limits),
        };
        let select_limited = || match text {
            Some(text) => roster.select_limited_engine_for_text(now, query, text, limits),
            None => roster.select_limited_engine(now, query, limits),
        };
        let Some(key) = selected else {
            core.request_permit(select_limited());
            return None;
        };
        if roster.get(key).is_half_full() {
            core.request_permit(select_limited());
        }
        drop(roster);
        Some(Self::begin(core, key))
    }

    fn begin(core: &Rc<GatewayCore>, key: UpstreamKey) -> Self {
        let now = core.now();
        let mut roster = core.roster.borrow_mut();
        let state = roster.get_mut(key);
        state.record_request(now);
        Self {
            core: Rc::clone(core),
            key,
            id: state.record.id.clone(),
            address: state.record.address,
            software: state.record.software.clone(),
            begun: now,
            send: Rc::default(),
            is_timed: Cell::new(false),
        }
    }

    /// Returns whether a request may still be sent to the upstream, which may have said in the meantime that it
    /// leaves. The place for the request may also have ended while this process was paused.
    pub fn may_send(&self) -> bool {
        let roster = self.core.roster.borrow();
        !roster.is_leaving(self.key) && !roster.get(self.key).exceeds_places(self.core.now())
    }

    /// As [`Self::may_send`], directly before the request is written.
    pub fn permit_send(&self) -> bool {
        let may_send = self.may_send();
        self.send.is_sent.set(may_send);
        may_send
    }

    /// Returns whether a request was not sent because the upstream leaves or its place has ended. It costs neither an attempt nor a pause.
    pub fn was_withheld(&self, fault: &SendError) -> bool {
        let was_withheld = !fault.maybe_received && !self.may_send();
        self.core
            .metrics
            .load
            .withheld
            .inc_by(u64::from(was_withheld));
        was_withheld
    }

    /// Learns what a response says about the upstream itself: its limit, whether it leaves, and that it lives.
    pub fn observe_head(&self, head: &UpstreamHead) {
        self.observe_limit(head);
        self.core.observe_leaving(self.key, self.begun, head);
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            self.core.observe_life(self.key, self.begun);
        }
    }

    /// Learns from a response whether the upstream limits the requests of all processes together.
    ///
    /// A response with status 421 may come from another upstream that uses the address now.
    fn observe_limit(&self, head: &UpstreamHead) {
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let is_own = head.stamp.is_some() || head.limit != LimitHeader::Absent;
        if is_own {
            self.core.observe_limit(self.key, self.begun, head.limit);
        }
    }

    /// Records that the upstream failed.
    pub fn record_failure(&self) {
        let now = self.core.now();
        self.core
            .roster
            .borrow_mut()
            .get_mut(self.key)
            .record_failure(now);
    }

    /// Records that the upstream refused a request without running it; it is not selected for `pause_ms`
    /// milliseconds.
    pub fn record_refusal(&self, pause_ms: u64) {
        let now = self.core.now();
        let mut roster = self.core.roster.borrow_mut();
        roster.get_mut(self.key).start_backoff(now, pause_ms);
    }

    /// Counts the request for the latency of a plain upstream until its response is read.
    pub fn start_timing(&self) {
        self.is_timed.set(true);
        let mut roster = self.core.roster.borrow_mut();
        roster.get_mut(self.key).plain.begin(self.begun);
    }

    /// Stops counting the request for the latency, because its end says nothing about the upstream.
    pub fn stop_timing(&self) {
        if self.is_timed.replace(false) {
            let mut roster = self.core.roster.borrow_mut();
            roster.get_mut(self.key).plain.end(self.begun);
        }
    }

    /// Records that the upstream answered a plain request. A failure says nothing about its speed.
    pub fn record_answer(&self, elapsed: Duration, is_failure: bool) {
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let now = self.core.now();
        self.stop_timing();
        let mut roster = self.core.roster.borrow_mut();
        let state = roster.get_mut(self.key);
        state.record_response();
        state.record_latency(elapsed_us);
        if !is_failure {
            state.plain.record_latency(now, elapsed_us);
        }
    }

    /// Records that the upstream answered.
    pub fn record_success(&self) {
        self.core
            .roster
            .borrow_mut()
            .get_mut(self.key)
            .record_response();
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        let mut roster = self.core.roster.borrow_mut();
        let state = roster.get_mut(self.key);
        state.in_flight = state.in_flight.saturating_sub(1);
        if self.is_timed.get() {
            state.plain.abandon(self.core.now(), self.begun);
        }
        self.core.capacity.notify_one();
    }
}

/// Returns the number of requests per second that this process may send to one upstream of a service.
pub fn rate_limits(core: &GatewayCore, service: &ObjectName) -> RateLimits {
    let intent = core.intent.borrow();
    let Some(service) = intent.service(service) else {
        return RateLimits::NONE;
    };
    let rate_per_ks = u64::from(service.direct.cold_requests_per_ks);
    if rate_per_ks == 0 {
        return RateLimits::NONE;
    }
    let bounds = core.settings().bounds;
    let tolerated = rate_per_ks * bounds.cold_overshoot_percent / 100_000 + bounds.cold_slack;
    let warm = (tolerated * COLD_RATE_SHARE_PERCENT / 100).max(1);
    RateLimits {
        warm: usize::try_from(warm).unwrap_or(usize::MAX),
        // A cold upstream's rate cannot be divided without knowing how much the other processes send.
        cold: 0,
    }
}
