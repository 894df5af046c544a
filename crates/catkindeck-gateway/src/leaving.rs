//! Tells all processes which upstreams said that they leave (`docs/design/leaving.md`).
//!
//! Each process learns from its own responses and reports to the leader, which announces the news to all. Without a
//! leader, a process that stands in for it does so.

use {
    crate::{
        core::GatewayCore,
        events::{LEAVING_UNSENT, UPSTREAM_LEAVING},
        keys::MemberRecord,
        peer::{PeerCall, PeerResponse},
        port::UpstreamHead,
        store_sync::READ_INTERVAL,
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        id::{IncarnationId, ObjectName},
        log_event, message,
    },
    catkindeck_policy::direct::{LeavingNotice, UpstreamKey},
    http::StatusCode,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
};

/// The pause after an exchange that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// A call between processes about upstreams that leave.
#[message]
pub enum LeavingCall {
    /// Reports notices to the leader, or to a process that stands in for it, and requests all that it knows.
    Report(Vec<LeavingNotice>),
    /// Announces notices to a process.
    Announcement(Vec<LeavingNotice>),
}

/// The state of this process in the exchange of notices.
#[derive(Debug, Default)]
pub struct LeavingExchange {
    /// The notices of which no leader may know.
    unreported: RefCell<Vec<LeavingNotice>>,
    /// The leader that knows what this process knew when it became the leader, and vice versa.
    synced: Cell<Option<IncarnationId>>,
    /// Whether the last exchange failed, which was logged.
    is_failing: Cell<bool>,
    /// Notified when there is something to tell, or the leader may be a different process.
    wake: Notify,
}

impl LeavingExchange {
    /// Wakes the exchange, because the leader may be a different process now.
    pub fn wake(&self) {
        self.wake.notify_one();
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
        if self.record_leaving(&notice, "response") {
            self.leaving.unreported.borrow_mut().push(notice);
            self.leaving.wake();
        }
    }

    /// Records a notice and returns whether it was news.
    fn record_leaving(&self, notice: &LeavingNotice, source: &str) -> bool {
        let is_new = self.roster.borrow_mut().record_leaving(notice);
        if is_new {
            let roster = self.roster.borrow();
            let state = roster.current(&notice.id).map(|key| roster.get(key));
            log_event!(self.logger, UPSTREAM_LEAVING;
                "upstream" => %notice.id, "born_ms" => notice.born_ms, "source" => source,
                "service" => state.map(|state| state.record.service.to_string()),
                "in_flight" => state.map(|state| state.in_flight));
        }
        is_new
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

    /// Answers a call of another process about upstreams that leave.
    pub fn answer_leaving_call(self: &Rc<Self>, call: LeavingCall) -> PeerResponse {
        match call {
            LeavingCall::Report(notices) => {
                let is_new = |notice: &LeavingNotice| self.record_leaving(notice, "report");
                let news: Vec<LeavingNotice> = notices.into_iter().filter(is_new).collect();
                self.announce_leaving(&news);
                PeerResponse::Leaving(self.roster.borrow().leaving_notices())
            }
            LeavingCall::Announcement(notices) => {
                self.record_announced(&notices);
                PeerResponse::Done
            }
        }
    }

    /// Exchanges notices with the leader, for the life of the process.
    pub async fn exchange_leaving(self: Rc<Self>) {
        loop {
            match self.report_leaving().await {
                Ok(()) => {
                    self.leaving.is_failing.set(false);
                    self.leaving.wake.notified().await;
                }
                Err(error) => {
                    if !self.leaving.is_failing.replace(true) {
                        log_event!(self.logger, LEAVING_UNSENT; "detail" => error.detail);
                    }
                    tokio::select! {
                        () = self.leaving.wake.notified() => {}
                        () = sleep(RETRY_PAUSE) => {}
                    }
                }
            }
        }
    }

    /// Reports what the leader may not know, or has a process that stands in for it announce it.
    async fn report_leaving(self: &Rc<Self>) -> Result<(), ServiceError> {
        let leader = self.leader.borrow().clone();
        let incarnation = leader.as_ref().map(|leader| leader.incarnation);
        let unreported = self.leaving.unreported.take();
        if incarnation == Some(self.incarnation) {
            self.leaving.synced.set(incarnation);
            self.announce_leaving(&unreported);
            return Ok(());
        }
        let outcome = match leader {
            Some(leader) => self.report_to_leader(&leader, &unreported).await,
            None if unreported.is_empty() => Ok(()),
            None => Err(unsent_error("no leader is known")),
        };
        if outcome.is_ok() || unreported.is_empty() {
            return outcome;
        }
        let outcome = self.report_to_stand_in(incarnation, &unreported).await;
        if outcome.is_err() {
            self.leaving.unreported.borrow_mut().extend(unreported);
        }
        outcome
    }

    async fn report_to_leader(
        &self,
        leader: &MemberRecord,
        unreported: &[LeavingNotice],
    ) -> Result<(), ServiceError> {
        let synced = self.leaving.synced.get();
        let notices = match synced == Some(leader.incarnation) {
            true => unreported.to_vec(),
            // A new leader may not know what this process has learned.
            false => self.roster.borrow().leaving_notices(),
        };
        // A process that was in touch with an earlier leader has nothing to ask.
        if notices.is_empty() && synced.is_some() {
            self.leaving.synced.set(Some(leader.incarnation));
            return Ok(());
        }
        let call = PeerCall::Leaving(LeavingCall::Report(notices));
        let response = self.call_peer_with_fallback(leader, &call, Duration::ZERO);
        let response = response.await?;
        self.leaving.synced.set(Some(leader.incarnation));
        match response {
            PeerResponse::Leaving(known) => {
                self.record_announced(&known);
                Ok(())
            }
            // A leader of an earlier build does not know the call.
            _ if unreported.is_empty() => Ok(()),
            _ => Err(unsent_error("the leader does not take notices")),
        }
    }

    /// Reports to a process that announces the notices in place of a leader that cannot be reached.
    async fn report_to_stand_in(
        self: &Rc<Self>,
        leader: Option<IncarnationId>,
        unreported: &[LeavingNotice],
    ) -> Result<(), ServiceError> {
        let call = PeerCall::Leaving(LeavingCall::Report(unreported.to_vec()));
        for member in self.stand_ins(leader) {
            if member.incarnation == self.incarnation {
                self.announce_leaving(unreported);
                return Ok(());
            }
            let response = self.call_peer(member.peer, &call, Duration::ZERO).await;
            if matches!(response, Ok(PeerResponse::Leaving(_))) {
                return Ok(());
            }
        }
        let detail = "neither the leader nor a process that stands in for it takes notices";
        Err(unsent_error(detail))
    }

    fn announce_leaving(self: &Rc<Self>, notices: &[LeavingNotice]) {
        if notices.is_empty() {
            return;
        }
        for member in self.peers() {
            let core = Rc::clone(self);
            let call = PeerCall::Leaving(LeavingCall::Announcement(notices.to_vec()));
            // A process that misses the announcement learns from its first response.
            tokio::task::spawn_local(async move {
                let _ = core.call_peer(member.peer, &call, Duration::ZERO).await;
            });
        }
    }

    fn record_announced(&self, notices: &[LeavingNotice]) {
        for notice in notices {
            self.record_leaving(notice, "announcement");
        }
    }
}

fn unsent_error(detail: &str) -> ServiceError {
    ServiceError::unknown(ErrorKind::PeerUnavailable, detail)
}
