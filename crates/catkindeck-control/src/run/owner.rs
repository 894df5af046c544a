//! The owner of a training run.

use {
    crate::run::{
        ports::{OwnerLease, RunObserver, SampleRunner, WeightPublisher},
        storage::{AppendOutcome, RunHead, RunStorage, plan_digest},
        work::{OpenStep, WorkerPool},
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError,
        config::RunRecord,
        message::{StepAction, StepAnswer, StepPlan},
        platform::StoreClient,
        time::unix_ms,
        token::WeightVersion,
    },
    catkindeck_policy::{FetchAction, StepConfig, StepEntry, StepLedger},
    slog::Logger,
    std::{
        io,
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
    },
};

/// The maximum number of rounds of one fetch. A fetch may need two store writes: one for a loss,
/// and one more if the owner finds an entry of its own whose write had an unknown outcome.
const FETCH_ROUNDS: usize = 4;

/// The dependencies of a [`RunOwner`].
#[derive(Clone)]
pub struct OwnerParts {
    pub store: Arc<dyn StoreClient>,
    pub lease: Arc<dyn OwnerLease>,
    pub runner: Arc<dyn SampleRunner>,
    pub publisher: Arc<dyn WeightPublisher>,
    pub observer: Arc<dyn RunObserver>,
    pub clock: Arc<dyn Clock>,
    pub logger: Logger,
}

/// Owns a training run while it holds the run's lease.
///
/// Several entries may have an owner for the same run. Those that do not hold the lease refuse
/// every request.
pub struct RunOwner {
    core: Arc<OwnerCore>,
    pool: WorkerPool,
}

/// The state shared by the requests and the workers of an owner.
pub(crate) struct OwnerCore {
    pub(crate) run: RunRecord,
    pub(crate) parts: OwnerParts,
    storage: RunStorage,
    state: Mutex<OwnerState>,
    pub(crate) changed: Condvar,
}

/// The state of a run, as read from the store under one fencing token.
#[derive(Default)]
pub(crate) struct OwnerState {
    /// The fencing token under which the state was read, or `None` if it must be read again.
    fence: Option<u64>,
    head: RunHead,
    head_version: u64,
    pub(crate) step: Option<OpenStep>,
    pub(crate) stopping: bool,
}

impl RunOwner {
    /// Starts an owner with `workers` threads that generate samples.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn start(run: RunRecord, parts: OwnerParts, workers: usize) -> io::Result<Self> {
        let storage = RunStorage::new(run.name.clone(), Arc::clone(&parts.store));
        let core = Arc::new(OwnerCore {
            run,
            parts,
            storage,
            state: Mutex::new(OwnerState::default()),
            changed: Condvar::new(),
        });
        let pool = WorkerPool::start(&core, workers)?;
        Ok(Self { core, pool })
    }

    pub fn handle(&self, action: &StepAction) -> StepAnswer {
        let answer = match action {
            StepAction::Open(plan) => self.core.open(plan),
            StepAction::Fetch { step, cursor } => self.core.fetch(*step, *cursor),
            StepAction::Announce(version) => self.core.announce(*version),
        };
        answer.unwrap_or_else(StepAnswer::Refused)
    }

    /// Stops generating samples and waits for the worker threads.
    pub fn stop(&self) {
        self.core.lock().stopping = true;
        self.core.changed.notify_all();
        self.pool.join();
    }
}

impl Drop for RunOwner {
    fn drop(&mut self) {
        self.core.lock().stopping = true;
        self.core.changed.notify_all();
    }
}

impl OwnerCore {
    pub(crate) fn lock(&self) -> MutexGuard<'_, OwnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks the lease, and reads the state from the store if the fencing token has changed.
    pub(crate) fn refresh(&self, state: &mut OwnerState) -> Result<(), ServiceError> {
        let fence = match self.parts.lease.fence() {
            Ok(fence) => fence,
            Err(error) => {
                state.reset();
                return Err(error);
            }
        };
        if state.fence == Some(fence) {
            return Ok(());
        }
        state.reset();
        let (head, head_version) = self.storage.read_head()?;
        if let Some(step) = head.step {
            state.step = self.restore(&head, step)?;
        }
        state.head = head;
        state.head_version = head_version;
        state.fence = Some(fence);
        Ok(())
    }

