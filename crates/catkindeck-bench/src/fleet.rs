//! Entries, gates and engines of one deployment in virtual time.

use {
    crate::{
        deployment::{Deployment, object_name},
        engine::{ModelEngine, ModelWork},
        gate::{ModelGate, PolicyKind},
    },
    catkindeck::{
        Moment,
        config::{ConfigRevision, UpstreamRecord, ZoneRecord, ZoneState},
        id::{BootId, IncarnationId, ObjectName},
        message::LoadReport,
    },
    catkindeck_policy::{FinishCause, RouteQuery, RouterSettings, UpstreamRouter},
};

/// The length of a tick, in milliseconds.
pub const TICK_MS: u64 = 20;

/// How a request left the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkEnd {
    /// The answer is whole.
    Finished,
    /// An agent refused it, and it did not run.
    Refused,
    /// The engine crashed or its host vanished, so it may have run.
    Lost,
}

/// A request that left the fleet.
#[derive(Debug, Clone, Copy)]
pub struct EndedWork {
    /// The request.
    pub work: ModelWork,
    /// The engine.
    pub engine: usize,
    /// How it ended.
    pub end: WorkEnd,
    /// When it was started, for finished ones.
    pub started: Moment,
}

/// The engines of a deployment with what decides about them.
#[derive(Debug)]
pub struct ModelFleet {
    /// The present.
    pub now: Moment,
    /// The deployment.
    pub deployment: Deployment,
    /// The engines.
    pub engines: Vec<ModelEngine>,
    /// Tokens made for each customer in this tick.
    pub served: Vec<(usize, f64)>,
    /// The engine and time of each start in this tick.
    pub starts: Vec<usize>,
    /// Engines whose hosts vanished; whatever is sent to them is lost.
    pub vanished: Vec<bool>,
    /// The number of queued requests by engine and customer.
    pub queued: Vec<[u32; 8]>,
    gates: Vec<ModelGate>,
    kind: PolicyKind,
    routers: Vec<UpstreamRouter>,
    members: Vec<UpstreamRecord>,
    turn: usize,
    hidden: Vec<bool>,
    ended: Vec<EndedWork>,
}

impl ModelFleet {
    /// Makes a fleet of warm engines behind two entries.
    pub fn new(deployment: Deployment, kind: PolicyKind, seed: u64) -> Self {
        let count = deployment.engines;
        let members: Vec<UpstreamRecord> = (0..count)
            .map(|engine| UpstreamRecord {
                name: object_name(&format!("engine-{engine:02}")),
                service: object_name("drafts"),
                zone: object_name(deployment.zones[deployment.zone_of(engine)]),
                agent: ([127, 0, 0, 1], 1).into(),
                added_ms: 0,
                removed_ms: None,
            })
            .collect();
        let entries = [object_name("entry-0"), object_name("entry-1")];
        let routers = entries.iter().zip(seed..).map(|(entry, seed)| {
            let mut router = UpstreamRouter::new(RouterSettings::default(), entry.clone(), seed);
            router.set_members(&members, &[], &entries);
            router
        });
        let mut fleet = Self {
            now: Moment(0),
            deployment,
            engines: vec![ModelEngine::warm(); count],
            served: Vec::new(),
            starts: Vec::new(),
            vanished: vec![false; count],
            queued: vec![[0; 8]; count],
            gates: (0..count).map(|_| ModelGate::new(kind)).collect(),
            kind,
            routers: routers.collect(),
            members: members.clone(),
            turn: 0,
            hidden: vec![false; count],
            ended: Vec::new(),
        };
        (0..count).for_each(|engine| fleet.report(engine));
        fleet
    }

    /// Sends a request to an engine that is not excluded; `None` means that none takes work.
    pub fn send(&mut self, work: ModelWork, excluded: &[usize]) -> Option<usize> {
        self.turn += 1;
        let engine = match self.kind {
            PolicyKind::Baseline => self.round_robin(excluded)?,
            PolicyKind::Catkindeck | PolicyKind::FixedLimit => self.route(excluded)?,
        };
        if self.vanished[engine] {
            self.fail(engine);
            self.end(work, engine, WorkEnd::Lost);
            return Some(engine);
        }
        if self.gates[engine].offer(self.now, work) {
            self.queued[engine][work.customer] += 1;
        } else {
            self.report(engine);
            self.end(work, engine, WorkEnd::Refused);
        }
        Some(engine)
    }

    /// Runs one tick and returns the requests that left the fleet.
    pub fn tick(&mut self) -> Vec<EndedWork> {
        self.now = self.now + TICK_MS;
        self.served.clear();
        self.starts.clear();
        for engine in 0..self.engines.len() {
            self.tick_engine(engine);
        }
        // Reports reach the entries with the answers; idle agents are asked five times a second.
        if self.now.0.is_multiple_of(200) {
            (0..self.engines.len()).for_each(|engine| self.report(engine));
        }
        std::mem::take(&mut self.ended)
    }

    /// Tells agents whether their zone is out; the baseline has no agent to tell.
    pub fn tell_agents(&mut self, zone: usize, out: bool) {
        for engine in 0..self.engines.len() {
            if self.deployment.zone_of(engine) == zone {
                self.gates[engine].set_closed(self.now, out);
            }
        }
    }

