//! Remembers across processes which software version began a stream (`docs/platform.md`, "Software versions").
//!
//! A caller may take up a stream at any process, also when the one that relayed it is gone. Each process sends the
//! origins of its streams to a few keepers, which all processes choose alike, and asks them about take-ups.

use {
    crate::{
        core::GatewayCore,
        events::ORIGINS_UNSENT,
        feed::FEED_WAIT_MS,
        keys::{MEMBER_PREFIX, MemberRecord},
        peer::{PeerCall, PeerResponse},
    },
    catkindeck::{Moment, id::ObjectName, log_event, message},
    catkindeck_policy::direct::{
        OriginTable, SoftwareVersion, StreamKey, VersionHistory, rendezvous_score,
    },
    futures_util::future::join_all,
    std::{cell::RefCell, cmp::Reverse, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, sleep, timeout},
    },
};

/// The number of processes that keep the origins of each stream.
const KEEPER_LIMIT: usize = 3;

/// The number of other processes that are asked if no keeper knows a stream.
const FALLBACK_LIMIT: usize = 16;

/// How long origins are collected before they are sent. A stream whose process is lost within this time cannot be
/// taken up.
const SEND_DELAY: Duration = Duration::from_millis(5);

/// The time for the keepers to answer. The network delay between hosts is about a millisecond; the rest allows for
/// a busy CPU.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a list is awaited that was read after a stream was taken up: the feed's wait, after an answer that was on
/// its way, and as long again as a busy host takes for a response.
const LIST_TIMEOUT: Duration = Duration::from_millis(FEED_WAIT_MS + 450);

/// How often it is looked whether the list has been read.
const LIST_POLL_PAUSE: Duration = Duration::from_millis(20);

/// The age that the list has at most while the feed works, in milliseconds: the feed's wait and the time between two
/// reads of the leader, 750 ms.
const RECENT_LIST_MS: u64 = FEED_WAIT_MS + 750;

/// How long a stream and the attempts to take it up last at most, as a multiple of the timeout of its route.
const STREAM_SPAN_FACTOR: u64 = 2;

/// The origin of a stream.
#[message]
pub struct OriginRecord {
    pub stream: StreamKey,
    pub software: SoftwareVersion,
}

/// Asks a keeper for the origin of a stream.
#[message]
pub struct OriginQuery {
    pub stream: StreamKey,
    pub service: ObjectName,
    /// The age that the stream may have, in milliseconds.
    pub span_ms: u64,
}

/// A keeper's answer.
#[message]
pub struct OriginAnswer {
    /// The version that began the stream, if it was recorded.
    pub recorded: Option<SoftwareVersion>,
    /// The only version that can have begun a stream of the service.
    pub only: Option<SoftwareVersion>,
}

/// A call between processes about the origins of streams.
#[message]
pub enum OriginCall {
    Record(Vec<OriginRecord>),
    Find(OriginQuery),
}

/// What this process knows of the origins of streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    table: RefCell<OriginTable>,
    pub history: RefCell<VersionHistory>,
    unsent: RefCell<Vec<OriginRecord>>,
    recorded: Notify,
}

impl GatewayCore {
    /// Records that an upstream of a software version has sent an event of a stream.
    pub fn record_origin(&self, stream: StreamKey, software: &SoftwareVersion) {
        let origins = &self.origins;
        let mut table = origins.table.borrow_mut();
        table.record(self.now(), stream, software);
        origins.unsent.borrow_mut().push(OriginRecord {
            stream,
            software: software.clone(),
        });
        origins.recorded.notify_one();
    }

    /// Returns the software version that began a stream of a service, whose route has a timeout; `None` if that
    /// cannot be proved.
    pub async fn find_origin(
        &self,
        stream: StreamKey,
        service: &ObjectName,
        timeout_ms: u64,
    ) -> Option<SoftwareVersion> {
        let arrived = self.now();
        let query = OriginQuery {
            stream,
            service: service.clone(),
            span_ms: timeout_ms.saturating_mul(STREAM_SPAN_FACTOR),
        };
        let own = self.answer_origin_query(&query);
        if own.recorded.is_some() {
            return own.recorded;
        }
        if self.members.borrow().is_empty() {
            // This process has just started.
            let listing = self.ports.store.list(MEMBER_PREFIX).await.ok()?;
            self.set_members(&listing.items);
        }
        let keepers = self.origin_keepers();
        let mut answers = self.ask_for_origin(&keepers, &query).await;
        if !answers.iter().any(|answer| answer.recorded.is_some()) {
            // The keepers may have been other processes when the stream began.
            let mut others = self.peers();
            others.retain(|peer| !keepers.contains(peer));
            others.truncate(FALLBACK_LIMIT);
            answers.extend(self.ask_for_origin(&others, &query).await);
        }
        let mut recorded = answers.iter().filter_map(|answer| answer.recorded.as_ref());
        if let Some(software) = recorded.next() {
            let agree = recorded.all(|other| other == software);
            return agree.then(|| software.clone());
        }
        let only = answers.iter().chain([&own]).map(|answer| &answer.only);
        let only = only.flatten().next()?;
        // A version that joined after the latest read may have begun the stream.
        let is_current = self.await_list_since(arrived).await;
        let history = self.origins.history.borrow();
        (is_current && history.lists_only(service, only)).then(|| only.clone())
    }

