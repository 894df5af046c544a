//! Access to the platform's store, either directly or through a peer.
//!
//! The store may reject some hosts or be unreachable from them while it serves others. A call that fails
//! directly is repeated through a peer, so that such a host keeps serving.

use {
    crate::{
        capacity::CallTrailer,
        core::GatewayCore,
        events::{RELAY_SHED, STORE_REGAINED, STORE_RELAYED},
        keys::MemberRecord,
        peer::{PeerCall, PeerResponse},
        peer_fallback::SHED_EXTRA,
        port::{
            CommitOutcome, LeaseId, MetadataStore, ReadResponse, StoreListing, Transaction,
            WatchOutcome,
        },
    },
    catkindeck::{ErrorKind, Moment, ServiceError, error::ExecutionOutcome, log_event, message},
    catkindeck_net::LocalFuture,
    catkindeck_policy::direct::OutageBackoff,
    std::{
        cell::{Cell, RefCell},
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// The timeout of direct calls if there are peers to fall back to. The store answers within 4 ms, and within a
/// third of a second when it is slow.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(600);

/// How long direct calls are skipped after a failed one while a peer can reach the store.
const DIRECT_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// The number of peers that are tried for one call.
const PEER_LIMIT: usize = 2;

/// The time for the peer's own store call, in addition to the timeout of any call to a peer.
const STORE_CALL_EXTRA_TIMEOUT: Duration = Duration::from_millis(500);

/// A store call that a peer makes on behalf of this process.
#[message]
pub enum StoreCall {
    Read(String),
    List(String),
    Commit(Transaction),
    /// Requests a lease with this time to live, in milliseconds.
    #[serde(rename = "Grant")]
    GrantLease(u64),
    #[serde(rename = "Keep")]
    RenewLease(LeaseId),
    #[serde(rename = "End")]
    RevokeLease(LeaseId),
}

impl StoreCall {
    /// Returns the value of the `call` label in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Read(_) => "read",
            Self::List(_) => "list",
            Self::Commit(_) => "commit",
            Self::GrantLease(_) => "lease_grant",
            Self::RenewLease(_) => "lease_keep",
            Self::RevokeLease(_) => "lease_end",
        }
    }
}

/// The result of a [`StoreCall`].
#[message]
pub enum StoreResponse {
    Reading(ReadResponse),
    Listing(StoreListing),
    Commit(CommitOutcome),
    /// The granted lease and its time to live, in milliseconds.
    Lease(LeaseId, u64),
    /// The time to live of the renewed lease in milliseconds, or `None` if the lease has ended.
    #[serde(rename = "Kept")]
    Renewed(Option<u64>),
    #[serde(rename = "Ended")]
    Revoked,
}

/// A store client that falls back to peers when direct calls fail.
pub struct RelayedStore {
    direct: Rc<dyn MetadataStore>,
    core: RefCell<Weak<GatewayCore>>,
    /// Direct calls are skipped until this time.
    direct_paused_until: Cell<Option<Instant>>,
    /// Whether the last call failed both directly and through peers.
    is_unreachable: Cell<bool>,
    /// When a call first succeeded again after calls had failed both ways.
    store_recovered_at: Cell<Option<Instant>>,
    /// The peer that last made a call successfully.
    last_peer: RefCell<Option<MemberRecord>>,
    /// Spaces calls while the store is unreachable both ways.
    outage: RefCell<OutageBackoff>,
    /// How often calls failed both ways, so that each round tries other peers.
    failed_rounds: Cell<usize>,
}

impl RelayedStore {
    /// Creates a store without fallback; peers are used after [`Self::set_core`].
    pub fn new(direct: Rc<dyn MetadataStore>) -> Rc<Self> {
        Rc::new(Self {
            direct,
            core: RefCell::new(Weak::new()),
            direct_paused_until: Cell::new(None),
            is_unreachable: Cell::new(false),
            store_recovered_at: Cell::new(None),
            last_peer: RefCell::new(None),
            outage: RefCell::new(OutageBackoff::new(0)),
            failed_rounds: Cell::new(0),
        })
    }

    /// Sets the process whose peers are used for the fallback.
    pub fn set_core(&self, core: &Rc<GatewayCore>) {
        *self.core.borrow_mut() = Rc::downgrade(core);
        let [seed @ .., _, _, _, _, _, _, _, _] = core.incarnation.0;
        *self.outage.borrow_mut() = OutageBackoff::new(u64::from_le_bytes(seed));
    }

    /// Records that the store was reached, so that calls are made again without delay.
    pub fn record_reached(&self) {
        self.outage.borrow_mut().record_success();
    }

