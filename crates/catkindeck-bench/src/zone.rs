//! Measures the service while a zone goes out and returns, and the retries when a zone fails.
//!
//! This is measure 5 (`docs/design.md`, section 1).

use {
    crate::{
        deployment::{CUSTOMER_WEIGHTS, Deployment, ENGINE_SLOTS, TOKENS_PER_MS, object_name},
        engine::SimRequest,
        fleet::{EndedRequest, RequestOutcome, SimFleet},
        queue::{PolicyKind, customer_name},
        rng::SimRng,
    },
    catkindeck::{Moment, message::WorkClass},
    catkindeck_policy::RetryBudget,
    std::collections::BTreeMap,
};

/// The time at which the zone goes out or fails, in milliseconds.
const ZONE_OUT_AT_MS: u64 = 30_000;

/// The time at which the zone returns, in milliseconds.
const ZONE_RETURNS_AT_MS: u64 = 120_000;

/// The duration of the run, in milliseconds.
const RUN_MS: u64 = 240_000;

/// The delay until agents receive the direct order that the zone is out, in milliseconds.
const DIRECT_ORDER_DELAY_MS: u64 = 500;

/// The delay until entries receive the new configuration, in milliseconds; the bound for a
/// deployment of the target size is 17 s.
const CONFIG_PROPAGATION_MS: u64 = 5_000;

/// The offered load as a fraction of the capacity of all zones.
const OFFERED_LOAD: f64 = 0.55;

/// The window over which the number of attempts per request is measured, in milliseconds.
const RETRY_AMPLIFICATION_WINDOW_MS: u64 = 10_000;

/// The mean number of tokens of a request.
const MEAN_TOKENS: f64 = 100.0;

/// The maximum number of attempts that the baseline makes for a request.
const BASELINE_ATTEMPTS: usize = 4;

/// The retry budget of each customer, in percent (`docs/design.md`, decision 5).
const RETRY_PERCENT: u32 = 10;

/// The results of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct ZoneResults {
    /// The time from the zone's exclusion until the last request started in it, in seconds.
    pub last_start_s: f64,
    /// The ticks in which the zone's engines were overloaded after they returned cold, in percent.
    pub overload_percent: f64,
    /// The requests that did not complete, in percent.
    pub incomplete_percent: f64,
    /// The attempts per request in the worst 10 s window while the zone was out.
    pub amplification: f64,
}

/// The way in which the zone becomes unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneEvent {
    /// The operators take the zone out and return it later with cold engines.
    Announced,
    /// All hosts of the zone fail at once and do not return.
    Failed,
}

struct ZoneSim {
    fleet: SimFleet,
    kind: PolicyKind,
    /// The retry budget of each entry; requests alternate between the entries.
    budgets: [RetryBudget; 2],
    tried_engines: BTreeMap<u32, Vec<usize>>,
    requests: u64,
    incomplete: u64,
    requests_in_outage: u64,
    attempts_in_outage: u64,
}

/// Simulates the load during a zone event.
pub fn measure(
    deployment: Deployment,
    kind: PolicyKind,
    event: ZoneEvent,
    seed: u64,
) -> ZoneResults {
    let mut sim = ZoneSim {
        fleet: SimFleet::new(deployment, kind, seed),
        kind,
        budgets: [RetryBudget::new(), RetryBudget::new()],
        tried_engines: BTreeMap::new(),
        requests: 0,
        incomplete: 0,
        requests_in_outage: 0,
        attempts_in_outage: 0,
    };
    let mut rng = SimRng::new(seed, 50);
    let mean_interval = MEAN_TOKENS / (deployment.capacity() * OFFERED_LOAD);
    let mut next_arrival = rng.exponential(mean_interval);
    let mut results = ZoneResults::default();
    let (mut overloaded_before_return, mut next_id) = (0u64, 0);
    while sim.fleet.now.0 < RUN_MS {
        sim.apply_zone_event(event);
        while next_arrival <= sim.fleet.now.0 as f64 {
            next_arrival += rng.exponential(mean_interval);
            next_id += 1;
            let customer = draw_customer(&mut rng);
            let tokens = rng.between(0.2, 1.8) * MEAN_TOKENS;
            sim.submit(new_request(next_id, customer, tokens, sim.fleet.now));
        }
        let ended = sim.fleet.tick();
        for ended in ended {
            sim.handle_ended(ended);
        }
        let now = sim.fleet.now.0;
        let out = (ZONE_OUT_AT_MS..ZONE_RETURNS_AT_MS).contains(&now);
        let in_zone = |engine: &usize| deployment.zone_of(*engine) == 0;
        if out && event == ZoneEvent::Announced && sim.fleet.starts.iter().any(in_zone) {
            results.last_start_s = (now - ZONE_OUT_AT_MS) as f64 / 1_000.0;
        }
        if out && now.is_multiple_of(RETRY_AMPLIFICATION_WINDOW_MS) {
            let attempts = std::mem::take(&mut sim.attempts_in_outage) as f64;
            let requests = std::mem::take(&mut sim.requests_in_outage) as f64;
            results.amplification = results.amplification.max(attempts / requests.max(1.0));
        }
        if now == ZONE_RETURNS_AT_MS {
            overloaded_before_return = sim.overloaded_ticks();
        }
    }
    let ticks = (RUN_MS - ZONE_RETURNS_AT_MS) as f64 / 20.0;
    let engines = (0..deployment.engines).filter(|engine| deployment.zone_of(*engine) == 0);
    let overloaded = sim.overloaded_ticks() - overloaded_before_return;
    results.overload_percent = 100.0 * overloaded as f64 / (ticks * engines.count() as f64);
    results.incomplete_percent = 100.0 * sim.incomplete as f64 / sim.requests as f64;
    results
}

