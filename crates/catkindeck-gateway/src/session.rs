//! The registration of this process in the store, bound to a lease.

use {
    crate::{
        core::GatewayCore,
        events::{SESSION_LOST, SESSION_STARTED, SESSION_UNRENEWED},
        keys::{self, MemberRecord},
        port::{CommitOutcome, LeaseId, StoreWrite, Transaction},
    },
    catkindeck::{ServiceError, log_event, platform::LeaseGrant},
    catkindeck_policy::{
        direct::{OrderTransit, TransitKey},
        lease::{LeaseCall, LeaseProof, LeaseState},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::sleep},
};

/// How long before its expiry the lease is no longer used, in milliseconds. Covers a few round trips to the
/// platform.
pub const LEASE_MARGIN_MS: u64 = 400;

/// The time to live of a process's lease, in milliseconds. Covers three renewals. After it expires, other
/// processes take over the jobs and the leadership of a lost process.
const SESSION_TTL_MS: u64 = 2_000;

/// The factor by which the lease of a process that serves callers lives longer than the leases of others.
const ENTRY_TTL_FACTOR: u64 = 2;

/// The longest time that a fenced order may take to arrive, in milliseconds.
const MAX_ORDER_DELAY_MS: u64 = 1_500;

/// How often it is checked whether orders are under way, in milliseconds. Most are answered within a few milliseconds.
const TRANSIT_POLL_MS: u64 = 10;

/// The longest sleep between two checks of the lease, in milliseconds. Bounds how late a process notices
/// the expiry after its host was suspended.
const MAX_SLEEP_MS: u64 = 500;

/// Keeps the process registered for as long as it runs.
pub struct MemberSession {
    core: Rc<GatewayCore>,
    state: RefCell<LeaseState>,
    ttl_ms: u64,
    /// The leader's orders that may still be under way.
    transit: RefCell<OrderTransit>,
    /// Notified when the lease was obtained or lost.
    pub changed: Notify,
}

impl MemberSession {
    /// Creates a session that is not registered yet.
    pub fn new(core: Rc<GatewayCore>) -> Rc<Self> {
        let settings = core.settings();
        let ttl_ms = SESSION_TTL_MS.max(settings.min_ttl_ms);
        // Entries run jobs only if there is no other process, so their loss may be detected later.
        let ttl_ms = match settings.entry {
            Some(_) => ttl_ms * ENTRY_TTL_FACTOR,
            None => ttl_ms,
        };
        Rc::new(Self {
            core,
            state: RefCell::new(LeaseState::new(ttl_ms, LEASE_MARGIN_MS, MAX_ORDER_DELAY_MS)),
            ttl_ms,
            transit: RefCell::new(OrderTransit::new(MAX_ORDER_DELAY_MS)),
            changed: Notify::new(),
        })
    }

    /// Returns the registration of this process under its current lease.
    pub fn record(&self) -> MemberRecord {
        self.record_with_lease(self.lease())
    }

    fn record_with_lease(&self, lease: Option<LeaseId>) -> MemberRecord {
        let settings = self.core.settings();
        MemberRecord {
            zone: settings.zone.clone(),
            lease,
            host: settings.host.clone(),
            incarnation: self.core.incarnation,
            peer: settings.peer_listen,
            serves_callers: settings.entry.is_some(),
            cpu_millicores: settings.cpu_millicores,
        }
    }

    /// Returns a proof that the lease is currently held. Must be called directly before each fenced call.
    pub fn proof(&self) -> Option<LeaseProof> {
        self.state.borrow_mut().check(self.core.now())
    }

    /// Returns the current lease, to which this process can bind keys.
    pub fn lease(&self) -> Option<LeaseId> {
        self.proof().map(|proof| LeaseId(proof.number))
    }

