//! Measure 5: service while a zone leaves and returns, and retries when one fails.

use {
    crate::{
        deployment::{Deployment, ENGINE_SLOTS, TOKENS_PER_MS, WEIGHTS, object_name},
        engine::ModelWork,
        fleet::{EndedWork, ModelFleet, WorkEnd},
        gate::{PolicyKind, customer_name},
        random::ModelRandom,
    },
    catkindeck::{Moment, message::WorkClass},
    catkindeck_policy::RetryBudget,
    std::collections::BTreeMap,
};

/// When the zone goes out, in milliseconds.
const OUT_MS: u64 = 30_000;

/// When it comes back.
const BACK_MS: u64 = 120_000;

/// The end of the run.
const END_MS: u64 = 240_000;

/// The time from the statement until agents hear the direct order, in milliseconds.
const ORDER_MS: u64 = 500;

/// The time until entries have the configuration, in milliseconds; the bound at target size is 17 s.
const SPREAD_MS: u64 = 5_000;

/// The offered load as a part of the capacity of all zones.
const LOAD: f64 = 0.55;

/// The window in which attempts are compared with requests, in milliseconds.
const AMPLIFICATION_WINDOW_MS: u64 = 10_000;

/// The mean tokens of a request.
const MEAN_TOKENS: f64 = 100.0;

/// The attempts that the baseline makes for each request.
const BASELINE_ATTEMPTS: usize = 4;

/// The retry budget of each customer, in percent (`docs/design.md`, decision 5).
const RETRY_PERCENT: u32 = 10;

/// The figures of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct ZoneFigures {
    /// The time from the zone's going out until the last start of new work in it, in seconds.
    pub last_start_s: f64,
    /// Engine ticks with more work than the returned, cold engines bear, in percent of their ticks.
    pub overload_percent: f64,
    /// Requests that were not answered whole, in percent.
    pub unanswered_percent: f64,
    /// Attempts for each request in the worst 10 s while the zone was out.
    pub amplification: f64,
}

/// Whether the zone is taken out by statement or vanishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneEvent {
    /// The operators take the zone out and bring it back; its engines return cold.
    Announced,
    /// All hosts of the zone vanish at once and do not return.
    Failed,
}

struct ZoneRun {
    fleet: ModelFleet,
    kind: PolicyKind,
    /// One budget at each entry; requests alternate between the entries.
    budgets: [RetryBudget; 2],
    tried: BTreeMap<u32, Vec<usize>>,
    requests: u64,
    unanswered: u64,
    requests_out: u64,
    attempts_out: u64,
}

/// Runs the load over a zone event.
pub fn measure(
    deployment: Deployment,
    kind: PolicyKind,
    event: ZoneEvent,
    seed: u64,
) -> ZoneFigures {
    let mut run = ZoneRun {
        fleet: ModelFleet::new(deployment, kind, seed),
        kind,
        budgets: [RetryBudget::new(), RetryBudget::new()],
        tried: BTreeMap::new(),
        requests: 0,
        unanswered: 0,
        requests_out: 0,
        attempts_out: 0,
    };
    let mut random = ModelRandom::new(seed, 50);
    let mean_wait = MEAN_TOKENS / (deployment.capacity() * LOAD);
    let mut due = random.wait(mean_wait);
    let mut figures = ZoneFigures::default();
    let (mut overload, mut next) = (0u64, 0);
    while run.fleet.now.0 < END_MS {
        run.change_zone(event);
        while due <= run.fleet.now.0 as f64 {
            due += random.wait(mean_wait);
            next += 1;
            let customer = weighted_customer(&mut random);
            let tokens = random.between(0.2, 1.8) * MEAN_TOKENS;
            run.request(work(next, customer, tokens, run.fleet.now));
        }
        let ended = run.fleet.tick();
        for ended in ended {
            run.ended(ended);
        }
        let now = run.fleet.now.0;
        let out = (OUT_MS..BACK_MS).contains(&now);
        let in_zone = |engine: &usize| deployment.zone_of(*engine) == 0;
        if out && event == ZoneEvent::Announced && run.fleet.starts.iter().any(in_zone) {
            figures.last_start_s = (now - OUT_MS) as f64 / 1_000.0;
        }
        if out && now.is_multiple_of(AMPLIFICATION_WINDOW_MS) {
            let attempts = std::mem::take(&mut run.attempts_out) as f64;
            let requests = std::mem::take(&mut run.requests_out) as f64;
            figures.amplification = figures.amplification.max(attempts / requests.max(1.0));
        }
        if now == BACK_MS {
            overload = run.overloaded_ticks();
        }
    }
    let ticks = (END_MS - BACK_MS) as f64 / 20.0;
    let engines = (0..deployment.engines).filter(|engine| deployment.zone_of(*engine) == 0);
    let overloaded = run.overloaded_ticks() - overload;
    figures.overload_percent = 100.0 * overloaded as f64 / (ticks * engines.count() as f64);
    figures.unanswered_percent = 100.0 * run.unanswered as f64 / run.requests as f64;
    figures
}

