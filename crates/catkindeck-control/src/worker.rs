//! The control work of one availability zone, which is done under the zone's lease.

use {
    crate::{
        announce::ZoneAnnouncer,
        authority::{ControlLease, zone_lease_name},
        events,
        load::{LoadStore, ZoneLoad, query_agents, sum_loads, usage_lines},
        members::{MemberList, UpstreamWithHostState},
        rollout::DrainAnnouncer,
        source::ConfigSource,
        usage::{
            AgentUsage, AgentWatermark, REPORT_TARGET_MS, SealOutcome, UsageCollector,
            UsageObserver, UsageSealer,
        },
        zones::{ZoneController, ZoneParts, ZoneStepOutcome},
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError,
        config::{ConfigSnapshot, ServiceRecord, ZoneState},
        id::ObjectName,
        link::PeerLink,
        log_event,
        message::{PeerRequest, USAGE_WINDOW_MS},
        platform::{StoreClient, UsageSink, ZoneOrders},
        time::unix_ms,
    },
    catkindeck_policy::{ScaleOrder, ScalerSettings, ZoneCapacity, ZoneScaler},
    catkindeck_store::{LeaseHolder, LeaseSettings},
    slog::Logger,
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const ROUND_PAUSE: Duration = Duration::from_secs(2);

/// The pause between two checks of the zone's state. Agents must be notified within 2 s when their
/// zone goes out of service.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(200);

/// The maximum number of consecutive steps of one kind of work in a round.
const STEPS_PER_ROUND: usize = 16;

/// The time to live of the zone's lease, in milliseconds.
const ZONE_TTL_MS: u64 = 10_000;

/// The maximum time that an order to the zone's interface may take, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 2000;

/// The dependencies of a [`ZoneWorker`].
#[derive(Clone)]
pub struct WorkerParts {
    /// The key-value service.
    pub store: Arc<dyn StoreClient>,
    /// The interface that accepts orders for upstreams.
    pub orders: Arc<dyn ZoneOrders>,
    /// The interface that accepts usage reports.
    pub sink: Arc<dyn UsageSink>,
    pub observer: Arc<dyn UsageObserver>,
    pub members: Arc<MemberList>,
    pub source: Arc<dyn ConfigSource>,
    /// The connection to the agents.
    pub link: Arc<dyn PeerLink>,
    pub clock: Arc<dyn Clock>,
    pub logger: Logger,
}

#[derive(Debug, Clone)]
pub struct WorkerSettings {
    pub zone: ObjectName,
    /// The name under which this process instance holds the lease.
    pub holder: String,
    /// The maximum number of upstreams of a service in one zone.
    pub max_upstreams: u32,
}

/// Does the control work of one zone while this process holds the zone's lease: notifies agents of
/// draining hosts, collects the load, orders upstreams and reports usage.
pub struct ZoneWorker {
    settings: WorkerSettings,
    parts: WorkerParts,
    lease: Arc<LeaseHolder>,
    load_store: Arc<LoadStore>,
    scaler: ZoneScaler,
    controller: ZoneController,
    sealer: UsageSealer,
    announcer: DrainAnnouncer,
}

pub struct WorkerHandle {
    stopped: Arc<AtomicBool>,
    lease: Arc<LeaseHolder>,
}

impl WorkerHandle {
    /// Stops the worker and releases the lease.
    pub fn drain(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.lease.drain();
    }

    /// Sets the rank of this host among the candidates for the lease; the first one has rank zero.
    pub fn set_rank(&self, rank: u32) {
        self.lease.set_rank(rank);
    }
}

impl ZoneWorker {
    /// Starts to compete for the zone's lease, and does the control work while it is held.
    ///
    /// # Errors
    ///
    /// Returns `internal` if a thread cannot be started.
    pub fn start(
        settings: WorkerSettings,
        parts: WorkerParts,
        load_store: Arc<LoadStore>,
    ) -> Result<WorkerHandle, ServiceError> {
        let failed =
            |error: io::Error| ServiceError::not_run(ErrorKind::Internal, error.to_string());
        let lease = LeaseSettings {
            name: zone_lease_name(&settings.zone),
            holder: settings.holder.clone(),
            ttl_ms: ZONE_TTL_MS,
            margin_ms: ZONE_TTL_MS / 10,
            order_ms: ORDER_TIMEOUT_MS,
        };
        let lease = LeaseHolder::start(
            lease,
            Arc::clone(&parts.store),
            Arc::clone(&parts.clock),
            parts.logger.clone(),
        );
        let lease = Arc::new(lease.map_err(failed)?);
        let stopped = Arc::new(AtomicBool::new(false));
        let handle = WorkerHandle {
            stopped: Arc::clone(&stopped),
            lease: Arc::clone(&lease),
        };
        let announcer = ZoneAnnouncer::new(
            Arc::clone(&parts.link),
            lease.clone(),
            settings.zone.clone(),
            parts.logger.clone(),
        );
        spawn_announcer(&settings, &parts, announcer, Arc::clone(&stopped)).map_err(failed)?;
        let mut worker = Self::new(settings, parts, lease, load_store);
        let body = move || {
            while !stopped.load(Ordering::Relaxed) {
                if worker.lease.check().is_ok()
                    && let Err(error) = worker.run_round()
                {
                    log_event!(worker.parts.logger, events::ZONE_ROUND_FAILED;
                        "zone" => %worker.settings.zone, "detail" => &error.detail);
                }
                thread::sleep(ROUND_PAUSE);
            }
        };
        let thread = thread::Builder::new().name("zone-worker".to_owned());
        thread.spawn(body).map_err(failed)?;
        Ok(handle)
    }

    fn new(
        settings: WorkerSettings,
        parts: WorkerParts,
        lease: Arc<LeaseHolder>,
        load_store: Arc<LoadStore>,
    ) -> Self {
        let zone = settings.zone.clone();
        let control: Arc<dyn ControlLease> = lease.clone();
        let controller = ZoneController::new(
            zone.clone(),
            ZoneParts {
                store: Arc::clone(&parts.store),
                orders: Arc::clone(&parts.orders),
                lease: Arc::clone(&control),
                clock: Arc::clone(&parts.clock),
                logger: parts.logger.clone(),
            },
            ORDER_TIMEOUT_MS,
        );
        let collector = AgentCollector {
            source: Arc::clone(&parts.source),
            link: Arc::clone(&parts.link),
        };
        let sealer = UsageSealer::new(
            zone.clone(),
            Arc::clone(&parts.store),
            Arc::clone(&parts.sink),
            Arc::new(collector),
            Arc::clone(&control),
            parts.logger.clone(),
        );
        let link = Arc::clone(&parts.link);
        let announcer = DrainAnnouncer::new(link, control, zone, parts.logger.clone());
        Self {
            settings,
            parts,
            lease,
            load_store,
            scaler: ZoneScaler::new(ScalerSettings::default()),
            controller,
            sealer,
            announcer,
        }
    }

    /// Runs one round. If one kind of work fails, the others are still done, and the first error is
    /// returned.
    fn run_round(&mut self) -> Result<(), ServiceError> {
        let snapshot = self.parts.source.current();
        let members = self.parts.members.merge(&snapshot);
        let announced = self.announcer.announce(&members).map(drop);
        let scaled = self.scale_services(&snapshot, &members);
        let sealed = self.seal();
        announced.and(scaled).and(sealed)
    }

    fn scale_services(
        &mut self,
        snapshot: &ConfigSnapshot,
        members: &[UpstreamWithHostState],
    ) -> Result<(), ServiceError> {
        let zone = &self.settings.zone;
        let own = zone_members(members, zone);
        let responses = query_agents(self.parts.link.as_ref(), &own, |_| PeerRequest::ReadLoad);
        // The demand is unknown if more than half of the agents did not respond, so nothing is
        // ordered.
        if 2 * responses.len() < own.len() {
            return Err(ServiceError::not_run(
                ErrorKind::PeerUnavailable,
                format!(
                    "only {} of {} agents reported their load",
                    responses.len(),
                    own.len()
                ),
            ));
        }
        self.load_store.publish(&ZoneLoad {
            zone: zone.clone(),
            records: sum_loads(snapshot, zone, &responses),
            counts: self.controller.counts()?,
        })?;
        let loads = self.load_store.refresh()?;
        let now = self.parts.clock.now();
        for service in &snapshot.services {
            let records = loads.iter().flat_map(|load| &load.records);
            let demands = records
                .filter(|record| record.service == service.name)
                .map(|record| record.demand);
            self.scaler.observe(now, service, demands.sum());
            let zone_capacities =
                zone_capacities(snapshot, service, &loads, self.settings.max_upstreams);
            let orders = self.scaler.plan(now, service, &zone_capacities);
            let wanted = orders.iter().find(|order| order.zone == *zone);
            step_controller(&mut self.controller, wanted)?;
        }
        Ok(())
    }

    fn seal(&mut self) -> Result<(), ServiceError> {
        for _ in 0..STEPS_PER_ROUND {
            match self.sealer.step(unix_ms())? {
                SealOutcome::Waiting => break,
                SealOutcome::Progress => {}
                SealOutcome::Reported(window) => {
                    let due_ms = (window + 1) * USAGE_WINDOW_MS + REPORT_TARGET_MS;
                    let on_time = unix_ms() <= due_ms;
                    self.parts
                        .observer
                        .on_window_reported(&self.settings.zone, on_time);
                }
            }
        }
        Ok(())
    }
}

/// Starts a thread that notifies agents of changes to the zone's state, so that other work does not
/// delay the notifications.
fn spawn_announcer(
    settings: &WorkerSettings,
    parts: &WorkerParts,
    mut announcer: ZoneAnnouncer,
    stopped: Arc<AtomicBool>,
) -> io::Result<()> {
    let (zone, parts) = (settings.zone.clone(), parts.clone());
    let body = move || {
        while !stopped.load(Ordering::Relaxed) {
            let snapshot = parts.source.current();
            // A configuration that may be outdated must not put a zone back into service.
            if let Some(record) = snapshot.zone(&zone).filter(|_| parts.source.is_fresh()) {
                let members = parts.members.merge(&snapshot);
                // Fails if the lease is not held. Its holder then notifies the agents.
                let _ = announcer.announce(&members, record.state);
            }
            thread::sleep(ANNOUNCE_PAUSE);
        }
    };
    let thread = thread::Builder::new().name("zone-announce".to_owned());
    thread.spawn(body).map(drop)
}

/// Settles an open order if there is one, then sends and settles `wanted`.
fn step_controller(
    controller: &mut ZoneController,
    wanted: Option<&ScaleOrder>,
) -> Result<(), ServiceError> {
    // An open order must be settled first, so that `wanted` is sent only once.
    for _ in 0..STEPS_PER_ROUND {
        if controller.step(None)? == ZoneStepOutcome::Waiting {
            break;
        }
    }
    if wanted.is_none() || !controller.is_settled() {
        return Ok(());
    }
    controller.step(wanted)?;
    for _ in 0..STEPS_PER_ROUND {
        if controller.step(None)? == ZoneStepOutcome::Waiting {
            break;
        }
    }
    Ok(())
}

/// Returns the numbers of upstreams of a service by zone. They are zero for a zone that has not
/// published its load.
fn zone_capacities(
    snapshot: &ConfigSnapshot,
    service: &ServiceRecord,
    loads: &[ZoneLoad],
    max_upstreams: u32,
) -> Vec<ZoneCapacity> {
    let of_zone = |name: &ObjectName, state: ZoneState| {
        let load = loads.iter().find(|load| load.zone == *name);
        let counts = load.map_or(&[][..], |load| &load.counts);
        let count = counts.iter().find(|count| count.service == service.name);
        ZoneCapacity {
            zone: name.clone(),
            state,
            running: count.map_or(0, |count| count.running),
            ordered: count.map_or(0, |count| count.ordered),
            max_upstreams,
        }
    };
    let zones = snapshot.zones.iter();
    zones.map(|zone| of_zone(&zone.name, zone.state)).collect()
}

fn zone_members(
    members: &[UpstreamWithHostState],
    zone: &ObjectName,
) -> Vec<UpstreamWithHostState> {
    let own = members
        .iter()
        .filter(|member| member.upstream.zone == *zone);
    own.cloned().collect()
}

struct AgentCollector {
    source: Arc<dyn ConfigSource>,
    link: Arc<dyn PeerLink>,
}

impl UsageCollector for AgentCollector {
    fn collect(&self, zone: &ObjectName, marks: &[AgentWatermark]) -> Vec<AgentUsage> {
        let snapshot = self.source.current();
        // Removed upstreams are included, because they may still have unreported usage.
        let own: Vec<UpstreamWithHostState> = snapshot
            .upstreams
            .iter()
            .filter(|upstream| upstream.zone == *zone)
            .map(|upstream| UpstreamWithHostState {
                upstream: upstream.clone(),
                state: None,
            })
            .collect();
        let responses = query_agents(self.link.as_ref(), &own, |host| {
            let mark = marks.iter().find(|mark| mark.agent == *host);
            PeerRequest::CollectUsage {
                sealed_through: mark.map(|mark| mark.sealed_through),
            }
        });
        let usages = responses.into_iter().filter_map(|(agent, frame)| {
            let lines = usage_lines(frame)?;
            Some(AgentUsage { agent, lines })
        });
        usages.collect()
    }
}
