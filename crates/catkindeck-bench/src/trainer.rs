//! Measure 1: idle time of a trainer and staleness of its samples.

use {
    crate::{
        deployment::{Deployment, ENGINE_SLOTS, TOKENS_PER_MS},
        engine::ModelWork,
        fleet::{EndedWork, ModelFleet, WorkEnd},
        gate::PolicyKind,
        random::ModelRandom,
        steps::{ModelStep, SampleState},
    },
    catkindeck::{Moment, message::WorkClass},
    catkindeck_policy::{SampleKey, StalenessForecast, StragglerAction},
    std::collections::BTreeMap,
};

/// The time that the trainer needs for one step, in milliseconds.
pub const TRAINING_MS: u64 = 150_000;

/// The number of batches of a step.
pub const BATCHES: usize = 4;

/// How many versions a delivered sample may lag behind.
pub const STALENESS_BOUND: usize = 1;

/// The end of the run, in milliseconds.
const END_MS: u64 = 1_500_000;

/// The time from which the trainer's idle time counts: the first step has nothing before it.
const MEASURED_FROM_MS: u64 = 300_000;

/// When a zone goes out, for the rest of the run.
const ZONE_OUT_MS: u64 = 200_000;

/// The interactive load as a part of the capacity of all zones.
const INTERACTIVE_LOAD: f64 = 0.2;

/// The rollout load as a part of the capacity of all zones.
pub const ROLLOUT_LOAD: f64 = 0.35;

/// The mean tokens of an interactive request.
const INTERACTIVE_TOKENS: f64 = 100.0;

/// The figures of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct TrainerFigures {
    /// The time in which the trainer waited for samples, in percent.
    pub idle_percent: f64,
    /// Delivered samples older than the bound, in percent.
    pub stale_percent: f64,
    /// Tokens made for samples that were not delivered, in percent of the delivered ones.
    pub wasted_percent: f64,
}

struct TrainerRun {
    fleet: ModelFleet,
    kind: PolicyKind,
    ahead: usize,
    forecast: StalenessForecast,
    /// The mean time of a sample from its start, in milliseconds.
    usual_ms: f64,
    random: ModelRandom,
    steps: Vec<ModelStep>,
    /// The step of which the trainer fetches batches; also the current weight version.
    current: usize,
    fetched: usize,
    busy_until: u64,
    idle_ms: u64,
    samples: BTreeMap<u32, (usize, SampleKey)>,
    next_id: u32,
    delivered: u64,
    stale: u64,
    delivered_tokens: f64,
    wasted_tokens: f64,
}

/// What a run varies.
#[derive(Debug, Clone, Copy)]
pub struct TrainerCase {
    /// The steps that the trainer keeps open ahead of the one that it trains on.
    pub ahead: usize,
    /// Whether one engine runs at a quarter of its speed.
    pub slow: bool,
}

/// Runs a trainer beside interactive load, with a zone out.
pub fn measure(
    deployment: Deployment,
    kind: PolicyKind,
    case: TrainerCase,
    seed: u64,
) -> TrainerFigures {
    let mut run = TrainerRun {
        fleet: ModelFleet::new(deployment, kind, seed),
        kind,
        ahead: case.ahead,
        forecast: StalenessForecast::new(),
        usual_ms: 0.0,
        random: ModelRandom::new(seed, 70),
        steps: Vec::new(),
        current: 0,
        fetched: 0,
        busy_until: 0,
        idle_ms: 0,
        samples: BTreeMap::new(),
        next_id: 0,
        delivered: 0,
        stale: 0,
        delivered_tokens: 0.0,
        wasted_tokens: 0.0,
    };
    if case.slow {
        run.fleet.engines[1].speed = 0.25;
    }
    let mut interactive = ModelRandom::new(seed, 71);
    let mean_wait = INTERACTIVE_TOKENS / (deployment.capacity() * INTERACTIVE_LOAD);
    let mut due = interactive.wait(mean_wait);
    while run.fleet.now.0 < END_MS {
        if run.fleet.now.0 == ZONE_OUT_MS {
            run.fleet.tell_agents(0, true);
            run.fleet.tell_entries(0, true);
        }
        while due <= run.fleet.now.0 as f64 {
            due += interactive.wait(mean_wait);
            let tokens = interactive.between(0.2, 1.8) * INTERACTIVE_TOKENS;
            let customer = 1 + interactive.below(7);
            run.send(customer, WorkClass::Interactive, 0, tokens);
        }
        run.train();
        run.dispatch();
        for ended in run.fleet.tick() {
            run.ended(ended);
        }
        if run.fleet.now.0.is_multiple_of(1_000) && kind == PolicyKind::Catkindeck {
            run.treat_stragglers();
        }
    }
    TrainerFigures {
        idle_percent: 100.0 * run.idle_ms as f64 / (END_MS - MEASURED_FROM_MS) as f64,
        stale_percent: 100.0 * run.stale as f64 / run.delivered.max(1) as f64,
        wasted_percent: 100.0 * run.wasted_tokens / run.delivered_tokens.max(1.0),
    }
}