    /// Returns the time until the store is called again, in milliseconds, while no process reaches it.
    pub fn trial_wait_ms(&self, now: Moment) -> Option<u64> {
        let wait_ms = self.outage.borrow().remaining_ms(now);
        (wait_ms > 0).then_some(wait_ms)
    }

    /// Returns when the store became reachable again after it was unreachable both ways.
    pub fn store_recovered_at(&self) -> Option<Instant> {
        self.store_recovered_at.get()
    }

    /// Makes a call on behalf of a peer, only by a direct connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the call, or `store_unavailable` immediately if a direct call failed recently.
    pub async fn answer(&self, call: &StoreCall) -> Result<StoreResponse, ServiceError> {
        if self.is_direct_paused() {
            return Err(ServiceError::not_run(
                ErrorKind::StoreUnavailable,
                "this process cannot reach the store directly",
            ));
        }
        self.check_outage()?;
        let outcome = self.call_direct(call).await;
        self.update_direct_state(&outcome);
        match &outcome {
            Err(error) if error.kind == ErrorKind::StoreUnavailable => self.record_failed_trial(),
            _ => self.record_reached(),
        }
        outcome
    }

    /// Returns an error at once while the store is unreachable and no trial call is due.
    fn check_outage(&self) -> Result<(), ServiceError> {
        let Some(core) = self.core.borrow().upgrade() else {
            return Ok(());
        };
        let now = core.now();
        let mut outage = self.outage.borrow_mut();
        if outage.allows_call(now) {
            return Ok(());
        }
        let wait_ms = outage.remaining_ms(now);
        Err(ServiceError::not_run(
            ErrorKind::StoreUnavailable,
            format!("no process can reach the store; the next trial is in {wait_ms} ms"),
        ))
    }

    /// Delays the next trial call, if this process is in an outage. A failed direct call alone does not start one,
    /// because the store may reject single hosts.
    fn record_failed_trial(&self) {
        if self.is_unreachable.get() {
            self.record_outage();
        }
    }

    fn record_outage(&self) {
        let Some(core) = self.core.borrow().upgrade() else {
            return;
        };
        let is_leader = core
            .leader
            .borrow()
            .as_ref()
            .is_some_and(|leader| leader.incarnation == core.incarnation);
        let is_essential = is_leader || core.settings().entry.is_none();
        let processes = core.members.borrow().len();
        let mut outage = self.outage.borrow_mut();
        outage.record_failure(core.now(), processes, is_essential);
    }

    async fn call(&self, call: StoreCall) -> Result<StoreResponse, ServiceError> {
        self.check_outage()?;
        let outcome = self.call_with_fallback(call).await;
        let is_reached =
            !matches!(&outcome, Err(error) if error.kind == ErrorKind::StoreUnavailable);
        if is_reached {
            self.record_reached();
            if self.is_unreachable.replace(false) {
                self.store_recovered_at.set(Some(Instant::now()));
            }
        }
        outcome
    }