impl ZoneSim {
    fn apply_zone_event(&mut self, event: ZoneEvent) {
        let now = self.fleet.now.0;
        let engines: Vec<usize> = (0..self.fleet.engines.len())
            .filter(|engine| self.fleet.deployment.zone_of(*engine) == 0)
            .collect();
        if event == ZoneEvent::Failed {
            if now == ZONE_OUT_AT_MS {
                engines
                    .iter()
                    .for_each(|engine| self.fleet.fail_host(*engine));
            }
            // The platform's lagging host list no longer contains the failed hosts.
            if now == ZONE_OUT_AT_MS + CONFIG_PROPAGATION_MS {
                self.fleet.notify_entries(0, true);
            }
            return;
        }
        match now {
            _ if now == ZONE_OUT_AT_MS + DIRECT_ORDER_DELAY_MS => self.fleet.notify_agents(0, true),
            _ if now == ZONE_OUT_AT_MS + CONFIG_PROPAGATION_MS => {
                self.fleet.notify_entries(0, true)
            }
            // The hosts were under maintenance, so their engines return cold.
            ZONE_RETURNS_AT_MS => {
                engines
                    .iter()
                    .for_each(|engine| self.fleet.restart(*engine));
                self.fleet.notify_agents(0, false);
                self.fleet.notify_entries(0, false);
            }
            _ => {}
        }
    }

    fn submit(&mut self, request: SimRequest) {
        self.requests += 1;
        self.requests_in_outage += u64::from(self.zone_is_out());
        let customer = customer_name(request.customer);
        let now = self.fleet.now;
        self.budgets[request.id as usize % 2].deposit(
            now,
            Some(&customer),
            &object_name("drafts"),
            RETRY_PERCENT,
        );
        self.attempt(request, Vec::new());
    }

    fn attempt(&mut self, request: SimRequest, tried_engines: Vec<usize>) {
        self.attempts_in_outage += u64::from(self.zone_is_out());
        let Some(engine) = self.fleet.send(request, &tried_engines) else {
            self.incomplete += 1;
            return;
        };
        let mut tried_engines = tried_engines;
        tried_engines.push(engine);
        self.tried_engines.insert(request.id, tried_engines);
    }

    /// Retries a failed request if the policy allows it; all simulated requests are idempotent.
    fn handle_ended(&mut self, ended: EndedRequest) {
        let tried_engines = self
            .tried_engines
            .remove(&ended.request.id)
            .unwrap_or_default();
        if ended.outcome == RequestOutcome::Finished {
            return;
        }
        let allowed = match self.kind {
            PolicyKind::Baseline => tried_engines.len() < BASELINE_ATTEMPTS,
            PolicyKind::Catkindeck | PolicyKind::FixedLimit => {
                let customer = customer_name(ended.request.customer);
                let route = object_name("drafts");
                let now = self.fleet.now;
                self.budgets[ended.request.id as usize % 2]
                    .spend(now, Some(&customer), &route)
                    .is_ok()
            }
        };
        match allowed && self.fleet.now < ended.request.deadline {
            true => self.attempt(ended.request, tried_engines),
            false => self.incomplete += 1,
        }
    }

    fn zone_is_out(&self) -> bool {
        (ZONE_OUT_AT_MS..ZONE_RETURNS_AT_MS).contains(&self.fleet.now.0)
    }

    fn overloaded_ticks(&self) -> u64 {
        let engines = self.fleet.engines.iter().enumerate();
        let in_zone = engines.filter(|(engine, _)| self.fleet.deployment.zone_of(*engine) == 0);
        in_zone.map(|(_, engine)| engine.overloaded_ticks).sum()
    }
}

fn draw_customer(rng: &mut SimRng) -> usize {
    let total: u32 = CUSTOMER_WEIGHTS.iter().sum();
    let mut drawn = rng.below(total as usize) as u32;
    for (customer, weight) in CUSTOMER_WEIGHTS.iter().enumerate() {
        if drawn < *weight {
            return customer;
        }
        drawn -= weight;
    }
    0
}

fn new_request(id: u32, customer: usize, tokens: f64, now: Moment) -> SimRequest {
    // A caller waits ten times as long as a request takes at a fully loaded engine.
    let timeout_ms = 10.0 * MEAN_TOKENS / TOKENS_PER_MS * f64::from(ENGINE_SLOTS) / 16.0;
    SimRequest {
        id,
        customer,
        class: WorkClass::Interactive,
        priority: 0,
        tokens,
        arrived_at: now,
        deadline: now + timeout_ms as u64,
    }
}
