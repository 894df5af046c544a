//! Tells all processes which upstreams said that they leave (`docs/design/leaving.md`).

use {
    crate::{
        core::GatewayCore,
        events::{LEAVING_UNSENT, UPSTREAM_LEAVING},
        notices::{NoticeCall, NoticeExchange, NoticeSource, SharedNotice},
        peer::{PeerCall, PeerResponse},
        port::UpstreamHead,
        store_sync::READ_INTERVAL,
    },
    catkindeck::{Moment, id::ObjectName, log::LogEvent, log_event},
    catkindeck_policy::direct::{LeavingNotice, UpstreamKey},
    http::StatusCode,
};

impl SharedNotice for LeavingNotice {
    const UNSENT: LogEvent = LEAVING_UNSENT;

    fn exchange(core: &GatewayCore) -> &NoticeExchange<Self> {
        &core.leaving
    }

    fn known(core: &GatewayCore) -> Vec<Self> {
        core.roster.borrow().leaving_notices()
    }

    fn record(&self, core: &GatewayCore, source: NoticeSource) -> bool {
        let is_new = core.roster.borrow_mut().record_leaving(self);
        if is_new {
            let roster = core.roster.borrow();
            let state = roster.current(&self.id).map(|key| roster.get(key));
            log_event!(core.logger, UPSTREAM_LEAVING;
                "upstream" => %self.id, "born_ms" => self.born_ms, "source" => source.name(),
                "service" => state.map(|state| state.record.service.to_string()),
                "in_flight" => state.map(|state| state.in_flight));
        }
        is_new
    }

    /// The times of a notice are of the upstream's instance and do not age.
    fn aged(self, _elapsed_ms: u64) -> Self {
        self
    }

    fn into_call(call: NoticeCall<Self>) -> PeerCall {
        PeerCall::Leaving(call)
    }

    fn into_response(notices: Vec<Self>) -> PeerResponse {
        PeerResponse::Leaving(notices)
    }

    fn from_response(response: PeerResponse) -> Option<Vec<Self>> {
        match response {
            PeerResponse::Leaving(notices) => Some(notices),
            _ => None,
        }
    }
}

impl GatewayCore {
    /// Learns from the response to a request sent at `sent` whether an upstream leaves.
    ///
    /// The request named the upstream, and any other rejects it with status 421, so every other response is its own.
    pub fn observe_leaving(&self, key: UpstreamKey, sent: Moment, head: &UpstreamHead) {
        if !head.leaving || head.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let asked_ms = self.unix_ms().saturating_sub(self.now().since(sent));
        let notice = {
            let roster = self.roster.borrow();
            let record = &roster.get(key).record;
            LeavingNotice {
                id: record.id.clone(),
                born_ms: record.born_ms,
                asked_ms,
            }
        };
        self.share_notice(notice, NoticeSource::Response);
    }

    /// Returns the time until replacements for the upstreams of a service can be known, in milliseconds; zero if some
    /// take work or none leaves.
    pub fn replacement_wait_ms(&self, service: &ObjectName) -> u64 {
        let roster = self.roster.borrow();
        if !roster.is_left(service) {
            return 0;
        }
        let interval_ms = u64::try_from(READ_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        interval_ms.saturating_sub(roster.age(self.now()).unwrap_or(0))
    }
}