    /// Obtains and renews the lease for the life of the process.
    pub async fn run(self: Rc<Self>) {
        loop {
            let now = self.core.now();
            let call = self.state.borrow_mut().poll(now);
            match call {
                Some(LeaseCall::Acquire) => self.acquire().await,
                Some(LeaseCall::Renew(number)) => self.renew(number).await,
                Some(LeaseCall::Release(_)) | None => {
                    let next = self.state.borrow().next_at();
                    let wait_ms = next.since(now).clamp(1, MAX_SLEEP_MS);
                    sleep(Duration::from_millis(wait_ms)).await;
                }
            }
            let remaining = self.proof().map_or(0, |proof| proof.remaining_ms);
            let remaining = i64::try_from(remaining).unwrap_or(i64::MAX);
            self.core.metrics.lease_ms.set(remaining);
        }
    }

    /// Returns the key under which the writing of an order is recorded.
    pub fn open_order(&self) -> TransitKey {
        self.transit.borrow_mut().open()
    }

    /// Records that an order is written now.
    pub fn record_order_write(&self, key: TransitKey) {
        let now = self.core.now();
        self.transit.borrow_mut().record_write(key, now);
    }

    /// Records that an order was answered, or was not sent.
    pub fn close_order(&self, key: TransitKey) {
        self.transit.borrow_mut().close(key);
    }

    /// Waits until no order of this process can arrive any more, for at most `MAX_ORDER_DELAY_MS` after the last one
    /// was written. Must be awaited before leadership is given up, because the next leader orders at once and
    /// upstreams may not check the fencing token.
    pub async fn await_orders(&self) {
        loop {
            let remaining_ms = self.transit.borrow().remaining_ms(self.core.now());
            if remaining_ms == 0 {
                return;
            }
            let wait_ms = remaining_ms.min(TRANSIT_POLL_MS);
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Revokes the lease, so that other processes need not wait for it to expire. Orders under way are awaited first.
    pub async fn revoke_lease(&self) {
        self.await_orders().await;
        let Some(lease) = self.lease() else { return };
        self.state.borrow_mut().drain();
        // If the call fails, the lease expires on its own.
        if let Err(error) = self.core.ports.store.revoke_lease(lease).await {
            log_event!(self.core.logger, SESSION_UNRENEWED; "detail" => error.detail);
        }
    }

    async fn acquire(&self) {
        let granted = self.core.ports.store.grant_lease(self.ttl_ms).await;
        let outcome = match granted {
            Ok((lease, ttl_ms)) => self.register(lease).await.map(|()| (lease, ttl_ms)),
            Err(error) => Err(error),
        };
        match outcome {
            Ok((lease, ttl_ms)) => {
                let grant = LeaseGrant {
                    number: lease.0,
                    ttl_ms,
                };
                self.state.borrow_mut().on_granted(&grant);
                log_event!(self.core.logger, SESSION_STARTED;
                    "lease" => lease.0, "ttl_ms" => ttl_ms,
                    "incarnation" => %self.core.incarnation);
                self.changed.notify_waiters();
            }
            Err(error) => self.record_failure(&error),
        }
    }

    async fn register(&self, lease: LeaseId) -> Result<(), ServiceError> {
        let record = self.record_with_lease(Some(lease));
        let transaction = Transaction {
            writes: vec![StoreWrite {
                key: keys::member_key(&record.host),
                value: keys::encode_member(&record, self.core.announced_capacity())?,
                lease: Some(lease),
            }],
            ..Transaction::default()
        };
        match self.core.ports.store.commit(&transaction).await? {
            CommitOutcome::Committed(_) => Ok(()),
            _ => Err(ServiceError::not_run(
                catkindeck::ErrorKind::StoreUnavailable,
                "cannot register the process: its lease has probably ended",
            )),
        }
    }

    async fn renew(&self, number: u64) {
        match self.core.ports.store.renew_lease(LeaseId(number)).await {
            Ok(Some(ttl_ms)) => {
                let grant = LeaseGrant { number, ttl_ms };
                self.state.borrow_mut().on_granted(&grant);
            }
            Ok(None) => {
                log_event!(self.core.logger, SESSION_LOST; "lease" => number);
                self.state.borrow_mut().on_fenced(self.core.now());
                self.changed.notify_waiters();
            }
            Err(error) => self.record_failure(&error),
        }
    }

    fn record_failure(&self, error: &ServiceError) {
        log_event!(self.core.logger, SESSION_UNRENEWED; "detail" => &error.detail);
        self.state.borrow_mut().on_unavailable(self.core.now());
    }
}
