//! The threads that generate the samples of an open step.

use {
    crate::run::{
        owner::{OwnerCore, OwnerState},
        ports::SampleRequest,
    },
    catkindeck::{
        Moment, ServiceError, SortedMap,
        id::RequestId,
        message::{SampleId, SampleRecord},
        token::WeightVersion,
    },
    catkindeck_policy::{
        DiscardReason, SampleKey, SampleTask, StalenessForecast, StepLedger, StragglerAction,
        StragglerPolicy, StragglerSettings,
    },
    std::{
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// How long the first worker waits for a notification before it checks for work. Acquiring the
/// lease sends no notification, so one worker must poll. The others wait to be notified by the
/// first one, so that an idle owner wakes up only twice a second.
const FIRST_WORKER_IDLE_WAIT: Duration = Duration::from_millis(500);

/// How long the other workers wait for a notification before they check for work.
const OTHER_WORKERS_IDLE_WAIT: Duration = Duration::from_secs(30);

/// The pause after the first failed attempt, in milliseconds. It doubles with each consecutive
/// failure.
const FAILURE_PAUSE_MS: u64 = 50;

/// The maximum pause after a failed attempt, in milliseconds. While all upstreams are down, each
/// worker makes one attempt a second.
const FAILURE_PAUSE_LIMIT_MS: u64 = 1000;

/// The stack size of a worker thread, in bytes. It can be small, because requests and responses are
/// kept on the heap.
const WORKER_STACK_BYTES: usize = 256 * 1024;

/// Why an attempt produced no acceptable sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptFailure {
    /// The request failed, or the sample was discarded for another reason than its weights.
    Failed,
    /// The sample's weights were too old.
    Stale,
}

/// An open step with its running attempts.
pub(crate) struct OpenStep {
    pub(crate) ledger: StepLedger,
    stragglers: StragglerPolicy,
    forecast: StalenessForecast,
    deadline: Moment,
    running: SortedMap<RequestId, SampleTask>,
    duplicates: Vec<SampleTask>,
    mean_duration_ms: u64,
}

impl OpenStep {
    pub(crate) fn new(ledger: StepLedger, deadline_ms: u64, now: Moment) -> Self {
        let groups = u32::try_from(ledger.plan().prompts.len()).unwrap_or(u32::MAX);
        let size = ledger.plan().group_size;
        Self {
            ledger,
            stragglers: StragglerPolicy::new(StragglerSettings::default(), groups, size),
            forecast: StalenessForecast::new(),
            deadline: now + deadline_ms,
            running: SortedMap::new(),
            duplicates: Vec::new(),
            mean_duration_ms: 0,
        }
    }

    /// Records new weights. Running attempts continue, and their samples are accepted or discarded
    /// by their version labels when they finish.
    pub(crate) fn announce(
        &mut self,
        version: WeightVersion,
        now: Moment,
    ) -> Result<(), ServiceError> {
        self.forecast.record_announcement(now);
        self.ledger.announce(version)
    }

    /// Plans duplicate attempts after a log entry was stored, because the entry may have made
    /// samples pending again.
    pub(crate) fn on_entry_stored(&mut self, now: Moment) {
        self.plan_duplicates(now);
    }

    /// Registers the next attempt as running and returns it, or `None` if there is none at the
    /// moment.
    fn start_next_attempt(&mut self, now: Moment) -> Option<(RequestId, SampleTask)> {
        // An attempt whose sample would be too old when it finishes is delayed until new weights
        // are announced. If nothing is running, it starts anyway, because the trainer may need this
        // step before it can announce new weights.
        let bound = self.ledger.staleness_bound();
        let fresh = self
            .forecast
            .fits_bound(now, self.mean_duration_ms, 0, bound);
        if !fresh && !self.running.is_empty() {
            return None;
        }
        let task = self
            .duplicates
            .pop()
            .or_else(|| self.ledger.take_tasks(1).pop())?;
        let request = RequestId::random();
        self.stragglers
            .record_sent(now, sample_key(&task.id), request);
        self.running.insert(request, task.clone());
        Some((request, task))
    }

    /// Records the result of an attempt and returns the other attempts at the same sample, which
    /// are no longer needed.
    fn finish(
        &mut self,
        now: Moment,
        request: RequestId,
        result: Result<SampleRecord, ServiceError>,
    ) -> Result<Vec<RequestId>, AttemptFailure> {
        let Some(task) = self.running.remove(&request) else {
            return Ok(Vec::new());
        };
        let key = sample_key(&task.id);
        let failure = match result.map(|record| self.ledger.complete(record)) {
            Ok(Ok(())) => return Ok(self.stragglers.record_accepted(now, key, &request)),
            Ok(Err(DiscardReason::Stale)) => AttemptFailure::Stale,
            Ok(Err(_)) | Err(_) => AttemptFailure::Failed,
        };
        self.stragglers.record_failure(key, &request);
        let has_other_attempt = self.running.values().any(|other| other.id == task.id);
        if !has_other_attempt {
            self.ledger.requeue(&task.id);
        }
        Err(failure)
    }

    pub(crate) fn is_on_time(&self, now: Moment) -> bool {
        now < self.deadline
    }

    fn plan_duplicates(&mut self, now: Moment) {
        for action in self.stragglers.plan(now) {
            let StragglerAction::Duplicate(key) = action else {
                continue;
            };
            let original = self
                .running
                .values()
                .find(|task| sample_key(&task.id) == key);
            if let Some(task) = original {
                self.duplicates.push(task.clone());
            }
        }
    }

    fn remaining_ms(&self, now: Moment) -> u64 {
        // A step is still completed after its deadline, because the trainer waits for it.
        self.deadline.since(now).max(30_000)
    }
}

pub(crate) struct WorkerPool {
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl WorkerPool {
    pub(crate) fn start(core: &Arc<OwnerCore>, workers: usize) -> io::Result<Self> {
        let mut threads = Vec::with_capacity(workers);
        for index in 0..workers {
            let core = Arc::downgrade(core);
            let builder = thread::Builder::new()
                .name(format!("sample-{index}"))
                .stack_size(WORKER_STACK_BYTES);
            threads.push(builder.spawn(move || run_worker(&core, index))?);
        }
        Ok(Self {
            threads: Mutex::new(threads),
        })
    }

    pub(crate) fn join(&self) {
        let threads = {
            let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *threads)
        };
        for thread in threads {
            // A panic of the worker was already reported on standard error.
            let _ = thread.join();
        }
    }
}

/// Generates samples until the owner stops or is dropped.
fn run_worker(core: &Weak<OwnerCore>, index: usize) {
    let idle_wait = if index == 0 {
        FIRST_WORKER_IDLE_WAIT
    } else {
        OTHER_WORKERS_IDLE_WAIT
    };
    let mut idle = false;
    let mut failure_count = 0;
    while let Some(core) = core.upgrade() {
        let state = core.lock();
        if state.stopping {
            return;
        }
        match next_sample_request(&core, state) {
            Some(request) => {
                if std::mem::take(&mut idle) {
                    core.changed.notify_all();
                }
                run_attempt(&core, &request, &mut failure_count);
            }
            None => {
                let state = core.lock();
                if state.stopping {
                    return;
                }
                idle = true;
                // The wait ends early when a step is opened or samples become pending again.
                drop(core.changed.wait_timeout(state, idle_wait));
            }
        }
    }
}

fn next_sample_request(
    core: &OwnerCore,
    mut state: MutexGuard<'_, OwnerState>,
) -> Option<SampleRequest> {
    core.refresh(&mut state).ok()?;
    let now = core.parts.clock.now();
    let work = state.step.as_mut()?;
    work.plan_duplicates(now);
    let (request, task) = work.start_next_attempt(now)?;
    Some(SampleRequest {
        request,
        run: core.run.clone(),
        id: task.id,
        prompt: task.prompt,
        max_tokens: task.max_tokens,
        priority: task.priority,
        deadline_ms: work.remaining_ms(now),
    })
}

fn run_attempt(core: &OwnerCore, request: &SampleRequest, failure_count: &mut u32) {
    let started = core.parts.clock.now();
    let result = core.parts.runner.generate(request);
    let now = core.parts.clock.now();
    let superseded = {
        let mut state = core.lock();
        let Some(work) = state.step.as_mut() else {
            return;
        };
        let superseded = work.finish(now, request.request, result);
        if superseded.is_ok() {
            let duration = now.since(started);
            work.mean_duration_ms = if work.mean_duration_ms == 0 {
                duration
            } else {
                (work.mean_duration_ms * 7 + duration) / 8
            };
        }
        superseded
    };
    match superseded {
        Ok(superseded) => {
            *failure_count = 0;
            superseded
                .into_iter()
                .for_each(|request| core.parts.runner.cancel(request));
        }
        Err(failure) => {
            if failure == AttemptFailure::Stale {
                core.parts.observer.on_stale_discarded(&core.run.name);
            }
            let pause = (FAILURE_PAUSE_MS << (*failure_count).min(5)).min(FAILURE_PAUSE_LIMIT_MS);
            *failure_count += 1;
            thread::sleep(Duration::from_millis(pause));
        }
    }
}

fn sample_key(id: &SampleId) -> SampleKey {
    SampleKey {
        group: id.group,
        index: id.index,
    }
}
