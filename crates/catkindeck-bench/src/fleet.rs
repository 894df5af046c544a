//! Simulates the entries, queues and engines of a deployment in virtual time.

use {
    crate::{
        deployment::{Deployment, object_name},
        engine::{SimEngine, SimRequest},
        queue::{EngineQueue, PolicyKind},
    },
    catkindeck::{
        Moment,
        config::{ConfigRevision, UpstreamRecord, ZoneRecord, ZoneState},
        id::{BootId, IncarnationId, ObjectName},
        message::LoadReport,
    },
    catkindeck_policy::{FinishCause, RouteQuery, RouterSettings, UpstreamRouter},
};

/// The duration of a tick, in milliseconds.
pub const TICK_MS: u64 = 20;

/// How a request left the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It completed.
    Finished,
    /// An agent rejected it without executing it.
    Rejected,
    /// The engine crashed or its host failed, so it may have been executed.
    Lost,
}

/// A request that left the fleet.
#[derive(Debug, Clone, Copy)]
pub struct EndedRequest {
    pub request: SimRequest,
    /// The index of the engine.
    pub engine: usize,
    pub outcome: RequestOutcome,
    /// The time at which the engine started the request; meaningful only if it finished.
    pub started: Moment,
}

/// The engines of a deployment with their queues and the routers of two entries.
#[derive(Debug)]
pub struct SimFleet {
    /// The virtual time.
    pub now: Moment,
    pub deployment: Deployment,
    pub engines: Vec<SimEngine>,
    /// The tokens generated in this tick, by customer.
    pub generated: Vec<(usize, f64)>,
    /// The engine of each request that started in this tick.
    pub starts: Vec<usize>,
    /// Whether the host of each engine failed; requests sent to a failed host are lost.
    pub host_failed: Vec<bool>,
    /// The number of queued requests by engine and customer.
    pub queued: Vec<[u32; 8]>,
    queues: Vec<EngineQueue>,
    kind: PolicyKind,
    routers: Vec<UpstreamRouter>,
    members: Vec<UpstreamRecord>,
    request_count: usize,
    out_of_service: Vec<bool>,
    ended: Vec<EndedRequest>,
}

