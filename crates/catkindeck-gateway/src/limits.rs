//! Keeps all processes together within the limits that upstreams name (`docs/platform.md`, "Named limits").
//!
//! Every process reports to the leader what it learns from responses, and asks it for permits when it has a
//! request for a limited upstream. The leader divides each limit and notifies all processes of changes.

use {
    crate::{
        core::GatewayCore,
        events::{INTENT_FAULT, LIMIT_DETACHED, MAINTENANCE_FAILED, UPSTREAM_LIMITED},
        keys::{self, LEADER_KEY, LIMITS_KEY, MemberRecord},
        peer::{PeerCall, PeerResponse},
        port::{StoreCondition, StoreWrite, Transaction},
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError, SortedMap,
        id::{IncarnationId, ObjectName},
        log_event, message,
    },
    catkindeck_policy::direct::{
        LimitHeader, PermitAllocator, RequestRate, UpstreamKey, rendezvous_score,
    },
    http::{HeaderMap, StatusCode},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep, sleep_until, timeout_at},
    },
};

/// How often a process that is not in touch with the leader tries to reach it.
const DETACHED_INTERVAL: Duration = Duration::from_millis(250);

/// How long a leader that did not answer is not asked again, in milliseconds.
const LOST_LEADER_PAUSE_MS: u64 = 1_000;

/// The number of processes that may stand in for the leader.
const STAND_IN_LIMIT: usize = 3;

/// The longest time for which a request waits for a permit. A caller that is told when to come back can use it
/// as well.
const PERMIT_WAIT: Duration = Duration::from_millis(150);

/// The share of a request's remaining time for which it may wait for a permit.
const PERMIT_WAIT_DIVISOR: u32 = 4;

/// The most permits that a process requests at once for one upstream.
const DEMAND_LIMIT: u32 = 4;

/// How long a process waits before it asks again for permits of an upstream that the leader does not know yet, in
/// milliseconds. Lists of upstreams are read every 750 ms.
const UNKNOWN_INSTANCE_WAIT_MS: u64 = 100;

/// How long changed limits are collected before they are stored.
const SAVE_DELAY: Duration = Duration::from_millis(200);

/// The pause before limits that could not be stored are stored again.
const SAVE_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// How long leadership counts as confirmed after each check of the lease, in milliseconds.
pub const ALLOCATION_CONFIRMED_MS: u64 = 300;

/// One instance of an upstream. A restart may keep the ID.
#[message]
pub struct UpstreamInstance {
    pub id: ObjectName,
    pub born_ms: u64,
}

/// What a process knows about the limit of an upstream.
#[message]
pub struct LimitNotice {
    pub upstream: UpstreamInstance,
    /// The limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// The age of the evidence, in milliseconds.
    pub age_ms: u64,
}

/// Reports limits to the leader and requests permits.
#[message]
pub struct PermitRequest {
    pub observed: Vec<LimitNotice>,
    /// The upstreams for which the sender has requests, with their number.
    pub wanted: Vec<(UpstreamInstance, u32)>,
    /// Whether the sender needs all limits, because it does not know what this leader knows.
    pub needs_all: bool,
}

/// A call between processes about limits.
#[message]
pub enum LimitCall {
    /// Reports limits to the leader and requests permits.
    Permits(PermitRequest),
    /// Requests permits in place of the leader, which the sender cannot reach.
    StandIn(PermitRequest),
    /// Announces limits that changed.
    Announcement(Vec<LimitNotice>),
}

#[message]
pub struct PermitReply {
    /// All limits in force, if the sender needed them.
    pub limits: Vec<LimitNotice>,
    pub grants: Vec<PermitGrant>,
}

#[message]
pub struct PermitGrant {
    pub upstream: UpstreamInstance,
    pub count: u32,
    /// The time until the next permit if none was granted, in milliseconds.
    pub wait_ms: u64,
}