    /// Waits until the software versions of a service's upstreams are known well enough to resume a stream, and returns
    /// whether they are. An upstream that started again under its ID may have another version than the list says, which
    /// matters if there are several.
    pub async fn await_versions(&self, service: &ObjectName) -> bool {
        let now = self.now();
        let is_known = {
            let history = self.origins.history.borrow();
            !history.has_several(service) || history.is_read_since(now - RECENT_LIST_MS)
        };
        is_known || self.await_list_since(now).await
    }

    /// Waits for a list that was read since a moment, and returns whether there is one.
    async fn await_list_since(&self, moment: Moment) -> bool {
        let until = Instant::now() + LIST_TIMEOUT;
        loop {
            if self.origins.history.borrow().is_read_since(moment) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            sleep(LIST_POLL_PAUSE).await;
        }
    }

    async fn ask_for_origin(
        &self,
        processes: &[MemberRecord],
        query: &OriginQuery,
    ) -> Vec<OriginAnswer> {
        let call = &PeerCall::Origin(OriginCall::Find(query.clone()));
        let calls = processes.iter().map(|process| async move {
            let call = self.call_peer(process.peer, call, Duration::ZERO);
            match timeout(LOOKUP_TIMEOUT, call).await {
                Ok(Ok(PeerResponse::Origin(answer))) => Some(answer),
                _ => None,
            }
        });
        join_all(calls).await.into_iter().flatten().collect()
    }

    /// Answers a call of another process about origins.
    pub fn answer_origin_call(&self, call: OriginCall) -> PeerResponse {
        match call {
            OriginCall::Record(records) => {
                let now = self.now();
                let mut table = self.origins.table.borrow_mut();
                for record in records {
                    table.record(now, record.stream, &record.software);
                }
                PeerResponse::Done
            }
            OriginCall::Find(query) => PeerResponse::Origin(self.answer_origin_query(&query)),
        }
    }

    /// Sends the origins of this process's streams to the keepers, for the life of the process.
    pub async fn send_origins(self: Rc<Self>) {
        loop {
            self.origins.recorded.notified().await;
            sleep(SEND_DELAY).await;
            let records = std::mem::take(&mut *self.origins.unsent.borrow_mut());
            if records.is_empty() {
                continue;
            }
            let streams = records.len();
            let call = PeerCall::Origin(OriginCall::Record(records));
            for keeper in self.origin_keepers() {
                let (core, call) = (Rc::clone(&self), call.clone());
                // A keeper that does not answer must not delay the others or later origins.
                tokio::task::spawn_local(async move {
                    let response = core.call_peer(keeper.peer, &call, Duration::ZERO).await;
                    if !matches!(response, Ok(PeerResponse::Done)) {
                        log_event!(core.logger, ORIGINS_UNSENT;
                            "keeper" => %keeper.host, "streams" => streams);
                    }
                });
            }
        }
    }

    fn answer_origin_query(&self, query: &OriginQuery) -> OriginAnswer {
        let now = self.now();
        let table = self.origins.table.borrow();
        let history = self.origins.history.borrow();
        OriginAnswer {
            recorded: table.find(now, query.stream).cloned(),
            only: history
                .only_version(now, &query.service, query.span_ms)
                .cloned(),
        }
    }

    /// Returns the other processes that keep origins. Those without callers come first, because the hosts that
    /// callers reach fail together more often, and each from another availability zone if possible.
    fn origin_keepers(&self) -> Vec<MemberRecord> {
        let mut members = self.members.borrow().clone();
        let prefers_capable = self.prefers_capable();
        members.sort_by_cached_key(|member| {
            let host = [member.host.as_str().as_bytes()];
            let is_ranked = prefers_capable && member.serves_callers;
            let rank = is_ranked.then(|| self.shared_rank(member, &host));
            (
                member.serves_callers,
                Reverse(rank),
                rendezvous_score(&host),
            )
        });
        let mut keepers: Vec<MemberRecord> = Vec::new();
        for is_same_zone_allowed in [false, true] {
            for member in &members {
                let is_kept = keepers.iter().any(|keeper| keeper.host == member.host);
                let has_zone = keepers.iter().any(|keeper| keeper.zone == member.zone);
                let is_wanted = is_same_zone_allowed || !has_zone && !member.serves_callers;
                if keepers.len() < KEEPER_LIMIT && !is_kept && is_wanted {
                    keepers.push(member.clone());
                }
            }
        }
        keepers.retain(|keeper| keeper.incarnation != self.incarnation);
        keepers
    }
}
