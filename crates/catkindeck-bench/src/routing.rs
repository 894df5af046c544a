//! Measure 2: routing by prefix with late and incomplete cache events.

use {
    crate::{
        deployment::{Deployment, ENGINE_SLOTS, object_name},
        gate::PolicyKind,
        random::ModelRandom,
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

/// The number of different prompt prefixes; the lower ones are asked for more often.
const PREFIXES: usize = 400;

/// The prefixes that one engine holds.
const HELD: usize = 64;

/// The part of the events that are lost.
const LOST_EVENTS: f64 = 0.1;

/// The time between two reports of an engine, in milliseconds; events are late by as much.
const REPORT_MS: u64 = 500;

/// The time of a request at an engine with and without its prefix held, in milliseconds.
const HIT_MS: u64 = 1_500;
const MISS_MS: u64 = 2_500;

/// The offered load as a part of the capacity if every request missed.
const LOAD: f64 = 1.1;

/// The length of the run, in milliseconds.
const RUN_MS: u64 = 300_000;

/// The figures of one run.
#[derive(Debug, Clone, Copy)]
pub struct RoutingFigures {
    /// The requests that found their prefix held, in percent.
    pub hit_percent: f64,
    /// The 99th percentile of the wait for a slot, in seconds.
    pub wait_s: f64,
}

/// An engine with slots, a queue in order of arrival and a cache of prefixes.
#[derive(Debug, Default)]
struct CacheEngine {
    ends: Vec<u64>,
    queue: VecDeque<(u64, u64)>,
    held: VecDeque<u64>,
    reported: Vec<u64>,
}

/// Sends requests with prefixes through one router or round robin.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> RoutingFigures {
    let mut random = ModelRandom::new(seed, 100);
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
    let mut engines: Vec<CacheEngine> = members.iter().map(|_| CacheEngine::default()).collect();
    let slots = deployment.engines as f64 * f64::from(ENGINE_SLOTS);
    let mean_wait = MISS_MS as f64 / (slots * LOAD);
    let (mut due, mut sent, mut hits) = (0.0, 0usize, 0usize);
    let mut waits = Vec::new();
    for now in (0..RUN_MS).step_by(10) {
        while due <= now as f64 {
            due += random.wait(mean_wait);
            let skewed = random.unit() * random.unit();
            let prefix = (skewed * PREFIXES as f64) as u64;
            let engine = match kind {
                PolicyKind::Baseline => sent % engines.len(),
                _ => route(&mut router, now, prefix, &members),
            };
            sent += 1;
            engines[engine].queue.push_back((prefix, now));
        }
        for (engine, state) in engines.iter_mut().enumerate() {
            hits += state.run(now, &mut waits);
            if now % REPORT_MS == engine as u64 * 10 {
                let report = state.report(&mut random);
                router.record_report(Moment(now), &members[engine].name, &report);
            }
        }
    }
    waits.sort_unstable();
    let rank = waits.len() * 99 / 100;
    RoutingFigures {
        hit_percent: 100.0 * hits as f64 / sent as f64,
        wait_s: waits.get(rank).map_or(0.0, |wait| *wait as f64 / 1_000.0),
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

impl CacheEngine {
    /// Ends and starts requests, and returns how many found their prefix.
    fn run(&mut self, now: u64, waits: &mut Vec<u64>) -> usize {
        let mut hits = 0;
        self.ends.retain(|end| *end > now);
        while self.ends.len() < ENGINE_SLOTS as usize
            && let Some((prefix, arrived)) = self.queue.pop_front()
        {
            let place = self.held.iter().position(|held| *held == prefix);
            if let Some(place) = place {
                self.held.remove(place);
                hits += 1;
            }
            self.held.push_back(prefix);
            if self.held.len() > HELD {
                self.held.pop_front();
            }
            let time = if place.is_some() { HIT_MS } else { MISS_MS };
            self.ends.push(now + time);
            waits.push(now - arrived);
        }
        hits
    }

    /// Returns the load with the cache events as they arrive: late by a report, some never.
    fn report(&mut self, random: &mut ModelRandom) -> LoadReport {
        let held = self.held.iter().copied();
        let arrived = held.filter(|_| random.unit() >= LOST_EVENTS).collect();
        let prefixes = std::mem::replace(&mut self.reported, arrived);
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