    fn restore(&self, head: &RunHead, step: u64) -> Result<Option<OpenStep>, ServiceError> {
        let plan = match self.storage.read_plan(head.slot, step) {
            Ok(plan) if plan_digest(&plan)? == head.plan_digest => plan,
            Err(error) if error.kind == ErrorKind::StoreUnavailable => return Err(error),
            // The plan in the store is missing or another owner's. The trainer supplies it by
            // opening the step again.
            Ok(_) | Err(_) => return Ok(None),
        };
        self.restore_with(head, plan).map(Some)
    }

    fn restore_with(&self, head: &RunHead, plan: StepPlan) -> Result<OpenStep, ServiceError> {
        let log = self.storage.read_log(head.slot, plan.step)?;
        let retained = self.parts.runner.collect(&self.run, plan.step);
        let ledger = StepLedger::restore(self.step_config(), plan, head.version, log, retained)?;
        let elapsed_ms = unix_ms().saturating_sub(head.opened_ms);
        let remaining_ms = self.run.step_deadline_ms.saturating_sub(elapsed_ms);
        Ok(OpenStep::new(ledger, remaining_ms, self.parts.clock.now()))
    }

    fn open(&self, plan: &StepPlan) -> Result<StepAnswer, ServiceError> {
        let mut state = self.lock();
        self.refresh(&mut state)?;
        let digest = plan_digest(plan)?;
        if state.head.step == Some(plan.step) {
            return self.reopen_step(&mut state, plan, digest);
        }
        if let Some(open) = state.head.step {
            check_successor(&state, open, plan.step)?;
        }

        // The plan is stored before the head refers to it, so that the next owner finds it.
        let ledger = StepLedger::open(self.step_config(), plan.clone(), state.head.version)?;
        let head = RunHead {
            step: Some(plan.step),
            slot: 1 - state.head.slot.min(1),
            plan_digest: digest,
            opened_ms: unix_ms(),
            version: state.head.version,
        };
        self.storage.write_plan(head.slot, plan)?;
        self.write_head(&mut state, head)?;
        let now = self.parts.clock.now();
        state.step = Some(OpenStep::new(ledger, self.run.step_deadline_ms, now));
        self.changed.notify_all();
        Ok(StepAnswer::Accepted)
    }

    fn reopen_step(
        &self,
        state: &mut OwnerState,
        plan: &StepPlan,
        digest: [u8; 32],
    ) -> Result<StepAnswer, ServiceError> {
        if state.head.plan_digest != digest {
            return Err(ServiceError::not_run(
                ErrorKind::Conflict,
                format!("step {} is already open with a different plan", plan.step),
            ));
        }
        if state.step.is_none() {
            self.storage.write_plan(state.head.slot, plan)?;
            state.step = Some(self.restore_with(&state.head, plan.clone())?);
            self.changed.notify_all();
        }
        Ok(StepAnswer::Accepted)
    }

    fn announce(&self, version: WeightVersion) -> Result<StepAnswer, ServiceError> {
        let mut state = self.lock();
        self.refresh(&mut state)?;
        if version < state.head.version {
            return Err(ServiceError::not_run(
                ErrorKind::Conflict,
                format!(
                    "version {} is older than the current version {}",
                    version.0, state.head.version.0
                ),
            ));
        }
        let head = RunHead {
            version,
            ..state.head.clone()
        };
        self.write_head(&mut state, head)?;
        if let Some(work) = &mut state.step {
            work.announce(version, self.parts.clock.now())?;
        }
        self.changed.notify_all();
        let fence = self.parts.lease.fence()?;
        drop(state);
        self.parts.publisher.publish(&self.run, version, fence);
        Ok(StepAnswer::Accepted)
    }

    fn fetch(&self, step: u64, cursor: u32) -> Result<StepAnswer, ServiceError> {
        let mut state = self.lock();
        self.refresh(&mut state)?;
        for _ in 0..FETCH_ROUNDS {
            let slot = state.head.slot;
            let work = state.open_step(step)?;
            match work.ledger.fetch(cursor) {
                FetchAction::Persist(entry) => self.persist(&mut state, slot, step, entry)?,
                FetchAction::Pending => {
                    let (accepted, total) = work.ledger.progress();
                    return Ok(StepAnswer::Pending { accepted, total });
                }
                FetchAction::Offer { samples, last } => {
                    // The lease is checked once more after the store writes, immediately before the
                    // offer.
                    self.parts.lease.fence()?;
                    return Ok(StepAnswer::Batch { samples, last });
                }
                FetchAction::Lost(samples) => return Ok(StepAnswer::Lost { samples }),
                FetchAction::Refuse(error) => return Err(error),
            }
        }
        let detail = "the batch could not be stored; fetch the same cursor again";
        Err(ServiceError::not_run(ErrorKind::StoreUnavailable, detail))
    }