    /// Gives the entries a configuration with the zone's state.
    pub fn tell_entries(&mut self, zone: usize, out: bool) {
        let name: ObjectName = object_name(self.deployment.zones[zone]);
        let record = ZoneRecord {
            name,
            region: object_name("region"),
            state: if out { ZoneState::Out } else { ZoneState::In },
        };
        for router in &mut self.routers {
            router.set_members(&self.members, std::slice::from_ref(&record), &[]);
        }
        for engine in 0..self.engines.len() {
            if self.deployment.zone_of(engine) == zone {
                self.hidden[engine] = out;
            }
        }
    }

    /// Makes an engine cold, losing what runs on it.
    pub fn restart(&mut self, engine: usize) {
        for work in self.engines[engine].restart(self.now) {
            self.lose(engine, work);
        }
        let boots = self.engines[engine].boots;
        self.gates[engine].observe_boot(self.now, boots);
    }

    /// Makes an engine's host vanish with all that it has.
    pub fn vanish(&mut self, engine: usize) {
        self.vanished[engine] = true;
        for work in self.engines[engine].restart(self.now) {
            self.lose(engine, work);
        }
        self.gates[engine].set_closed(self.now, true);
        let refused = self.gates[engine].poll(self.now);
        let waiting = refused.started.into_iter().chain(refused.refused);
        for work in waiting.collect::<Vec<_>>() {
            self.queued[engine][work.customer] -= 1;
            self.end(work, engine, WorkEnd::Lost);
        }
    }

    /// Ends a request wherever it is, and returns the tokens made for it in vain.
    pub fn cancel(&mut self, id: u32) -> f64 {
        for engine in 0..self.engines.len() {
            if let Some(work) = self.gates[engine].withdraw(id) {
                self.queued[engine][work.customer] -= 1;
                return 0.0;
            }
            let running = &mut self.engines[engine].running;
            if let Some(place) = running.iter().position(|other| other.work.id == id) {
                let lost = running.swap_remove(place);
                self.gates[engine].finish(self.now, id, FinishCause::Cancelled);
                return lost.work.tokens - lost.left;
            }
        }
        0.0
    }

    fn round_robin(&self, excluded: &[usize]) -> Option<usize> {
        let engines = 0..self.engines.len();
        let open: Vec<usize> = engines
            .filter(|engine| !self.hidden[*engine] && !excluded.contains(engine))
            .collect();
        open.get(self.turn % open.len().max(1)).copied()
    }

    fn route(&mut self, excluded: &[usize]) -> Option<usize> {
        let excluded: Vec<ObjectName> = excluded
            .iter()
            .map(|engine| self.members[*engine].name.clone())
            .collect();
        let service = object_name("drafts");
        let query = RouteQuery {
            service: &service,
            prefix: None,
            excluded: &excluded,
        };
        let entry = self.turn % self.routers.len();
        let choice = self.routers[entry].route(self.now, &query).ok()?;
        self.routers[entry].record_sent(&choice.upstream);
        self.routers[entry].record_end(&choice.upstream);
        self.members
            .iter()
            .position(|member| member.name == choice.upstream)
    }

    fn tick_engine(&mut self, engine: usize) {
        let now = self.now;
        let tick = self.engines[engine].tick(now, TICK_MS);
        for (work, tokens) in tick.served {
            self.gates[engine].served(now, work.id, tokens);
            self.served.push((work.customer, tokens));
        }
        let ended = !tick.ended.is_empty();
        for running in tick.ended {
            self.gates[engine].finish(now, running.work.id, FinishCause::Completed);
            self.ended.push(EndedWork {
                work: running.work,
                engine,
                end: WorkEnd::Finished,
                started: running.started,
            });
        }
        if !tick.lost.is_empty() {
            for work in tick.lost {
                self.lose(engine, work);
            }
            let boots = self.engines[engine].boots;
            self.gates[engine].observe_boot(now, boots);
        }
        if self.vanished[engine] {
            return;
        }
        let decision = self.gates[engine].poll(now);
        for work in &decision.started {
            self.queued[engine][work.customer] -= 1;
        }
        for work in decision.started {
            self.engines[engine].start(now, work);
            self.starts.push(engine);
        }
        for work in decision.refused {
            self.queued[engine][work.customer] -= 1;
            self.end(work, engine, WorkEnd::Refused);
        }
        if ended {
            self.report(engine);
        }
    }

    fn lose(&mut self, engine: usize, work: ModelWork) {
        self.gates[engine].finish(self.now, work.id, FinishCause::UpstreamFailed);
        self.end(work, engine, WorkEnd::Lost);
    }

    fn end(&mut self, work: ModelWork, engine: usize, end: WorkEnd) {
        self.ended.push(EndedWork {
            work,
            engine,
            end,
            started: self.now,
        });
    }

    fn fail(&mut self, engine: usize) {
        for router in &mut self.routers {
            router.record_failure(self.now, &self.members[engine].name);
        }
    }

    fn report(&mut self, engine: usize) {
        if self.vanished[engine] {
            return;
        }
        let (limit, in_flight, queued, closed) = self.gates[engine].counts();
        let report = LoadReport {
            incarnation: IncarnationId::default(),
            boot: BootId::default(),
            limit,
            in_flight,
            queued,
            credits: limit.saturating_sub(in_flight + queued),
            closed,
            version: None,
            revision: ConfigRevision(1),
            prefixes: Vec::new(),
        };
        for router in &mut self.routers {
            router.record_report(self.now, &self.members[engine].name, &report);
        }
    }
}