impl ZoneRun {
    fn change_zone(&mut self, event: ZoneEvent) {
        let now = self.fleet.now.0;
        let engines: Vec<usize> = (0..self.fleet.engines.len())
            .filter(|engine| self.fleet.deployment.zone_of(*engine) == 0)
            .collect();
        if event == ZoneEvent::Failed {
            if now == OUT_MS {
                engines.iter().for_each(|engine| self.fleet.vanish(*engine));
            }
            // The platform's host list drops the hosts after its lag.
            if now == OUT_MS + SPREAD_MS {
                self.fleet.tell_entries(0, true);
            }
            return;
        }
        match now {
            _ if now == OUT_MS + ORDER_MS => self.fleet.tell_agents(0, true),
            _ if now == OUT_MS + SPREAD_MS => self.fleet.tell_entries(0, true),
            // The hosts were worked on, so their engines come back cold.
            BACK_MS => {
                engines
                    .iter()
                    .for_each(|engine| self.fleet.restart(*engine));
                self.fleet.tell_agents(0, false);
                self.fleet.tell_entries(0, false);
            }
            _ => {}
        }
    }

    fn request(&mut self, work: ModelWork) {
        self.requests += 1;
        self.requests_out += u64::from(self.is_out());
        let customer = customer_name(work.customer);
        let now = self.fleet.now;
        self.budgets[work.id as usize % 2].deposit(
            now,
            Some(&customer),
            &object_name("drafts"),
            RETRY_PERCENT,
        );
        self.attempt(work, Vec::new());
    }

    fn attempt(&mut self, work: ModelWork, tried: Vec<usize>) {
        self.attempts_out += u64::from(self.is_out());
        let Some(engine) = self.fleet.send(work, &tried) else {
            self.unanswered += 1;
            return;
        };
        let mut tried = tried;
        tried.push(engine);
        self.tried.insert(work.id, tried);
    }

    /// Retries what may be retried; the requests of this model are idempotent.
    fn ended(&mut self, ended: EndedWork) {
        let tried = self.tried.remove(&ended.work.id).unwrap_or_default();
        if ended.end == WorkEnd::Finished {
            return;
        }
        let allowed = match self.kind {
            PolicyKind::Baseline => tried.len() < BASELINE_ATTEMPTS,
            PolicyKind::Catkindeck | PolicyKind::FixedLimit => {
                let customer = customer_name(ended.work.customer);
                let route = object_name("drafts");
                let now = self.fleet.now;
                self.budgets[ended.work.id as usize % 2]
                    .spend(now, Some(&customer), &route)
                    .is_ok()
            }
        };
        match allowed && self.fleet.now < ended.work.deadline {
            true => self.attempt(ended.work, tried),
            false => self.unanswered += 1,
        }
    }

    fn is_out(&self) -> bool {
        (OUT_MS..BACK_MS).contains(&self.fleet.now.0)
    }

    fn overloaded_ticks(&self) -> u64 {
        let engines = self.fleet.engines.iter().enumerate();
        let in_zone = engines.filter(|(engine, _)| self.fleet.deployment.zone_of(*engine) == 0);
        in_zone.map(|(_, engine)| engine.overloaded_ticks).sum()
    }
}

fn weighted_customer(random: &mut ModelRandom) -> usize {
    let total: u32 = WEIGHTS.iter().sum();
    let mut drawn = random.below(total as usize) as u32;
    for (customer, weight) in WEIGHTS.iter().enumerate() {
        if drawn < *weight {
            return customer;
        }
        drawn -= weight;
    }
    0
}

fn work(id: u32, customer: usize, tokens: f64, now: Moment) -> ModelWork {
    // A caller waits ten times as long as a request takes at a busy engine.
    let patience = 10.0 * MEAN_TOKENS / TOKENS_PER_MS * f64::from(ENGINE_SLOTS) / 16.0;
    ModelWork {
        id,
        customer,
        class: WorkClass::Interactive,
        priority: 0,
        tokens,
        arrived: now,
        deadline: now + patience as u64,
    }
}
