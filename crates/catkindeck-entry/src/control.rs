//! The control work of an entry: it coordinates the training runs whose leases it holds, and
//! controls the upstreams of its zone while it holds the zone's lease.

use {
    crate::{
        events::CONTROL_FAILED,
        forward::RequestForwarder,
        metrics::EntryMetrics,
        platform::{EntryList, MEMBER_LIST, STORE_CLIENT},
        samples::SampleGenerator,
        settings::{EntrySettings, PlatformSettings},
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError, ServiceKernel, id::IncarnationId, link::PeerLink,
        log_event, platform::StoreClient,
    },
    catkindeck_control::{
        authority::zone_lease_name,
        load::LoadStore,
        members::MemberList,
        rollout::WeightRollout,
        run::directory::{DirectoryParts, DirectorySettings, RunDirectory},
        source::{CONFIG_SOURCE, ConfigSource},
        step::{STEP_SERVICE, StepService},
        worker::{WorkerHandle, WorkerParts, WorkerSettings, ZoneWorker},
    },
    catkindeck_policy::choose_candidates,
    catkindeck_store::{HttpUsage, HttpZones},
    slog::Logger,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// The name under which the [`ControlWorker`] is registered in the kernel.
pub const CONTROL_WORKER: &str = "control-work";

/// The interval at which run ownership and zone ranks are recomputed from the configuration and the
/// host list.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The time to live of a run's lease, in milliseconds; after its owner is killed, a run makes no
/// progress for up to this long.
const RUN_LEASE_MS: u64 = 10_000;

/// The safety margin before expiry within which a run's lease is no longer used, in milliseconds.
const RUN_LEASE_MARGIN_MS: u64 = 1000;

/// The timeout for a write to the store under a run's lease, in milliseconds.
const RUN_WRITE_TIMEOUT_MS: u64 = 2000;

/// The number of samples of one run generated concurrently, each on a thread with a 256 KiB stack.
const RUN_CONCURRENCY: usize = 128;

/// The maximum number of upstreams of a service in one zone; the target deployment has 475 (5,700 in
/// 12 zones).
const MAX_ZONE_UPSTREAMS: u32 = 600;

/// Coordinates the training runs and controls the zone for which this entry holds leases.
pub struct ControlWorker {
    runs: Arc<RunDirectory>,
    zone: Option<WorkerHandle>,
    stopped: Arc<AtomicBool>,
}

/// The dependencies of the control work other than the services in the kernel.
pub struct ControlParts {
    /// Generates samples.
    pub forwarder: Arc<RequestForwarder>,
    /// Counts steps, samples and usage windows.
    pub metrics: Arc<EntryMetrics>,
    /// Calls agents and other entries.
    pub link: Arc<dyn PeerLink>,
    pub clock: Arc<dyn Clock>,
    pub logger: Logger,
}

impl ControlWorker {
    /// Starts the control work and registers it and the [`StepService`] in `kernel`.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the thread cannot be started or a service is missing.
    pub fn start(
        kernel: &ServiceKernel,
        settings: &EntrySettings,
        platform: &PlatformSettings,
        parts: ControlParts,
    ) -> Result<(), ServiceError> {
        let holder = format!("{}/{}", settings.process.host, IncarnationId::random());
        let runs = Arc::new(build_run_directory(kernel, settings, &holder, &parts)?);
        let zone = start_zone_worker(kernel, settings, platform, &holder, &parts)?;
        let worker = Arc::new(Self {
            runs: Arc::clone(&runs),
            zone,
            stopped: Arc::new(AtomicBool::new(false)),
        });
        kernel.register::<dyn StepService>(STEP_SERVICE, runs)?;
        kernel.register(CONTROL_WORKER, Arc::clone(&worker))?;
        let entries = EntryList::new(settings, kernel.find::<MemberList>(MEMBER_LIST).ok());
        let zone_name = settings.process.zone.clone();
        let host = settings.process.host.clone();
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                while !worker.stopped.load(Ordering::Relaxed) {
                    if let Err(error) = worker.runs.reconcile() {
                        log_event!(parts.logger, CONTROL_FAILED; "error" => %error);
                    }
                    if let Some(zone) = &worker.zone {
                        let hosts = entries.hosts();
                        let candidates = choose_candidates(&zone_lease_name(&zone_name), &hosts);
                        let position = candidates.iter().position(|candidate| *candidate == host);
                        zone.set_rank(position.map_or(u32::MAX, saturating_u32));
                    }
                    thread::sleep(MAINTENANCE_INTERVAL);
                }
            })
            .map(drop)
            .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))
    }

    /// Stops the control work and releases the leases.
    pub fn drain(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.runs.drain();
        if let Some(zone) = &self.zone {
            zone.drain();
        }
    }
}

