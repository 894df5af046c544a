//! Passes notices from the process that learned something to all others, without the store.
//!
//! A process reports to the leader, which announces what is new to all. Without a leader, a process that stands in
//! for it does so. The notices are of upstreams that leave (`docs/design/leaving.md`) and of requests that crash
//! upstreams (`docs/design/crashing-requests.md`).

use {
    crate::{
        core::GatewayCore,
        keys::MemberRecord,
        peer::{PeerCall, PeerResponse},
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError, id::IncarnationId, log::LogEvent, log_event, message,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// The pause after an exchange that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// How long the leader may take to accept news before a process that stands in for it announces them.
const LEADER_TIMEOUT: Duration = Duration::from_millis(300);

/// A call between processes about notices of one kind.
#[message]
pub enum NoticeCall<N> {
    /// Reports notices to the leader, or to a process that stands in for it, and requests all that it knows.
    Report(Vec<N>),
    /// Announces notices to a process.
    Announcement(Vec<N>),
}

/// How this process came to know a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeSource {
    /// From the end of a run of its own.
    Run,
    /// From a response to a request of its own.
    Response,
    /// From the report of another process.
    Report,
    /// From an announcement, or the answer to a report.
    Announcement,
}

impl NoticeSource {
    /// Returns the name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Response => "response",
            Self::Report => "report",
            Self::Announcement => "announcement",
        }
    }
}

/// A kind of notice that all processes are to know.
pub trait SharedNotice: Clone + 'static {
    /// The event of an exchange that failed.
    const UNSENT: LogEvent;

    fn exchange(core: &GatewayCore) -> &NoticeExchange<Self>;

    /// Returns all notices that other processes may not know.
    fn known(core: &GatewayCore) -> Vec<Self>;

    /// Records the notice and returns whether it was news.
    fn record(&self, core: &GatewayCore, source: NoticeSource) -> bool;

    /// Returns the notice as it reads after it waited to be sent.
    fn aged(self, elapsed_ms: u64) -> Self;

    fn into_call(call: NoticeCall<Self>) -> PeerCall;

    fn into_response(notices: Vec<Self>) -> PeerResponse;

    /// Returns the notices of a response; `None` if it is one to another call or of an earlier build.
    fn from_response(response: PeerResponse) -> Option<Vec<Self>>;
}

/// The state of this process in the exchange of one kind of notices.
#[derive(Debug)]
pub struct NoticeExchange<N> {
    /// The notices of which no leader may know, and when they were recorded.
    unreported: RefCell<Vec<(Moment, N)>>,
    /// The leader that knows what this process knew when it became the leader, and vice versa.
    synced: Cell<Option<IncarnationId>>,
    /// The leader that did not accept the latest news in time. Further news do not wait for it.
    doubted: Cell<Option<IncarnationId>>,
    /// Whether the last exchange failed, which was logged.
    is_failing: Cell<bool>,
    /// Notified when there is something to tell, or the leader may be a different process.
    wake: Notify,
}

impl<N> Default for NoticeExchange<N> {
    fn default() -> Self {
        Self {
            unreported: RefCell::default(),
            synced: Cell::default(),
            doubted: Cell::default(),
            is_failing: Cell::default(),
            wake: Notify::default(),
        }
    }
}

impl<N> NoticeExchange<N> {
    /// Wakes the exchange, because the leader may be a different process now.
    pub fn wake(&self) {
        self.wake.notify_one();
    }
}

impl GatewayCore {
    /// Records what this process learned by itself, and passes it on if it is news.
    pub fn share_notice<N: SharedNotice>(&self, notice: N, source: NoticeSource) {
        if notice.record(self, source) {
            let exchange = N::exchange(self);
            exchange.unreported.borrow_mut().push((self.now(), notice));
            exchange.wake();
        }
    }

    /// Answers a call of another process about notices.
    pub fn answer_notice_call<N: SharedNotice>(
        self: &Rc<Self>,
        call: NoticeCall<N>,
    ) -> PeerResponse {
        match call {
            NoticeCall::Report(notices) => {
                let is_new = |notice: &N| notice.record(self, NoticeSource::Report);
                let news: Vec<N> = notices.into_iter().filter(is_new).collect();
                self.announce_notices(&news);
                N::into_response(N::known(self))
            }
            NoticeCall::Announcement(notices) => {
                self.record_announced(&notices);
                PeerResponse::Done
            }
        }
    }

    /// Exchanges notices with the leader, for the life of the process.
    pub async fn exchange_notices<N: SharedNotice>(self: Rc<Self>) {
        let exchange = N::exchange(&self);
        loop {
            match self.report_notices::<N>().await {
                Ok(()) => {
                    exchange.is_failing.set(false);
                    exchange.wake.notified().await;
                }
                Err(error) => {
                    if !exchange.is_failing.replace(true) {
                        log_event!(self.logger, N::UNSENT; "detail" => error.detail);
                    }
                    tokio::select! {
                        () = exchange.wake.notified() => {}
                        () = sleep(RETRY_PAUSE) => {}
                    }
                }
            }
        }
    }