/// The state of this process in the exchange of limits and permits.
#[derive(Debug, Default)]
pub struct LimitExchange {
    /// The number of permits to request.
    wanted: RefCell<SortedMap<UpstreamKey, u32>>,
    /// The limits of which the leader may not know.
    unreported: RefCell<SortedMap<UpstreamKey, ()>>,
    /// The limits that changed at this process as the leader, of which the others do not know.
    unannounced: RefCell<SortedMap<UpstreamKey, ()>>,
    /// Limits of instances that are not in this process's list yet, with the time of the evidence.
    pending: RefCell<Vec<(UpstreamInstance, Moment, Option<RequestRate>)>>,
    /// Whether the limits that were known before this process started are applied or pending.
    is_loaded: Cell<bool>,
    /// Notified when limits changed at this process as the leader and are to be stored.
    unsaved: Notify,
    /// Notified when there is something to report or to request.
    wake: Notify,
    /// Notified when the leader has answered, or cannot be reached.
    answered: Notify,
    /// Divides the limits while this process is the leader.
    pub allocator: RefCell<PermitAllocator>,
    /// The leader that knows what this process knows, and vice versa.
    synced: Cell<Option<IncarnationId>>,
    /// The leader that did not answer, and when.
    lost: Cell<Option<(Option<IncarnationId>, Moment)>>,
    /// Whether the loss of the leader was logged.
    is_detached: Cell<bool>,
    /// Whether a request for permits is under way.
    is_requesting: Cell<bool>,
}

impl LimitExchange {
    /// Wakes the exchange, because the leader may be a different process now.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    fn want(&self, key: UpstreamKey) {
        let mut wanted = self.wanted.borrow_mut();
        let count = wanted.get_or_insert_with(key, || 0);
        *count = (*count + 1).min(DEMAND_LIMIT);
        self.wake.notify_one();
    }

    /// Returns whether a leader did not answer just now, so that waiting for it again is pointless.
    fn is_lost(&self, now: Moment, leader: Option<IncarnationId>) -> bool {
        let lost = self.lost.get();
        lost.is_some_and(|(lost, at)| lost == leader && now.since(at) < LOST_LEADER_PAUSE_MS)
    }

    fn has_news(&self) -> bool {
        !self.wanted.borrow().is_empty()
            || !self.unreported.borrow().is_empty()
            || !self.unannounced.borrow().is_empty()
    }
}

impl GatewayCore {
    /// Applies what a response to a request sent at `sent` says about the limit of an upstream.
    pub fn observe_limit(&self, key: UpstreamKey, sent: Moment, header: LimitHeader) {
        let now = self.now();
        let is_changed = {
            let mut roster = self.roster.borrow_mut();
            roster.get_mut(key).limit.observe(now, sent, header)
        };
        if is_changed {
            self.handle_limit_change(key);
            self.limits.unreported.borrow_mut().insert(key, ());
            self.limits.wake();
        }
    }

    /// Applies what an upstream says about itself in its response to an order or to a request for a report. Such a
    /// response that names no limit does not end one, because it does not prove which upstream sent it.
    pub fn observe_order_head(
        &self,
        key: UpstreamKey,
        sent: Moment,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let head = self.ports.upstreams.decode_head(status, headers);
        let is_own = status != StatusCode::MISDIRECTED_REQUEST;
        if is_own && head.limit != LimitHeader::Absent {
            self.observe_limit(key, sent, head.limit);
        }
        self.observe_leaving(key, sent, &head);
    }

    /// Requests a permit for an upstream that is usable but for its limit.
    pub fn request_permit(&self, key: Option<UpstreamKey>) {
        if let Some(key) = key {
            self.limits.want(key);
        }
    }

    /// Returns until when a request that expires at `expires` may wait for a permit.
    pub fn permit_deadline(&self, expires: Instant) -> Instant {
        let left = expires.saturating_duration_since(Instant::now());
        Instant::now() + PERMIT_WAIT.min(left / PERMIT_WAIT_DIVISOR)
    }

    /// Waits until a requested permit may have arrived. Returns `false` at once if no permit is under way or due
    /// before `until`, so that a request that cannot be served is refused without delay.
    pub async fn await_permit(&self, service: &ObjectName, until: Instant) -> bool {
        if self.limits.is_requesting.get() || !self.limits.wanted.borrow().is_empty() {
            return timeout_at(until, self.limits.answered.notified())
                .await
                .is_ok();
        }
        let now = self.now();
        let next = self.roster.borrow().next_permit(now, service);
        let Some(next) = next else { return false };
        let due = Instant::now() + Duration::from_millis(next.since(now));
        if due > until {
            return false;
        }
        sleep_until(due).await;
        true
    }

