//! Election of the leader: a claim on one key in the store.

use {
    super::{
        drain::HostDrain, supervisor::JobSupervisor, usage::UsageReporter, weights::WeightRollout,
    },
    crate::{
        core::GatewayCore,
        events::{LEADERSHIP_ACQUIRED, LEADERSHIP_RELEASED, MAINTENANCE_FAILED},
        jobs::JobService,
        keys::{self, LEADER_KEY, MemberRecord},
        limits::ALLOCATION_CONFIRMED_MS,
        port::{
            CommitOutcome, LeaderProof, StoreCondition, StoreItem, StoreWrite, Transaction,
            WatchOutcome,
        },
        session::{LEASE_MARGIN_MS, MemberSession},
        task::spawn_supervised,
    },
    catkindeck::{ErrorKind, Moment, ServiceError, log_event},
    catkindeck_net::{LocalFuture, SendGuard},
    catkindeck_policy::direct::{ClaimDecision, TransitKey, decide_claim},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// The longest wait for the leader's key to be removed. It is shorter than the store's history, so that the next
/// watch continues from the revision that this one returns.
const WATCH_WAIT: Duration = Duration::from_secs(15);

/// The pause after a failed watch of a process that serves callers. The store may reject watches of single hosts for
/// many seconds, and other processes claim leadership first.
const ENTRY_WATCH_PAUSE: Duration = Duration::from_secs(3);

/// The pause after a failed store call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How long a process that serves callers waits before it claims leadership, so that a process without
/// callers, if there is one, becomes the leader.
const ENTRY_CLAIM_DELAY: Duration = Duration::from_millis(400);

/// The ranks among which entries are spread at random, and the additional delay for each rank, so that the claim of
/// the first is seen by the others before they claim.
const ENTRY_CLAIM_RANKS: u32 = 16;
const ENTRY_CLAIM_STEP: Duration = Duration::from_millis(25);

/// How often the leader checks that it still holds its lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time since the last check from which the leader sends nothing, in milliseconds: the interval and half of the
/// lease's margin. A process whose event loop is so late may need the rest of the margin to write an order.
const MAX_CHECK_AGE_MS: u64 = 100 + LEASE_MARGIN_MS / 2;

/// Claims and holds leadership, and provides what the leader's tasks share.
pub struct LeaderElection {
    pub core: Rc<GatewayCore>,
    pub jobs: Rc<JobService>,
    session: Rc<MemberSession>,
    fence: RefCell<Option<u64>>,
    /// When this process last checked that it is the leader.
    checked_at: Cell<Moment>,
    /// When this process last lost or gave up leadership.
    released_at: Cell<Option<Moment>>,
    /// The state of the leader's key as last seen; `None` if it has to be read.
    view: RefCell<Option<LeaderView>>,
}

/// The state of the leader's key at a revision of the store.
#[derive(Debug, Clone)]
struct LeaderView {
    revision: u64,
    /// The revision of the key; zero if it does not exist.
    item_revision: u64,
    /// The leader; `None` also if the key's value cannot be decoded.
    holder: Option<MemberRecord>,
}

impl LeaderView {
    fn new(revision: u64, item: Option<&StoreItem>) -> Self {
        Self {
            revision,
            item_revision: item.map_or(0, |item| item.revision),
            holder: item.and_then(|item| keys::decode_item(item).ok()),
        }
    }
}

impl LeaderElection {
    pub fn new(
        core: Rc<GatewayCore>,
        jobs: Rc<JobService>,
        session: Rc<MemberSession>,
    ) -> Rc<Self> {
        Rc::new(Self {
            core,
            jobs,
            session,
            fence: RefCell::new(None),
            checked_at: Cell::new(Moment(0)),
            released_at: Cell::new(None),
            view: RefCell::new(None),
        })
    }

    /// Claims leadership whenever there is no leader, for the life of the process.
    pub async fn run(self: Rc<Self>) {
        loop {
            match self.claim().await {
                Ok(Some(fence)) => self.run_leader_tasks(fence).await,
                Ok(None) => {}
                Err(error) => {
                    log_event!(self.core.logger, MAINTENANCE_FAILED;
                        "work" => "claim", "detail" => error.detail);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns the proof of leadership for a call to the platform. Must be called directly before the call.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if this process does not hold the lease or is not the leader.
    pub fn proof(&self) -> Result<LeaderProof, ServiceError> {
        let held = self.session.proof().is_some();
        match *self.fence.borrow() {
            Some(fence) if held && !self.core.is_shutting_down() => Ok(LeaderProof {
                holder: self.core.settings().host.clone(),
                fence,
            }),
            _ => Err(ServiceError::not_run(
                ErrorKind::Fenced,
                "this process is not the leader",
            )),
        }
    }

    /// Returns whether this process is still the leader with a fencing token, and its event loop is in time. Asked
    /// when each order or call to the platform is written, because the receiver may not check the token itself.
    fn may_act(&self, fence: u64) -> bool {
        let is_in_time = self.core.now().since(self.checked_at.get()) <= MAX_CHECK_AGE_MS;
        is_in_time && self.proof().is_ok_and(|proof| proof.fence == fence)
    }

    /// Returns the guard of an order or call with a fencing token. What it lets pass counts as under way until it is
    /// closed with the returned key, or can no longer arrive.
    pub fn guard_order(
        self: &Rc<Self>,
        fence: u64,
        is_needed: impl Fn() -> bool + 'static,
    ) -> (TransitKey, SendGuard) {
        let key = self.session.open_order();
        let election = Rc::clone(self);
        let guard = move || {
            let is_allowed = election.may_act(fence) && is_needed();
            if is_allowed {
                election.session.record_order_write(key);
            }
            is_allowed
        };
        (key, Rc::new(guard))
    }

    /// Records that an order was answered, or was not sent.
    pub fn close_order(&self, key: TransitKey) {
        self.session.close_order(key);
    }

    /// Claims leadership and returns the fencing token, or waits while another process is the leader.
    async fn claim(&self) -> Result<Option<u64>, ServiceError> {
        let lease = self.session.lease();
        let Some(lease) = lease.filter(|_| self.core.accepts_work()) else {
            sleep(RETRY_PAUSE).await;
            return Ok(None);
        };
        let view = match self.view.take() {
            Some(view) => view,
            None => self.read_view().await?,
        };
        match self.claim_decision(view.holder.as_ref()) {
            ClaimDecision::Claim => {}
            ClaimDecision::CoolDown => {
                sleep(RETRY_PAUSE).await;
                return Ok(None);
            }
            ClaimDecision::Wait => {
                self.core.leader.borrow_mut().clone_from(&view.holder);
                self.core.limits.wake();
                self.core.leaving.wake();
                self.core.crashes.exchange.wake();
                self.await_change(view, WATCH_WAIT).await;
                return Ok(None);
            }
        }
        if view.item_revision == 0 && self.core.settings().entry.is_some() {
            let rank = u32::from(self.core.incarnation.0[0]) % ENTRY_CLAIM_RANKS;
            let delay = ENTRY_CLAIM_DELAY + ENTRY_CLAIM_STEP * rank;
            let changed = self.await_change(view.clone(), delay).await;
            if changed {
                return Ok(None);
            }
            self.view.take();
        }
        let transaction = Transaction {
            conditions: vec![StoreCondition {
                key: LEADER_KEY.to_owned(),
                revision: view.item_revision,
            }],
            writes: vec![StoreWrite {
                key: LEADER_KEY.to_owned(),
                value: keys::encode(&self.session.record())?,
                lease: Some(lease),
            }],
            removals: Vec::new(),
        };
        match self.core.ports.store.commit(&transaction).await? {
            CommitOutcome::Committed(revision) => Ok(Some(revision)),
            _ => Ok(None),
        }
    }

    async fn read_view(&self) -> Result<LeaderView, ServiceError> {
        let listing = self.core.ports.store.list(LEADER_KEY).await?;
        let found = listing.items.iter().find(|item| item.key == LEADER_KEY);
        Ok(LeaderView::new(listing.revision, found))
    }

    /// Waits for a change of the leader's key after a view of it, and keeps the new view, so that the key need not
    /// be read again. Returns whether the key changed or its state is unknown.
    ///
    /// The watch starts at the revision of the view, so no change can be missed.
    async fn await_change(&self, view: LeaderView, wait: Duration) -> bool {
        let store = &self.core.ports.store;
        match store.watch(LEADER_KEY, view.revision, wait).await {
            Ok(WatchOutcome::Changes { items, revision }) => {
                let mut own = items.iter().filter(|(key, _)| key == LEADER_KEY);
                let change = own.next_back();
                let next = match change {
                    Some((_, item)) => LeaderView::new(revision, item.as_ref()),
                    None => LeaderView {
                        revision: revision.max(view.revision),
                        ..view
                    },
                };
                self.view.replace(Some(next));
                change.is_some()
            }
            Ok(WatchOutcome::Compacted) => true,
            Err(_) => {
                let pause = match self.core.settings().entry {
                    Some(_) => ENTRY_WATCH_PAUSE,
                    None => RETRY_PAUSE,
                };
                sleep(pause).await;
                true
            }
        }
    }

    fn claim_decision(&self, holder: Option<&MemberRecord>) -> ClaimDecision {
        let settings = self.core.settings();
        decide_claim(
            self.core.now(),
            &settings.host,
            holder.map(|holder| &holder.host),
            self.released_at.get(),
            settings.bounds.lease_ms,
        )
    }

    /// Performs the leader's tasks until this process loses its lease, shuts down or resigns.
    async fn run_leader_tasks(self: &Rc<Self>, fence: u64) {
        *self.fence.borrow_mut() = Some(fence);
        *self.core.leader.borrow_mut() = Some(self.session.record());
        self.checked_at.set(self.core.now());
        log_event!(self.core.logger, LEADERSHIP_ACQUIRED; "fence" => fence);
        self.core
            .limits
            .allocator
            .borrow_mut()
            .start(self.core.now());
        self.core.limits.wake();
        let tasks = self.spawn_leader_tasks(fence);
        while self.proof().is_ok() {
            self.checked_at.set(self.core.now());
            let until = self.core.now() + ALLOCATION_CONFIRMED_MS;
            self.core.limits.allocator.borrow_mut().confirm(until);
            sleep(CHECK_INTERVAL).await;
        }
        for task in &tasks {
            task.abort();
        }
        let resigned = self.fence.borrow_mut().take().is_none();
        self.view.take();
        self.released_at.set(Some(self.core.now()));
        *self.core.leader.borrow_mut() = None;
        log_event!(self.core.logger, LEADERSHIP_RELEASED; "fence" => fence);
        if resigned {
            self.remove_leader_key(fence).await;
        }
    }

    fn spawn_leader_tasks(self: &Rc<Self>, fence: u64) -> [JoinHandle<()>; 7] {
        let usage = UsageReporter::new(Rc::clone(self));
        let unsealed = Rc::clone(&usage);
        let core = Rc::clone(&self.core);
        let spawn = |name, start: fn(Rc<Self>) -> LocalFuture<'static, ()>| {
            let election = Rc::clone(self);
            spawn_supervised(&self.core, name, move || start(Rc::clone(&election)))
        };
        [
            spawn("weights", |election| {
                Box::pin(WeightRollout::new(election).run())
            }),
            spawn_supervised(&self.core, "usage_reports", move || Rc::clone(&usage).run()),
            spawn_supervised(&self.core, "unsealed_usage", move || {
                Rc::clone(&unsealed).persist_unsealed()
            }),
            spawn("drain", |election| Box::pin(HostDrain::new(election).run())),
            spawn("supervisor", |election| {
                Box::pin(JobSupervisor::new(election).run())
            }),
            spawn("intents", |election| Box::pin(election.watch_intents())),
            spawn_supervised(&self.core, "saved_limits", move || {
                Rc::clone(&core).save_limits(fence)
            }),
        ]
    }

    /// Gives up leadership, so that another process takes over before this host is decommissioned.
    pub fn resign(&self) {
        *self.fence.borrow_mut() = None;
    }

    /// Removes the leader's key after all tasks of this leader have stopped and none of its orders can arrive any more.
    async fn remove_leader_key(&self, fence: u64) {
        self.session.await_orders().await;
        let transaction = Transaction {
            conditions: vec![StoreCondition {
                key: LEADER_KEY.to_owned(),
                revision: fence,
            }],
            writes: Vec::new(),
            removals: vec![LEADER_KEY.to_owned()],
        };
        // If the call fails, the key is removed with the lease.
        if let Err(error) = self.core.ports.store.commit(&transaction).await {
            log_event!(self.core.logger, MAINTENANCE_FAILED;
                "work" => "resign", "detail" => error.detail);
        }
    }

    /// Watches for changes of the desired state, so that they are read immediately.
    async fn watch_intents(self: Rc<Self>) {
        let prefix = self.core.ports.intents.intent_prefix();
        let mut after = 0;
        loop {
            if after == 0 {
                match self.core.ports.store.list(prefix).await {
                    Ok(listing) => after = listing.revision,
                    Err(_) => {
                        sleep(RETRY_PAUSE).await;
                        continue;
                    }
                }
            }
            match self.core.ports.store.watch(prefix, after, WATCH_WAIT).await {
                Ok(WatchOutcome::Changes { items, revision }) => {
                    after = revision;
                    if !items.is_empty() {
                        self.core.intent_changed.notify_one();
                    }
                }
                Ok(WatchOutcome::Compacted) => {
                    after = 0;
                    self.core.intent_changed.notify_one();
                }
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }
}
