//! Access to the platform's store, either directly or through a peer.
//!
//! The store may reject some hosts or be unreachable from them while it serves others. A call that fails
//! directly is repeated through a peer, so that such a host keeps serving.

use {
    crate::{
        core::GatewayCore,
        events::{STORE_REGAINED, STORE_RELAYED},
        keys::MemberRecord,
        peer::{PeerCall, PeerResponse},
        port::{
            CommitOutcome, LeaseId, MetadataStore, ReadResponse, StoreListing, Transaction,
            WatchOutcome,
        },
    },
    catkindeck::{ErrorKind, ServiceError, error::ExecutionOutcome, log_event, message},
    catkindeck_net::LocalFuture,
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
        })
    }

    /// Sets the process whose peers are used for the fallback.
    pub fn set_core(&self, core: &Rc<GatewayCore>) {
        *self.core.borrow_mut() = Rc::downgrade(core);
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
        let outcome = self.call_direct(call).await;
        self.update_direct_state(&outcome);
        outcome
    }

    async fn call(&self, call: StoreCall) -> Result<StoreResponse, ServiceError> {
        let outcome = self.call_with_fallback(call).await;
        if outcome.is_ok() && self.is_unreachable.replace(false) {
            self.store_recovered_at.set(Some(Instant::now()));
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
                false => match timeout(DIRECT_TIMEOUT, self.call_direct(&call)).await {
                    Ok(outcome) => outcome,
                    Err(_) => Err(ServiceError::unknown(
                        ErrorKind::StoreUnavailable,
                        format!("the store did not answer within {DIRECT_TIMEOUT:?}"),
                    )),
                },
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
        for peer in self.peers() {
            match self.call_peer(&peer, &call).await {
                Ok(response) => {
                    *self.last_peer.borrow_mut() = Some(peer);
                    return Ok(response);
                }
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
        Err(match in_doubt && matches!(call, StoreCall::Commit(_)) {
            true => ServiceError::unknown(ErrorKind::StoreUnavailable, detail),
            false => ServiceError::not_run(ErrorKind::StoreUnavailable, detail),
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

    async fn call_peer(
        &self,
        peer: &MemberRecord,
        call: &StoreCall,
    ) -> Result<StoreResponse, ServiceError> {
        let Some(core) = self.core.borrow().upgrade() else {
            return Err(unexpected_response_error());
        };
        let call = PeerCall::Store(Box::new(call.clone()));
        match core
            .call_peer(peer.peer, &call, STORE_CALL_EXTRA_TIMEOUT)
            .await?
        {
            PeerResponse::Store(response) => Ok(*response),
            PeerResponse::Refused(error) => Err(error),
            _ => Err(unexpected_response_error()),
        }
    }

    /// Returns the peers to try: the one that last succeeded, then the leader, then others.
    fn peers(&self) -> Vec<MemberRecord> {
        let Some(core) = self.core.borrow().upgrade() else {
            return Vec::new();
        };
        let last = self.last_peer.borrow().clone();
        let leader = core.leader.borrow().clone();
        let others = core.peers();
        let mut peers: Vec<MemberRecord> = Vec::new();
        for peer in last.iter().chain(&leader).chain(&others) {
            let known = peers.iter().any(|known| known.host == peer.host);
            if peer.incarnation != core.incarnation && !known && peers.len() < PEER_LIMIT {
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