    /// Makes a call directly or through a peer.
    async fn call_with_fallback(&self, call: StoreCall) -> Result<StoreResponse, ServiceError> {
        let mut in_doubt = false;
        let mut failure = None;
        if !self.is_direct_paused() {
            let peers = self.peers();
            let outcome = match peers.is_empty() {
                true => self.call_direct(&call).await,
                // An unresponsive connection must not use up the validity of a lease or of a freshness proof.
                false => self.call_direct_in_time(&call).await,
            };
            self.update_direct_state(&outcome);
            match outcome {
                Ok(response) => return Ok(response),
                Err(error) if error.kind != ErrorKind::StoreUnavailable => return Err(error),
                Err(error) => {
                    in_doubt = error.execution != ExecutionOutcome::NotRun;
                    failure = Some(error);
                }
            }
        }
        let mut tried = 0;
        // The first process that refused, if all did. They say nothing about the store.
        let mut shedding = None;
        for peer in self.peers() {
            if tried >= PEER_LIMIT {
                break;
            }
            match self.call_peer(&peer, &call).await {
                Err(error) if error.kind == ErrorKind::Overloaded => {
                    if tried == 0 {
                        shedding.get_or_insert(peer);
                    }
                    failure.get_or_insert(error);
                }
                Ok(response) => {
                    self.record_peer(peer);
                    return Ok(response);
                }
                Err(error) => {
                    in_doubt |= error.execution != ExecutionOutcome::NotRun;
                    failure = Some(error);
                    tried += 1;
                    shedding = None;
                }
            }
        }
        if let Some(peer) = shedding {
            // Without this call, a host could lose its registration because all others are busy.
            let trailer = Some(CallTrailer::LastResort);
            match self.call_peer_with(&peer, &call, trailer).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    in_doubt |= error.execution != ExecutionOutcome::NotRun;
                    failure = Some(error);
                }
            }
        }
        let detail = failure.map_or_else(
            || "no process can reach the store".to_owned(),
            |error| error.detail,
        );
        // Since no peer could help, the next call tries the direct connection again.
        self.direct_paused_until.set(None);
        self.is_unreachable.set(true);
        self.failed_rounds.set(self.failed_rounds.get() + 1);
        *self.last_peer.borrow_mut() = None;
        self.record_outage();
        Err(match in_doubt && matches!(call, StoreCall::Commit(_)) {
            true => ServiceError::unknown(ErrorKind::StoreUnavailable, detail),
            false => ServiceError::not_run(ErrorKind::StoreUnavailable, detail),
        })
    }

    /// Makes a direct call within [`DIRECT_TIMEOUT`], which holds for each page of a listing.
    async fn call_direct_in_time(&self, call: &StoreCall) -> Result<StoreResponse, ServiceError> {
        if let StoreCall::List(prefix) = call {
            self.count(call.name());
            let listing = self.direct.list_pages(prefix, DIRECT_TIMEOUT).await?;
            return Ok(StoreResponse::Listing(listing));
        }
        let outcome = timeout(DIRECT_TIMEOUT, self.call_direct(call)).await;
        outcome.unwrap_or_else(|_| {
            Err(ServiceError::unknown(
                ErrorKind::StoreUnavailable,
                format!("the store did not answer within {DIRECT_TIMEOUT:?}"),
            ))
        })
    }

    async fn call_direct(&self, call: &StoreCall) -> Result<StoreResponse, ServiceError> {
        self.count(call.name());
        let store = &self.direct;
        Ok(match call {
            StoreCall::Read(key) => StoreResponse::Reading(store.read(key).await?),
            StoreCall::List(prefix) => StoreResponse::Listing(store.list(prefix).await?),
            StoreCall::Commit(transaction) => {
                StoreResponse::Commit(store.commit(transaction).await?)
            }
            StoreCall::GrantLease(ttl_ms) => {
                let (lease, ttl_ms) = store.grant_lease(*ttl_ms).await?;
                StoreResponse::Lease(lease, ttl_ms)
            }
            StoreCall::RenewLease(lease) => {
                StoreResponse::Renewed(store.renew_lease(*lease).await?)
            }
            StoreCall::RevokeLease(lease) => {
                store.revoke_lease(*lease).await?;
                StoreResponse::Revoked
            }
        })
    }

    /// Records that a peer made a call. Where peers are ordered by their room, the next round starts with the first
    /// ones again.
    fn record_peer(&self, peer: MemberRecord) {
        let core = self.core.borrow().upgrade();
        if core.is_some_and(|core| core.prefers_capable()) {
            self.failed_rounds.set(0);
        }
        *self.last_peer.borrow_mut() = Some(peer);
    }

    async fn call_peer(
        &self,
        peer: &MemberRecord,
        call: &StoreCall,
    ) -> Result<StoreResponse, ServiceError> {
        let core = self.core.borrow().upgrade();
        let uses_capacity = core.is_some_and(|core| core.uses_capacity());
        let trailer = uses_capacity.then_some(CallTrailer::Sheddable);
        self.call_peer_with(peer, call, trailer).await
    }

    async fn call_peer_with(
        &self,
        peer: &MemberRecord,
        call: &StoreCall,
        trailer: Option<CallTrailer>,
    ) -> Result<StoreResponse, ServiceError> {
        let Some(core) = self.core.borrow().upgrade() else {
            return Err(unexpected_response_error());
        };
        let call = PeerCall::Store(Box::new(call.clone()));
        let response = core.call_peer_with(peer.peer, (&call, trailer), STORE_CALL_EXTRA_TIMEOUT);
        match response.await? {
            PeerResponse::Store(response) => Ok(*response),
            PeerResponse::Refused(error) => Err(error),
            PeerResponse::Shed => {
                log_event!(core.logger, RELAY_SHED; "peer" => %peer.host, "work" => "store");
                let detail = "the peer has no room for calls of others";
                Err(ServiceError::not_run(ErrorKind::Overloaded, detail))
            }
            _ => Err(unexpected_response_error()),
        }
    }

    /// Returns the peers to try: the one that last succeeded, then the leader, then others. Where they failed, the
    /// next round tries other ones, because the store may reject some of them as well.
    fn peers(&self) -> Vec<MemberRecord> {
        let Some(core) = self.core.borrow().upgrade() else {
            return Vec::new();
        };
        let last = self.last_peer.borrow().clone();
        let last = last.filter(|peer| !core.is_shedding(peer));
        let round = self.failed_rounds.get();
        let leader = core
            .leader
            .borrow()
            .clone()
            .filter(|_| round.is_multiple_of(2));
        let mut others = core.peers();
        let start = (round * PEER_LIMIT).checked_rem(others.len()).unwrap_or(0);
        core.sort_by_room(&mut others);
        others.rotate_left(start);
        let limit = PEER_LIMIT + SHED_EXTRA;
        let mut peers: Vec<MemberRecord> = Vec::new();
        for peer in last.iter().chain(&leader).chain(&others) {
            let known = peers.iter().any(|known| known.host == peer.host);
            if peer.incarnation != core.incarnation && !known && peers.len() < limit {
                peers.push(peer.clone());
            }
        }
        peers
    }

    fn count(&self, call: &str) {
        if let Some(core) = self.core.borrow().upgrade() {
            core.metrics.store_calls.with_label_values(&[call]).inc();
        }
    }

    fn is_direct_paused(&self) -> bool {
        let until = self.direct_paused_until.get();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Records whether the direct connection works, and logs changes.
    fn update_direct_state(&self, outcome: &Result<StoreResponse, ServiceError>) {
        let failed = matches!(outcome, Err(error) if error.kind == ErrorKind::StoreUnavailable);
        let was_paused = self.direct_paused_until.get().is_some();
        self.direct_paused_until
            .set(failed.then(|| Instant::now() + DIRECT_RETRY_PAUSE));
        let Some(core) = self.core.borrow().upgrade() else {
            return;
        };
        match (failed, was_paused, outcome) {
            (true, false, Err(error)) => {
                log_event!(core.logger, STORE_RELAYED; "detail" => &error.detail);
            }
            (false, true, _) => log_event!(core.logger, STORE_REGAINED),
            _ => {}
        }
    }
}