impl TrainerRun {
    /// Opens steps ahead, fetches the next batch when the trainer is free, and counts idle time.
    fn train(&mut self) {
        while self.steps.len() <= self.current + self.ahead {
            let step = ModelStep::open(&self.fleet.deployment, &mut self.random);
            self.steps.push(step);
        }
        let now = self.fleet.now.0;
        if now < self.busy_until {
            return;
        }
        if self.fetched == BATCHES {
            // The step is trained on, so new weights are announced.
            self.current += 1;
            self.fetched = 0;
            self.forecast.record_announcement(self.fleet.now);
            return;
        }
        let arrival_order = self.kind == PolicyKind::Catkindeck;
        let Some(batch) = self.steps[self.current].batch(self.fetched, arrival_order) else {
            self.idle_ms += if now >= MEASURED_FROM_MS { 20 } else { 0 };
            return;
        };
        for (version, tokens) in batch {
            self.delivered += 1;
            self.delivered_tokens += tokens;
            self.stale += u64::from(self.current - version > STALENESS_BOUND);
        }
        self.fetched += 1;
        self.busy_until = now + TRAINING_MS / BATCHES as u64;
    }

    /// Sends samples: all at once as the baseline, or as far as staleness and capacity admit.
    fn dispatch(&mut self) {
        for index in self.current..self.steps.len() {
            // A step ahead is delivered under a later version, which counts as lag from the start.
            let lag = (index - self.current) as u64;
            let bound = STALENESS_BOUND as u64;
            let usual_ms = self.usual_ms as u64;
            let fresh = self
                .forecast
                .fits_bound(self.fleet.now, usual_ms, lag, bound);
            if self.kind == PolicyKind::Catkindeck && !fresh {
                return;
            }
            // Waiting samples stay with the owner, so that the oldest step goes first.
            let window = self.fleet.engines.len() * ENGINE_SLOTS as usize;
            let bounded = self.kind == PolicyKind::Catkindeck;
            while !bounded || self.samples.len() < window {
                let Some(member) = self.steps[index].next_unsent() else {
                    break;
                };
                if !self.send_sample(index, member) {
                    return;
                }
            }
        }
    }

    fn send_sample(&mut self, index: usize, member: SampleKey) -> bool {
        let now = self.fleet.now;
        let version = self.current;
        let tokens = self.steps[index].tokens(member);
        let priority = match self.kind {
            PolicyKind::Baseline => 0,
            _ => self.steps[index].policy.priority(member.group),
        };
        let id = self.next_id;
        self.samples.insert(id, (index, member));
        self.steps[index].sent(now, member, id, version);
        if self.send(0, WorkClass::Rollout, priority, tokens) {
            return true;
        }
        self.samples.remove(&id);
        self.steps[index].refused(member, id);
        false
    }

    fn send(&mut self, customer: usize, class: WorkClass, priority: u8, tokens: f64) -> bool {
        let now = self.fleet.now;
        let patience = match class {
            WorkClass::Interactive => 10.0 * INTERACTIVE_TOKENS / TOKENS_PER_MS,
            _ => 600_000.0,
        };
        let work = ModelWork {
            id: self.next_id,
            customer,
            class,
            priority,
            tokens,
            arrived: now,
            deadline: Moment(now.0 + patience as u64),
        };
        self.next_id += 1;
        self.fleet.send(work, &[]).is_some()
    }

    fn ended(&mut self, ended: EndedWork) {
        let Some((index, member)) = self.samples.remove(&ended.work.id) else {
            return;
        };
        let step = &mut self.steps[index];
        if ended.end != WorkEnd::Finished {
            step.refused(member, ended.work.id);
            return;
        }
        if matches!(step.state(member), SampleState::Accepted { .. }) {
            self.wasted_tokens += ended.work.tokens;
            return;
        }
        let took = self.fleet.now.since(ended.started) as f64;
        self.usual_ms += (took - self.usual_ms) * 0.02;
        let tokens = ended.work.tokens as u64;
        step.progressed(member, ended.work.id, tokens);
        for loser in step.accept(self.fleet.now, member, ended.work.id) {
            self.samples.remove(&loser);
            self.wasted_tokens += self.fleet.cancel(loser);
        }
    }

    fn treat_stragglers(&mut self) {
        let now = self.fleet.now;
        for running in self.fleet.engines.iter().flat_map(|engine| &engine.running) {
            if let Some((index, member)) = self.samples.get(&running.work.id) {
                let tokens = (running.work.tokens - running.left) as u64;
                self.steps[*index].progressed(*member, running.work.id, tokens);
            }
        }
        for index in self.current..self.steps.len() {
            for action in self.steps[index].policy.plan(now) {
                if let StragglerAction::Duplicate(member) = action {
                    self.send_sample(index, member);
                }
            }
        }
    }
}