    /// Reports what the leader may not know, or has a process that stands in for it announce it.
    async fn report_notices<N: SharedNotice>(self: &Rc<Self>) -> Result<(), ServiceError> {
        let exchange = N::exchange(self);
        let leader = self.leader.borrow().clone();
        let incarnation = leader.as_ref().map(|leader| leader.incarnation);
        let taken = exchange.unreported.take();
        let unreported = self.aged_notices(&taken);
        if incarnation == Some(self.incarnation) {
            exchange.synced.set(incarnation);
            self.announce_notices(&unreported);
            return Ok(());
        }
        if unreported.is_empty() {
            return match leader {
                Some(leader) => self.report_to_leader::<N>(&leader, &[]).await,
                None => Ok(()),
            };
        }
        let is_doubted = incarnation.is_some() && exchange.doubted.get() == incarnation;
        if is_doubted
            && self
                .report_to_stand_in(incarnation, &unreported)
                .await
                .is_ok()
        {
            // If the leader answers by now, it is asked first the next time.
            return self.report_in_time::<N>(leader, &[]).await;
        }
        let mut outcome = self.report_in_time(leader, &unreported).await;
        if outcome.is_err() {
            let unreported = self.aged_notices(&taken);
            outcome = self.report_to_stand_in(incarnation, &unreported).await;
        }
        if outcome.is_err() {
            exchange.unreported.borrow_mut().extend(taken);
        }
        outcome
    }

    /// Reports to the leader, and doubts it if it does not answer soon.
    async fn report_in_time<N: SharedNotice>(
        &self,
        leader: Option<MemberRecord>,
        unreported: &[N],
    ) -> Result<(), ServiceError> {
        let Some(leader) = leader else {
            return Err(unsent_error("no leader is known"));
        };
        let report = timeout(LEADER_TIMEOUT, self.report_to_leader(&leader, unreported));
        let outcome = report
            .await
            .unwrap_or_else(|_| Err(unsent_error("the leader does not answer in time")));
        let doubted = outcome.is_err().then_some(leader.incarnation);
        N::exchange(self).doubted.set(doubted);
        outcome
    }

    fn aged_notices<N: SharedNotice>(&self, recorded: &[(Moment, N)]) -> Vec<N> {
        let now = self.now();
        let aged = |(at, notice): &(Moment, N)| notice.clone().aged(now.since(*at));
        recorded.iter().map(aged).collect()
    }

    async fn report_to_leader<N: SharedNotice>(
        &self,
        leader: &MemberRecord,
        unreported: &[N],
    ) -> Result<(), ServiceError> {
        let exchange = N::exchange(self);
        let synced = exchange.synced.get();
        let notices = match synced == Some(leader.incarnation) {
            true => unreported.to_vec(),
            // A new leader may not know what this process has learned.
            false => N::known(self),
        };
        // A process that was in touch with an earlier leader has nothing to ask.
        if notices.is_empty() && synced.is_some() {
            exchange.synced.set(Some(leader.incarnation));
            return Ok(());
        }
        let call = N::into_call(NoticeCall::Report(notices));
        let response = self.call_peer_with_fallback(leader, &call, Duration::ZERO);
        let response = response.await?;
        exchange.synced.set(Some(leader.incarnation));
        match N::from_response(response) {
            Some(known) => {
                self.record_announced(&known);
                Ok(())
            }
            // A leader of an earlier build does not know the call.
            None if unreported.is_empty() => Ok(()),
            None => Err(unsent_error("the leader does not take notices")),
        }
    }

    /// Reports to a process that announces the notices in place of a leader that cannot be reached.
    async fn report_to_stand_in<N: SharedNotice>(
        self: &Rc<Self>,
        leader: Option<IncarnationId>,
        unreported: &[N],
    ) -> Result<(), ServiceError> {
        let call = N::into_call(NoticeCall::Report(unreported.to_vec()));
        for member in self.stand_ins(leader) {
            if member.incarnation == self.incarnation {
                self.announce_notices(unreported);
                return Ok(());
            }
            let response = self.call_peer(member.peer, &call, Duration::ZERO).await;
            if response.is_ok_and(|response| N::from_response(response).is_some()) {
                return Ok(());
            }
        }
        let detail = "neither the leader nor a process that stands in for it takes notices";
        Err(unsent_error(detail))
    }

    fn announce_notices<N: SharedNotice>(self: &Rc<Self>, notices: &[N]) {
        if notices.is_empty() {
            return;
        }
        for member in self.peers() {
            let core = Rc::clone(self);
            let call = N::into_call(NoticeCall::Announcement(notices.to_vec()));
            // A process that misses the announcement learns from what it sees itself and reports.
            tokio::task::spawn_local(async move {
                let _ = core.call_peer(member.peer, &call, Duration::ZERO).await;
            });
        }
    }

    fn record_announced<N: SharedNotice>(&self, notices: &[N]) {
        for notice in notices {
            notice.record(self, NoticeSource::Announcement);
        }
    }
}

fn unsent_error(detail: &str) -> ServiceError {
    ServiceError::unknown(ErrorKind::PeerUnavailable, detail)
}
