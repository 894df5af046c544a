//! Measures the idle time of a trainer and the staleness of its samples.
//!
//! This is measure 1 (`docs/design.md`, section 1).

use {
    crate::{
        deployment::{Deployment, ENGINE_SLOTS, TOKENS_PER_MS},
        engine::SimRequest,
        fleet::{EndedRequest, RequestOutcome, SimFleet},
        queue::PolicyKind,
        rng::SimRng,
        steps::{SampleState, SimStep},
    },
    catkindeck::{Moment, message::WorkClass},
    catkindeck_policy::{SampleKey, StalenessForecast, StragglerAction},
    std::collections::BTreeMap,
};

/// The time that the trainer takes for one step, in milliseconds.
pub const TRAINING_MS: u64 = 150_000;

/// The number of batches of a step.
pub const BATCHES_PER_STEP: usize = 4;

/// The maximum number of weight versions that a delivered sample may lag behind.
pub const STALENESS_BOUND: usize = 1;

/// The duration of the run, in milliseconds.
const RUN_MS: u64 = 1_500_000;

/// The time from which idle time is counted, in milliseconds.
///
/// The beginning is left out because the samples of the first step cannot be generated while an
/// earlier step is trained.
const MEASURED_FROM_MS: u64 = 300_000;

/// The time at which a zone goes out for the rest of the run, in milliseconds.
const ZONE_OUT_AT_MS: u64 = 200_000;

/// The interactive load as a fraction of the capacity of all zones.
const INTERACTIVE_LOAD: f64 = 0.2;

/// The rollout load as a fraction of the capacity of all zones.
pub const ROLLOUT_LOAD: f64 = 0.35;

/// The mean number of tokens of an interactive request.
const INTERACTIVE_TOKENS: f64 = 100.0;

/// The results of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct TrainerResults {
    /// The time during which the trainer waited for samples, in percent of the measured time.
    pub idle_percent: f64,
    /// The delivered samples that exceeded the staleness bound, in percent.
    pub stale_percent: f64,
    /// The tokens generated for discarded samples, in percent of those of delivered samples.
    pub wasted_percent: f64,
}

struct TrainerSim {
    fleet: SimFleet,
    kind: PolicyKind,
    steps_ahead: usize,
    forecast: StalenessForecast,
    /// The moving average of the duration of a sample, in milliseconds.
    mean_sample_ms: f64,
    rng: SimRng,
    steps: Vec<SimStep>,
    /// The step whose batches the trainer fetches, which is also the current weight version.
    current_step: usize,
    fetched_batches: usize,
    busy_until: u64,
    idle_ms: u64,
    samples: BTreeMap<u32, (usize, SampleKey)>,
    next_id: u32,
    delivered: u64,
    stale: u64,
    delivered_tokens: f64,
    wasted_tokens: f64,
}

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct TrainerParams {
    /// The number of steps that the trainer keeps open ahead of the current one.
    pub steps_ahead: usize,
    /// Whether one engine runs at a quarter of the normal speed.
    pub slow_engine: bool,
}

/// Simulates a trainer under interactive load; a zone goes out during the run.
pub fn measure(
    deployment: Deployment,
    kind: PolicyKind,
    params: TrainerParams,
    seed: u64,
) -> TrainerResults {
    let mut sim = TrainerSim {
        fleet: SimFleet::new(deployment, kind, seed),
        kind,
        steps_ahead: params.steps_ahead,
        forecast: StalenessForecast::new(),
        mean_sample_ms: 0.0,
        rng: SimRng::new(seed, 70),
        steps: Vec::new(),
        current_step: 0,
        fetched_batches: 0,
        busy_until: 0,
        idle_ms: 0,
        samples: BTreeMap::new(),
        next_id: 0,
        delivered: 0,
        stale: 0,
        delivered_tokens: 0.0,
        wasted_tokens: 0.0,
    };
    if params.slow_engine {
        sim.fleet.engines[1].speed_factor = 0.25;
    }
    let mut interactive = SimRng::new(seed, 71);
    let mean_interval = INTERACTIVE_TOKENS / (deployment.capacity() * INTERACTIVE_LOAD);
    let mut next_arrival = interactive.exponential(mean_interval);
    while sim.fleet.now.0 < RUN_MS {
        if sim.fleet.now.0 == ZONE_OUT_AT_MS {
            sim.fleet.notify_agents(0, true);
            sim.fleet.notify_entries(0, true);
        }
        while next_arrival <= sim.fleet.now.0 as f64 {
            next_arrival += interactive.exponential(mean_interval);
            let tokens = interactive.between(0.2, 1.8) * INTERACTIVE_TOKENS;
            let customer = 1 + interactive.below(7);
            sim.send(customer, WorkClass::Interactive, 0, tokens);
        }
        sim.advance_trainer();
        sim.dispatch_samples();
        for ended in sim.fleet.tick() {
            sim.handle_ended(ended);
        }
        if sim.fleet.now.0.is_multiple_of(1_000) && kind == PolicyKind::Catkindeck {
            sim.duplicate_stragglers();
        }
    }
    TrainerResults {
        idle_percent: 100.0 * sim.idle_ms as f64 / (RUN_MS - MEASURED_FROM_MS) as f64,
        stale_percent: 100.0 * sim.stale as f64 / sim.delivered.max(1) as f64,
        wasted_percent: 100.0 * sim.wasted_tokens / sim.delivered_tokens.max(1.0),
    }
}