    fn persist(
        &self,
        state: &mut OwnerState,
        slot: u8,
        step: u64,
        entry: StepEntry,
    ) -> Result<(), ServiceError> {
        let work = state.open_step(step)?;
        let position = work.ledger.log_position();
        match self.storage.append(slot, step, position, &entry)? {
            AppendOutcome::Stored => {
                let offered = match &entry {
                    StepEntry::Offer(batch) => batch.samples.len(),
                    StepEntry::Lost(_) => 0,
                };
                let released = work.ledger.confirm(entry)?;
                let now = self.parts.clock.now();
                if offered > 0 {
                    let (run, observer) = (&self.run.name, &self.parts.observer);
                    observer.on_delivered(run, offered);
                    if work.ledger.all_offered() {
                        observer.on_step_completed(run, work.is_on_time(now));
                    }
                }
                work.on_entry_stored(now);
                self.changed.notify_all();
                if !released.is_empty() {
                    self.release_in_background(released);
                }
                Ok(())
            }
            AppendOutcome::Conflict => {
                state.reset();
                self.refresh(state)
            }
        }
    }

    /// Notifies the agents from a separate thread, because the trainer is waiting for the batch.
    fn release_in_background(&self, samples: Vec<catkindeck::message::SampleId>) {
        let runner = Arc::clone(&self.parts.runner);
        let run = self.run.clone();
        let spawned = thread::Builder::new()
            .name("sample-release".to_owned())
            .spawn(move || runner.release(&run, &samples));
        // If the thread cannot be started, the agents evict the samples when they need the memory.
        drop(spawned);
    }

    fn write_head(&self, state: &mut OwnerState, head: RunHead) -> Result<(), ServiceError> {
        match self.storage.write_head(&head, state.head_version) {
            Ok(version) => {
                state.head = head;
                state.head_version = version;
                Ok(())
            }
            Err(error) => {
                // The head in the store may have changed, so the next request reads it again.
                state.reset();
                Err(error)
            }
        }
    }

    fn step_config(&self) -> StepConfig {
        StepConfig {
            run: self.run.name.clone(),
            staleness_bound: self.run.staleness_bound,
            checks_enabled: true,
        }
    }
}

impl OwnerState {
    /// Discards the state, because another owner may have changed it in the store.
    fn reset(&mut self) {
        let stopping = self.stopping;
        *self = Self {
            stopping,
            ..Self::default()
        };
    }

    fn open_step(&mut self, step: u64) -> Result<&mut OpenStep, ServiceError> {
        let open = self.head.step;
        let work = self.step.as_mut().filter(|_| open == Some(step));
        work.ok_or_else(|| {
            let (kind, detail) = match open {
                Some(open) if open == step => (
                    ErrorKind::Conflict,
                    format!("step {step} must be opened again"),
                ),
                Some(open) => (
                    ErrorKind::NotFound,
                    format!("step {step} is not open; the open step is {open}"),
                ),
                None => (ErrorKind::NotFound, "no step is open".to_owned()),
            };
            ServiceError::not_run(kind, detail)
        })
    }
}

/// Checks that step `next` may replace the open one.
fn check_successor(state: &OwnerState, open: u64, next: u64) -> Result<(), ServiceError> {
    if next < open {
        let detail = format!("step {open} is already open");
        return Err(ServiceError::not_run(ErrorKind::Conflict, detail));
    }
    // A trainer may acknowledge the last batch by opening the next step.
    let is_complete = state
        .step
        .as_ref()
        .is_some_and(|work| work.ledger.all_offered());
    if !is_complete {
        let detail = format!("step {open} is not complete yet");
        return Err(ServiceError::not_run(ErrorKind::Conflict, detail));
    }
    Ok(())
}