impl MetadataStore for RelayedStore {
    fn read<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<ReadResponse, ServiceError>> {
        Box::pin(async move {
            match self.call(StoreCall::Read(key.to_owned())).await? {
                StoreResponse::Reading(response) => Ok(response),
                _ => Err(unexpected_response_error()),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreListing, ServiceError>> {
        Box::pin(async move {
            match self.call(StoreCall::List(prefix.to_owned())).await? {
                StoreResponse::Listing(listing) => Ok(listing),
                _ => Err(unexpected_response_error()),
            }
        })
    }

    fn list_pages<'a>(
        &'a self,
        prefix: &'a str,
        _page_limit: Duration,
    ) -> LocalFuture<'a, Result<StoreListing, ServiceError>> {
        self.list(prefix)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<WatchOutcome, ServiceError>> {
        self.count("watch");
        // A watch only shortens the reaction time, so it is not relayed.
        self.direct.watch(prefix, after, wait)
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalFuture<'a, Result<CommitOutcome, ServiceError>> {
        Box::pin(async move {
            match self.call(StoreCall::Commit(transaction.clone())).await? {
                StoreResponse::Commit(outcome) => Ok(outcome),
                _ => Err(unexpected_response_error()),
            }
        })
    }

    fn grant_lease(&self, ttl_ms: u64) -> LocalFuture<'_, Result<(LeaseId, u64), ServiceError>> {
        Box::pin(async move {
            match self.call(StoreCall::GrantLease(ttl_ms)).await? {
                StoreResponse::Lease(lease, ttl_ms) => Ok((lease, ttl_ms)),
                _ => Err(unexpected_response_error()),
            }
        })
    }

    fn renew_lease(&self, lease: LeaseId) -> LocalFuture<'_, Result<Option<u64>, ServiceError>> {
        Box::pin(async move {
            match self.call(StoreCall::RenewLease(lease)).await? {
                StoreResponse::Renewed(ttl_ms) => Ok(ttl_ms),
                _ => Err(unexpected_response_error()),
            }
        })
    }

    fn revoke_lease(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), ServiceError>> {
        Box::pin(async move {
            match self.call(StoreCall::RevokeLease(lease)).await? {
                StoreResponse::Revoked => Ok(()),
                _ => Err(unexpected_response_error()),
            }
        })
    }

    fn calls(&self) -> u64 {
        self.direct.calls()
    }
}

fn unexpected_response_error() -> ServiceError {
    ServiceError::unknown(
        ErrorKind::StoreUnavailable,
        "a peer answered a store call with a response of another type",
    )
}