impl TrainerSim {
    /// Opens steps ahead, fetches the next batch if the trainer is not busy, and counts idle time.
    fn advance_trainer(&mut self) {
        while self.steps.len() <= self.current_step + self.steps_ahead {
            let step = SimStep::open(&self.fleet.deployment, &mut self.rng);
            self.steps.push(step);
        }
        let now = self.fleet.now.0;
        if now < self.busy_until {
            return;
        }
        if self.fetched_batches == BATCHES_PER_STEP {
            // Training of the step has finished, so new weights are announced.
            self.current_step += 1;
            self.fetched_batches = 0;
            self.forecast.record_announcement(self.fleet.now);
            return;
        }
        let arrival_order = self.kind == PolicyKind::Catkindeck;
        let Some(batch) =
            self.steps[self.current_step].take_batch(self.fetched_batches, arrival_order)
        else {
            self.idle_ms += if now >= MEASURED_FROM_MS { 20 } else { 0 };
            return;
        };
        for (version, tokens) in batch {
            self.delivered += 1;
            self.delivered_tokens += tokens;
            self.stale += u64::from(self.current_step - version > STALENESS_BOUND);
        }
        self.fetched_batches += 1;
        self.busy_until = now + TRAINING_MS / BATCHES_PER_STEP as u64;
    }

    /// Sends samples: the baseline sends all of them at once, the policy as many as staleness and
    /// capacity allow.
    fn dispatch_samples(&mut self) {
        for index in self.current_step..self.steps.len() {
            // The samples of a future step are delivered under a later version, so they already lag
            // behind when they are sent.
            let lag = (index - self.current_step) as u64;
            let bound = STALENESS_BOUND as u64;
            let mean_sample_ms = self.mean_sample_ms as u64;
            let fresh = self
                .forecast
                .fits_bound(self.fleet.now, mean_sample_ms, lag, bound);
            if self.kind == PolicyKind::Catkindeck && !fresh {
                return;
            }
            // Samples beyond the window wait at the run's owner, so that those of the oldest step
            // are sent first.
            let window = self.fleet.engines.len() * ENGINE_SLOTS as usize;
            let bounded = self.kind == PolicyKind::Catkindeck;
            while !bounded || self.samples.len() < window {
                let Some(key) = self.steps[index].next_unsent() else {
                    break;
                };
                if !self.send_sample(index, key) {
                    return;
                }
            }
        }
    }

    fn send_sample(&mut self, index: usize, key: SampleKey) -> bool {
        let now = self.fleet.now;
        let version = self.current_step;
        let tokens = self.steps[index].tokens(key);
        let priority = match self.kind {
            PolicyKind::Baseline => 0,
            _ => self.steps[index].policy.priority(key.group),
        };
        let id = self.next_id;
        self.samples.insert(id, (index, key));
        self.steps[index].record_sent(now, key, id, version);
        if self.send(0, WorkClass::Rollout, priority, tokens) {
            return true;
        }
        self.samples.remove(&id);
        self.steps[index].record_failure(key, id);
        false
    }

    fn send(&mut self, customer: usize, class: WorkClass, priority: u8, tokens: f64) -> bool {
        let now = self.fleet.now;
        let timeout_ms = match class {
            WorkClass::Interactive => 10.0 * INTERACTIVE_TOKENS / TOKENS_PER_MS,
            _ => 600_000.0,
        };
        let request = SimRequest {
            id: self.next_id,
            customer,
            class,
            priority,
            tokens,
            arrived_at: now,
            deadline: Moment(now.0 + timeout_ms as u64),
        };
        self.next_id += 1;
        self.fleet.send(request, &[]).is_some()
    }

    fn handle_ended(&mut self, ended: EndedRequest) {
        let Some((index, key)) = self.samples.remove(&ended.request.id) else {
            return;
        };
        let step = &mut self.steps[index];
        if ended.outcome != RequestOutcome::Finished {
            step.record_failure(key, ended.request.id);
            return;
        }
        if matches!(step.state(key), SampleState::Accepted { .. }) {
            self.wasted_tokens += ended.request.tokens;
            return;
        }
        let duration_ms = self.fleet.now.since(ended.started) as f64;
        self.mean_sample_ms += (duration_ms - self.mean_sample_ms) * 0.02;
        let tokens = ended.request.tokens as u64;
        step.record_progress(key, ended.request.id, tokens);
        for superseded_id in step.accept(self.fleet.now, key, ended.request.id) {
            self.samples.remove(&superseded_id);
            self.wasted_tokens += self.fleet.cancel(superseded_id);
        }
    }

    fn duplicate_stragglers(&mut self) {
        let now = self.fleet.now;
        for running in self.fleet.engines.iter().flat_map(|engine| &engine.running) {
            if let Some((index, key)) = self.samples.get(&running.request.id) {
                let tokens = (running.request.tokens - running.remaining_tokens) as u64;
                self.steps[*index].record_progress(*key, running.request.id, tokens);
            }
        }
        for index in self.current_step..self.steps.len() {
            for action in self.steps[index].policy.plan(now) {
                if let StragglerAction::Duplicate(key) = action {
                    self.send_sample(index, key);
                }
            }
        }
    }
}