    /// Answers a call of another process about limits.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if permits are requested from this process as the leader and it does not divide the limits.
    pub fn answer_limit_call(&self, call: LimitCall) -> Result<PeerResponse, ServiceError> {
        match call {
            LimitCall::Permits(request) => self.grant_permits(&request).map(PeerResponse::Permits),
            LimitCall::StandIn(request) => {
                Ok(PeerResponse::Permits(self.grant_as_stand_in(&request)))
            }
            LimitCall::Announcement(notices) => {
                self.apply_limits(&notices);
                Ok(PeerResponse::Done)
            }
        }
    }

    /// Applies limits that the leader announced.
    fn apply_limits(&self, notices: &[LimitNotice]) {
        let now = self.now();
        for notice in notices {
            self.apply_limit(&notice.upstream, now - notice.age_ms, notice.rate);
        }
    }

    /// Applies the limits that arrived before the upstreams were in this process's list. Must be called after each
    /// change of the list and before the upstreams are used.
    pub fn apply_pending_limits(&self) {
        let pending = self.limits.pending.take();
        for (upstream, at, rate) in pending {
            // An instance that is still missing has left, and a later one has no limit yet.
            if self.instance_key(&upstream).is_some() {
                self.apply_limit(&upstream, at, rate);
            }
        }
    }

    /// Applies a limit and returns the key of the upstream if it changed.
    fn apply_limit(
        &self,
        upstream: &UpstreamInstance,
        at: Moment,
        rate: Option<RequestRate>,
    ) -> Option<UpstreamKey> {
        let Some(key) = self.instance_key(upstream) else {
            let mut pending = self.limits.pending.borrow_mut();
            pending.push((upstream.clone(), at, rate));
            return None;
        };
        let is_changed = {
            let mut roster = self.roster.borrow_mut();
            roster.get_mut(key).limit.apply(at, rate)
        };
        if is_changed {
            self.handle_limit_change(key);
        }
        is_changed.then_some(key)
    }

    /// Reads the limits that were known before this process started, once. Without them, a restarted process would
    /// exceed limits until it has a response from each upstream.
    ///
    /// # Errors
    ///
    /// Returns the error of the store.
    pub async fn load_limits(&self) -> Result<(), ServiceError> {
        if self.limits.is_loaded.get() {
            return Ok(());
        }
        let response = self.ports.store.read(LIMITS_KEY).await?;
        let notices = response
            .item
            .map(|item| keys::decode_item::<Vec<LimitNotice>>(&item));
        match notices {
            Some(Ok(notices)) => self.apply_limits(&notices),
            Some(Err(error)) => log_event!(self.logger, INTENT_FAULT;
                "key" => LIMITS_KEY, "detail" => error.detail),
            None => {}
        }
        self.limits.is_loaded.set(true);
        Ok(())
    }