impl SimFleet {
    /// Creates a fleet of warm engines behind two entries.
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
            engines: vec![SimEngine::warm(); count],
            generated: Vec::new(),
            starts: Vec::new(),
            host_failed: vec![false; count],
            queued: vec![[0; 8]; count],
            queues: (0..count).map(|_| EngineQueue::new(kind)).collect(),
            kind,
            routers: routers.collect(),
            members: members.clone(),
            request_count: 0,
            out_of_service: vec![false; count],
            ended: Vec::new(),
        };
        (0..count).for_each(|engine| fleet.send_load_report(engine));
        fleet
    }

    /// Sends a request to an engine that is not excluded and returns the engine, or `None` if no
    /// engine accepts requests.
    pub fn send(&mut self, request: SimRequest, excluded: &[usize]) -> Option<usize> {
        self.request_count += 1;
        let engine = match self.kind {
            PolicyKind::Baseline => self.round_robin(excluded)?,
            PolicyKind::Catkindeck | PolicyKind::FixedLimit => self.route(excluded)?,
        };
        if self.host_failed[engine] {
            self.report_failure(engine);
            self.end_request(request, engine, RequestOutcome::Lost);
            return Some(engine);
        }
        if self.queues[engine].enqueue(self.now, request) {
            self.queued[engine][request.customer] += 1;
        } else {
            self.send_load_report(engine);
            self.end_request(request, engine, RequestOutcome::Rejected);
        }
        Some(engine)
    }

    /// Advances the simulation by one tick and returns the requests that left the fleet.
    pub fn tick(&mut self) -> Vec<EndedRequest> {
        self.now = self.now + TICK_MS;
        self.generated.clear();
        self.starts.clear();
        for engine in 0..self.engines.len() {
            self.tick_engine(engine);
        }
        // Load reports reach the entries with responses; idle agents are polled every 200 ms.
        if self.now.0.is_multiple_of(200) {
            (0..self.engines.len()).for_each(|engine| self.send_load_report(engine));
        }
        std::mem::take(&mut self.ended)
    }

    /// Notifies the agents of a zone that it went out or returned; the baseline ignores it.
    pub fn notify_agents(&mut self, zone: usize, out: bool) {
        for engine in 0..self.engines.len() {
            if self.deployment.zone_of(engine) == zone {
                self.queues[engine].set_closed(self.now, out);
            }
        }
    }

    /// Updates the zone's state in the configuration of the entries.
    pub fn notify_entries(&mut self, zone: usize, out: bool) {
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
                self.out_of_service[engine] = out;
            }
        }
    }

    /// Restarts an engine cold; the requests running on it are lost.
    pub fn restart(&mut self, engine: usize) {
        for request in self.engines[engine].restart(self.now) {
            self.record_loss(engine, request);
        }
        let boot_count = self.engines[engine].boot_count;
        self.queues[engine].observe_boot(self.now, boot_count);
    }

    /// Fails the host of an engine; its running and queued requests are lost.
    pub fn fail_host(&mut self, engine: usize) {
        self.host_failed[engine] = true;
        for request in self.engines[engine].restart(self.now) {
            self.record_loss(engine, request);
        }
        self.queues[engine].set_closed(self.now, true);
        let decision = self.queues[engine].poll(self.now);
        let waiting = decision.started.into_iter().chain(decision.rejected);
        for request in waiting.collect::<Vec<_>>() {
            self.queued[engine][request.customer] -= 1;
            self.end_request(request, engine, RequestOutcome::Lost);
        }
    }

    /// Cancels a queued or running request and returns the number of tokens that were generated for
    /// it.
    pub fn cancel(&mut self, id: u32) -> f64 {
        for engine in 0..self.engines.len() {
            if let Some(request) = self.queues[engine].withdraw(id) {
                self.queued[engine][request.customer] -= 1;
                return 0.0;
            }
            let running = &mut self.engines[engine].running;
            if let Some(position) = running.iter().position(|other| other.request.id == id) {
                let lost = running.swap_remove(position);
                self.queues[engine].finish(self.now, id, FinishCause::Cancelled);
                return lost.request.tokens - lost.remaining_tokens;
            }
        }
        0.0
    }

    fn round_robin(&self, excluded: &[usize]) -> Option<usize> {
        let engines = 0..self.engines.len();
        let open: Vec<usize> = engines
            .filter(|engine| !self.out_of_service[*engine] && !excluded.contains(engine))
            .collect();
        open.get(self.request_count % open.len().max(1)).copied()
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
        let entry = self.request_count % self.routers.len();
        let choice = self.routers[entry].route(self.now, &query).ok()?;
        self.routers[entry].record_sent(&choice.upstream);
        self.routers[entry].record_end(&choice.upstream);
        self.members
            .iter()
            .position(|member| member.name == choice.upstream)
    }

    fn tick_engine(&mut self, engine: usize) {
        let now = self.now;
        let results = self.engines[engine].tick(now, TICK_MS);
        for (request, tokens) in results.generated {
            self.queues[engine].record_tokens(now, request.id, tokens);
            self.generated.push((request.customer, tokens));
        }
        let any_completed = !results.completed.is_empty();
        for running in results.completed {
            self.queues[engine].finish(now, running.request.id, FinishCause::Completed);
            self.ended.push(EndedRequest {
                request: running.request,
                engine,
                outcome: RequestOutcome::Finished,
                started: running.started,
            });
        }
        if !results.lost.is_empty() {
            for request in results.lost {
                self.record_loss(engine, request);
            }
            let boot_count = self.engines[engine].boot_count;
            self.queues[engine].observe_boot(now, boot_count);
        }
        if self.host_failed[engine] {
            return;
        }
        let decision = self.queues[engine].poll(now);
        for request in &decision.started {
            self.queued[engine][request.customer] -= 1;
        }
        for request in decision.started {
            self.engines[engine].start(now, request);
            self.starts.push(engine);
        }
        for request in decision.rejected {
            self.queued[engine][request.customer] -= 1;
            self.end_request(request, engine, RequestOutcome::Rejected);
        }
        if any_completed {
            self.send_load_report(engine);
        }
    }

    fn record_loss(&mut self, engine: usize, request: SimRequest) {
        self.queues[engine].finish(self.now, request.id, FinishCause::UpstreamFailed);
        self.end_request(request, engine, RequestOutcome::Lost);
    }

    fn end_request(&mut self, request: SimRequest, engine: usize, outcome: RequestOutcome) {
        self.ended.push(EndedRequest {
            request,
            engine,
            outcome,
            started: self.now,
        });
    }

    fn report_failure(&mut self, engine: usize) {
        for router in &mut self.routers {
            router.record_failure(self.now, &self.members[engine].name);
        }
    }

    fn send_load_report(&mut self, engine: usize) {
        if self.host_failed[engine] {
            return;
        }
        let (limit, in_flight, queued, closed) = self.queues[engine].counts();
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
