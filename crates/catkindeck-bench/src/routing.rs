//! Compares prefix-aware routing with round robin when cache events are delayed or lost.
//!
//! Part of measure 2 (`docs/design.md`, section 1).

use {
    crate::{
        deployment::{Deployment, ENGINE_SLOTS, object_name},
        queue::PolicyKind,
        rng::SimRng,
    },
    catkindeck::{
        Moment,
        config::{ConfigRevision, UpstreamRecord},
        id::{BootId, IncarnationId},
        message::LoadReport,
    },
    catkindeck_policy::{RouteQuery, RouterSettings, UpstreamRouter},
    std::collections::VecDeque,
};

/// The number of distinct prompt prefixes; those with lower numbers are requested more often.
const PREFIXES: usize = 400;

/// The capacity of one engine's prefix cache, in prefixes.
const CACHE_CAPACITY: usize = 64;

/// The fraction of the cache events that are lost.
const EVENT_LOSS_FRACTION: f64 = 0.1;

/// The interval between two reports of an engine, in milliseconds; cache events are delayed by one
/// interval.
const REPORT_INTERVAL_MS: u64 = 500;

/// The duration of a request whose prefix is cached, in milliseconds.
const HIT_MS: u64 = 1_500;

/// The duration of a request whose prefix is not cached, in milliseconds.
const MISS_MS: u64 = 2_500;

/// The offered load as a fraction of the capacity without any cache hits.
const OFFERED_LOAD: f64 = 1.1;

/// The duration of the run, in milliseconds.
const RUN_MS: u64 = 300_000;

/// The results of one run.
#[derive(Debug, Clone, Copy)]
pub struct RoutingResults {
    /// The requests whose prefix was cached, in percent.
    pub hit_percent: f64,
    /// The 99th percentile of the time in the queue, in seconds.
    pub p99_wait_s: f64,
}

/// An engine with slots, a FIFO queue and a prefix cache.
#[derive(Debug, Default)]
struct PrefixCacheEngine {
    /// The completion times of the running requests.
    ends: Vec<u64>,
    /// The prefixes and arrival times of the queued requests.
    queue: VecDeque<(u64, u64)>,
    /// The cached prefixes, the least recently used one first.
    cached: VecDeque<u64>,
    /// The cached prefixes that the next load report contains.
    reported: Vec<u64>,
}

/// Simulates requests with prefixes under prefix-aware routing or round robin.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> RoutingResults {
    let mut rng = SimRng::new(seed, 100);
    let members: Vec<UpstreamRecord> = (0..deployment.engines)
        .map(|engine| UpstreamRecord {
            name: object_name(&format!("engine-{engine:02}")),
            service: object_name("drafts"),
            zone: object_name(deployment.zones[deployment.zone_of(engine)]),
            agent: ([127, 0, 0, 1], 1).into(),
            added_ms: 0,
            removed_ms: None,
        })
        .collect();
    let mut router = UpstreamRouter::new(RouterSettings::default(), object_name("entry"), seed);
    router.set_members(&members, &[], &[]);
    let mut engines: Vec<PrefixCacheEngine> = members
        .iter()
        .map(|_| PrefixCacheEngine::default())
        .collect();
    let slots = deployment.engines as f64 * f64::from(ENGINE_SLOTS);
    let mean_interval = MISS_MS as f64 / (slots * OFFERED_LOAD);
    let (mut next_arrival, mut sent, mut hits) = (0.0, 0usize, 0usize);
    let mut waits = Vec::new();
    for now in (0..RUN_MS).step_by(10) {
        while next_arrival <= now as f64 {
            next_arrival += rng.exponential(mean_interval);
            let skewed = rng.uniform() * rng.uniform();
            let prefix = (skewed * PREFIXES as f64) as u64;
            let engine = match kind {
                PolicyKind::Baseline => sent % engines.len(),
                _ => route(&mut router, now, prefix, &members),
            };
            sent += 1;
            engines[engine].queue.push_back((prefix, now));
        }
        for (engine, state) in engines.iter_mut().enumerate() {
            hits += state.advance(now, &mut waits);
            if now % REPORT_INTERVAL_MS == engine as u64 * 10 {
                let report = state.report(&mut rng);
                router.record_report(Moment(now), &members[engine].name, &report);
            }
        }
    }
    waits.sort_unstable();
    let rank = waits.len() * 99 / 100;
    RoutingResults {
        hit_percent: 100.0 * hits as f64 / sent as f64,
        p99_wait_s: waits.get(rank).map_or(0.0, |wait| *wait as f64 / 1_000.0),
    }
}

fn route(router: &mut UpstreamRouter, now: u64, prefix: u64, members: &[UpstreamRecord]) -> usize {
    let service = object_name("drafts");
    let query = RouteQuery {
        service: &service,
        prefix: Some(prefix),
        excluded: &[],
    };
    let Ok(choice) = router.route(Moment(now), &query) else {
        return 0;
    };
    router.record_sent(&choice.upstream);
    router.record_end(&choice.upstream);
    let position = members
        .iter()
        .position(|member| member.name == choice.upstream);
    position.unwrap_or(0)
}

impl PrefixCacheEngine {
    /// Advances the engine to the time `now`: completes and starts requests, and returns the number
    /// of cache hits.
    fn advance(&mut self, now: u64, waits: &mut Vec<u64>) -> usize {
        let mut hits = 0;
        self.ends.retain(|end| *end > now);
        while self.ends.len() < ENGINE_SLOTS as usize
            && let Some((prefix, arrived_at)) = self.queue.pop_front()
        {
            let position = self.cached.iter().position(|cached| *cached == prefix);
            if let Some(position) = position {
                self.cached.remove(position);
                hits += 1;
            }
            self.cached.push_back(prefix);
            if self.cached.len() > CACHE_CAPACITY {
                self.cached.pop_front();
            }
            let time = if position.is_some() { HIT_MS } else { MISS_MS };
            self.ends.push(now + time);
            waits.push(now - arrived_at);
        }
        hits
    }

    /// Returns a load report whose cache contents are one interval old and incomplete.
    fn report(&mut self, rng: &mut SimRng) -> LoadReport {
        let cached = self.cached.iter().copied();
        let delivered = cached
            .filter(|_| rng.uniform() >= EVENT_LOSS_FRACTION)
            .collect();
        let prefixes = std::mem::replace(&mut self.reported, delivered);
        let busy = self.ends.len() + self.queue.len();
        LoadReport {
            incarnation: IncarnationId::default(),
            boot: BootId::default(),
            limit: ENGINE_SLOTS,
            in_flight: self.ends.len() as u32,
            queued: self.queue.len() as u32,
            credits: (ENGINE_SLOTS as usize).saturating_sub(busy) as u32,
            closed: false,
            version: None,
            revision: ConfigRevision(1),
            prefixes,
        }
    }
}