    /// Fetches all limits from the leader unless some were loaded before.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn fetch_limits(&self, leader: &MemberRecord) -> Result<(), ServiceError> {
        match self.limits.is_loaded.get() {
            true => Ok(()),
            false => {
                let request = self.take_request(true);
                self.request_permits(leader, request).await
            }
        }
    }

    /// Stores the limits in force whenever they change, while this process is the leader with a fencing token.
    pub async fn save_limits(self: Rc<Self>, fence: u64) {
        loop {
            self.limits.unsaved.notified().await;
            // Upstreams in need usually name their limits at the same time.
            sleep(SAVE_DELAY).await;
            while let Err(error) = self.write_limits(fence).await {
                log_event!(self.logger, MAINTENANCE_FAILED;
                    "work" => "limits", "detail" => error.detail);
                sleep(SAVE_RETRY_PAUSE).await;
            }
        }
    }

    async fn write_limits(&self, fence: u64) -> Result<(), ServiceError> {
        let transaction = Transaction {
            conditions: vec![StoreCondition {
                key: LEADER_KEY.to_owned(),
                revision: fence,
            }],
            writes: vec![StoreWrite {
                key: LIMITS_KEY.to_owned(),
                value: keys::encode(&self.limits_in_force())?,
                lease: None,
            }],
            removals: Vec::new(),
        };
        // A conflict means that another process is the leader now and stores what it knows.
        self.ports.store.commit(&transaction).await.map(drop)
    }

    /// Answers a request for permits as the leader.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if this process does not divide the limits, because it was never the leader or knows of a
    /// different one.
    fn grant_permits(&self, request: &PermitRequest) -> Result<PermitReply, ServiceError> {
        if !self.divides_limits() {
            return Err(ServiceError::not_run(
                ErrorKind::Fenced,
                "this process does not divide the limits of upstreams",
            ));
        }
        Ok(self.answer_request(request))
    }

    fn answer_request(&self, request: &PermitRequest) -> PermitReply {
        let now = self.now();
        for notice in &request.observed {
            let at = now - notice.age_ms;
            if let Some(key) = self.apply_limit(&notice.upstream, at, notice.rate) {
                // The leader announces it; a stand-in passes it on to the leader.
                self.limits.unreported.borrow_mut().insert(key, ());
                self.limits.wake();
            }
        }
        let mut grants = Vec::with_capacity(request.wanted.len());
        for (upstream, wanted) in &request.wanted {
            let (count, wait_ms) = match self.instance_key(upstream) {
                Some(key) => self.grant(now, key, *wanted),
                // This process has an older list of upstreams than the sender.
                None => (0, UNKNOWN_INSTANCE_WAIT_MS),
            };
            grants.push(PermitGrant {
                upstream: upstream.clone(),
                count,
                wait_ms,
            });
        }
        let limits = match request.needs_all {
            true => self.limits_in_force(),
            false => Vec::new(),
        };
        PermitReply { limits, grants }
    }

    /// Takes a permit for an order of the leader. Returns `false` if none is available.
    pub fn take_order_permit(&self, key: UpstreamKey) -> bool {
        self.grant(self.now(), key, 1).0 > 0
    }

    /// Charges a limit for a request that the leader sends regardless of it, such as one for a report.
    pub fn charge_limit(&self, key: UpstreamKey) {
        let in_force = self.roster.borrow().get(key).limit.in_force();
        if let Some(limit) = in_force {
            let mut allocator = self.limits.allocator.borrow_mut();
            allocator.charge(self.now(), key, limit);
        }
    }

    /// Exchanges limits and permits with the leader, for the life of the process.
    pub async fn exchange_limits(self: Rc<Self>) {
        loop {
            let is_attached = self.limits.synced.get().is_some();
            tokio::select! {
                () = self.limits.wake.notified() => {}
                () = sleep(DETACHED_INTERVAL), if !is_attached => {}
            }
            let leader = self.leader.borrow().clone();
            let synced = leader.as_ref().map(|leader| leader.incarnation);
            let is_synced = synced.is_some() && self.limits.synced.get() == synced;
            if is_synced && !self.limits.has_news() {
                continue;
            }
            if self.divides_limits() {
                self.serve_itself(synced);
                continue;
            }
            self.limits.is_requesting.set(true);
            let request = self.take_request(!is_synced);
            let is_lost = self.limits.is_lost(self.now(), synced);
            let outcome = match leader.filter(|_| !is_lost) {
                Some(leader) => self.request_permits(&leader, request.clone()).await,
                None => Err(ServiceError::not_run(
                    ErrorKind::PeerUnavailable,
                    "no leader is known or it did not answer just now",
                )),
            };
            if let Err(error) = outcome {
                self.record_lost_leader(synced, &error);
                // The limits that were not reported are kept for the leader.
                let _ = self.request_from_stand_in(synced, request).await;
            }
            self.limits.is_requesting.set(false);
            self.limits.answered.notify_waiters();
            self.capacity.notify_one();
        }
    }

    /// Records that the leader cannot be reached.
    fn record_lost_leader(&self, leader: Option<IncarnationId>, error: &ServiceError) {
        self.limits.synced.set(None);
        let now = self.now();
        if !self.limits.is_lost(now, leader) {
            self.limits.lost.set(Some((leader, now)));
        }
        let limited = self.roster.borrow().limited();
        if limited > 0 && !self.limits.is_detached.replace(true) {
            log_event!(self.logger, LIMIT_DETACHED;
                "upstreams" => limited, "detail" => &error.detail);
        }
    }

    /// Grants this process's own permits as the leader, and announces changed limits.
    fn serve_itself(self: &Rc<Self>, synced: Option<IncarnationId>) {
        let request = self.take_request(false);
        let unreported = std::mem::take(&mut *self.limits.unreported.borrow_mut());
        for key in unreported.keys() {
            self.limits.unannounced.borrow_mut().insert(*key, ());
        }
        if let Ok(reply) = self.grant_permits(&request) {
            self.apply_grants(&reply.grants);
        }
        self.limits.synced.set(synced);
        self.limits.is_detached.set(false);
        self.announce_limits();
        self.limits.answered.notify_waiters();
        self.capacity.notify_one();
    }

    async fn request_permits(
        &self,
        leader: &MemberRecord,
        request: PermitRequest,
    ) -> Result<(), ServiceError> {
        // A limit that changes again during the call has to be reported again.
        let reported = std::mem::take(&mut *self.limits.unreported.borrow_mut());
        let call = PeerCall::Limit(LimitCall::Permits(request));
        let response = self
            .call_peer_with_fallback(leader, &call, Duration::ZERO)
            .await;
        let error = match response {
            Ok(PeerResponse::Permits(reply)) => {
                self.apply_reply(leader, &reply);
                return Ok(());
            }
            Ok(PeerResponse::Refused(error)) | Err(error) => error,
            Ok(_) => ServiceError::unknown(
                ErrorKind::PeerUnavailable,
                "the leader answered a request for permits with another type",
            ),
        };
        let mut unreported = self.limits.unreported.borrow_mut();
        for key in reported.keys() {
            unreported.insert(*key, ());
        }
        Err(error)
    }

    fn apply_reply(&self, leader: &MemberRecord, reply: &PermitReply) {
        self.apply_limits(&reply.limits);
        self.apply_grants(&reply.grants);
        self.limits.synced.set(Some(leader.incarnation));
        self.limits.is_loaded.set(true);
        self.limits.is_detached.set(false);
        self.limits.lost.set(None);
    }

    /// Builds the next request; what it wants counts as requested.
    fn take_request(&self, needs_all: bool) -> PermitRequest {
        let wanted = std::mem::take(&mut *self.limits.wanted.borrow_mut());
        let wanted = wanted
            .iter()
            .map(|(key, count)| (self.instance(*key), *count));
        let wanted = wanted.collect();
        let unreported = self.limits.unreported.borrow();
        let mut observed: Vec<LimitNotice> =
            unreported.keys().map(|key| self.notice(*key)).collect();
        if needs_all {
            // A new leader may not know what this process has learned.
            observed.extend(self.limits_in_force());
        }
        PermitRequest {
            observed,
            wanted,
            needs_all,
        }
    }

    fn apply_grants(&self, grants: &[PermitGrant]) {
        let now = self.now();
        for grant in grants {
            if let Some(key) = self.instance_key(&grant.upstream) {
                let mut roster = self.roster.borrow_mut();
                let permits = &mut roster.get_mut(key).permits;
                permits.apply_grant(now, grant.count, grant.wait_ms);
            }
        }
    }

    /// Returns the processes that may stand in for a leader that cannot be reached, the first choice first.
    ///
    /// All processes choose the same ones from the same list of processes: those without callers if there are any,
    /// because the others fail together more often.
    pub fn stand_ins(&self, leader: Option<IncarnationId>) -> Vec<MemberRecord> {
        let mut candidates = self.members.borrow().clone();
        candidates.retain(|member| Some(member.incarnation) != leader);
        candidates.sort_by_key(|member| {
            let host = member.host.as_str().as_bytes();
            (member.serves_callers, rendezvous_score(&[host]))
        });
        candidates.truncate(STAND_IN_LIMIT);
        candidates
    }

    /// Requests permits from the process that stands in for a leader that cannot be reached.
    async fn request_from_stand_in(
        self: &Rc<Self>,
        leader: Option<IncarnationId>,
        request: PermitRequest,
    ) -> Result<(), ServiceError> {
        let candidates = self.stand_ins(leader);
        let call = PeerCall::Limit(LimitCall::StandIn(request.clone()));
        for member in &candidates {
            if member.incarnation == self.incarnation {
                break;
            }
            let response = self.call_peer(member.peer, &call, Duration::ZERO).await;
            if let Ok(PeerResponse::Permits(reply)) = response {
                self.apply_grants(&reply.grants);
                return Ok(());
            }
        }
        let is_candidate = candidates
            .iter()
            .any(|member| member.incarnation == self.incarnation);
        if !is_candidate && !candidates.is_empty() {
            return Err(ServiceError::not_run(
                ErrorKind::PeerUnavailable,
                "neither the leader nor a process that stands in for it answers",
            ));
        }
        let reply = self.grant_as_stand_in(&request);
        self.apply_grants(&reply.grants);
        Ok(())
    }

    /// Answers a request for permits in place of a leader that the sender cannot reach.
    fn grant_as_stand_in(&self, request: &PermitRequest) -> PermitReply {
        let now = self.now();
        self.limits.allocator.borrow_mut().stand_in(now);
        self.answer_request(request)
    }

    /// Returns whether this process divides the limits: it is the leader, or was it last and knows of no other.
    fn divides_limits(&self) -> bool {
        let leader = self.leader.borrow();
        let is_other = leader
            .as_ref()
            .is_some_and(|leader| leader.incarnation != self.incarnation);
        self.limits.allocator.borrow().is_started() && !is_other
    }

    fn grant(&self, now: Moment, key: UpstreamKey, wanted: u32) -> (u32, u64) {
        let in_force = self.roster.borrow().get(key).limit.in_force();
        match in_force {
            Some(limit) => {
                let mut allocator = self.limits.allocator.borrow_mut();
                allocator.grant(now, key, limit, wanted.min(DEMAND_LIMIT))
            }
            // The limit has ended, which the sender learns from the announcement.
            None => (wanted, 0),
        }
    }

    /// Notifies all processes of the limits that changed.
    fn announce_limits(self: &Rc<Self>) {
        let changed = std::mem::take(&mut *self.limits.unannounced.borrow_mut());
        let notices: Vec<LimitNotice> = changed.keys().map(|key| self.notice(*key)).collect();
        if notices.is_empty() {
            return;
        }
        self.limits.unsaved.notify_one();
        for member in self.peers() {
            let core = Rc::clone(self);
            let call = PeerCall::Limit(LimitCall::Announcement(notices.clone()));
            // A process that misses the announcement learns the limit from the first response.
            tokio::task::spawn_local(async move {
                let _ = core.call_peer(member.peer, &call, Duration::ZERO).await;
            });
        }
    }

    fn handle_limit_change(&self, key: UpstreamKey) {
        let now = self.now();
        let roster = self.roster.borrow();
        let state = roster.get(key);
        log_event!(self.logger, UPSTREAM_LIMITED;
            "upstream" => %state.record.id, "service" => %state.record.service,
            "per_second" => state.limit.rate().map(|rate| rate.to_string()),
            "in_flight" => state.in_flight, "sent_last_second" => state.rate.recent(now));
        drop(roster);
        self.capacity.notify_one();
    }

    fn limits_in_force(&self) -> Vec<LimitNotice> {
        let roster = self.roster.borrow();
        let limited = roster
            .iter()
            .filter(|(_, state)| state.limit.rate().is_some());
        let keys: Vec<UpstreamKey> = limited.map(|(key, _)| key).collect();
        drop(roster);
        keys.into_iter().map(|key| self.notice(key)).collect()
    }

    fn notice(&self, key: UpstreamKey) -> LimitNotice {
        let limit = self.roster.borrow().get(key).limit;
        LimitNotice {
            upstream: self.instance(key),
            rate: limit.rate(),
            age_ms: self.now().since(limit.evidence_at()),
        }
    }

    fn instance(&self, key: UpstreamKey) -> UpstreamInstance {
        let roster = self.roster.borrow();
        let record = &roster.get(key).record;
        UpstreamInstance {
            id: record.id.clone(),
            born_ms: record.born_ms,
        }
    }

    /// Returns the key of an instance, if it is the current one of its upstream.
    fn instance_key(&self, instance: &UpstreamInstance) -> Option<UpstreamKey> {
        let roster = self.roster.borrow();
        let key = roster.current(&instance.id)?;
        (roster.get(key).record.born_ms == instance.born_ms).then_some(key)
    }
}