fn build_run_directory(
    kernel: &ServiceKernel,
    settings: &EntrySettings,
    holder: &str,
    parts: &ControlParts,
) -> Result<RunDirectory, ServiceError> {
    let source = kernel.find::<dyn ConfigSource>(CONFIG_SOURCE)?;
    let members = kernel.find::<MemberList>(MEMBER_LIST).ok();
    let rollout = WeightRollout::new(
        Arc::clone(&parts.link),
        Arc::clone(&source),
        parts.logger.clone(),
    );
    let samples = SampleGenerator::new(Arc::clone(&parts.forwarder), Arc::clone(&parts.link));
    Ok(RunDirectory::new(
        DirectorySettings {
            host: settings.process.host.clone(),
            holder: holder.to_owned(),
            lease_ttl_ms: RUN_LEASE_MS,
            lease_margin_ms: RUN_LEASE_MARGIN_MS,
            order_ms: RUN_WRITE_TIMEOUT_MS,
            workers: RUN_CONCURRENCY,
        },
        DirectoryParts {
            source,
            entries: EntryList::new(settings, members),
            link: Arc::clone(&parts.link),
            store: kernel.find::<dyn StoreClient>(STORE_CLIENT)?,
            runner: Arc::new(samples),
            publisher: Arc::new(rollout),
            observer: parts.metrics.clone(),
            clock: Arc::clone(&parts.clock),
            logger: parts.logger.clone(),
        },
    ))
}

/// Starts the worker for this entry's zone if the interfaces it needs are in the settings.
fn start_zone_worker(
    kernel: &ServiceKernel,
    settings: &EntrySettings,
    platform: &PlatformSettings,
    holder: &str,
    parts: &ControlParts,
) -> Result<Option<WorkerHandle>, ServiceError> {
    let (Some(zones), Some(usage)) = (&platform.zones, &platform.usage) else {
        return Ok(None);
    };
    let (clock, logger) = (&parts.clock, &parts.logger);
    let worker = ZoneWorker::start(
        WorkerSettings {
            zone: settings.process.zone.clone(),
            holder: holder.to_owned(),
            max_upstreams: MAX_ZONE_UPSTREAMS,
        },
        WorkerParts {
            store: kernel.find::<dyn StoreClient>(STORE_CLIENT)?,
            orders: Arc::new(HttpZones::new(
                zones.clone(),
                Arc::clone(clock),
                logger.clone(),
            )),
            sink: Arc::new(HttpUsage::new(
                usage.clone(),
                Arc::clone(clock),
                logger.clone(),
            )),
            observer: parts.metrics.clone(),
            members: kernel.find::<MemberList>(MEMBER_LIST)?,
            source: kernel.find::<dyn ConfigSource>(CONFIG_SOURCE)?,
            link: Arc::clone(&parts.link),
            clock: Arc::clone(clock),
            logger: logger.clone(),
        },
        Arc::new(LoadStore::new(
            kernel.find::<dyn StoreClient>(STORE_CLIENT)?,
        )),
    )?;
    Ok(Some(worker))
}

fn saturating_u32(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}
