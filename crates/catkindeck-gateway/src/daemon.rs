//! Assembles the parts of a gateway and runs them until the process shuts down.

use {
    crate::{
        caller_handler::CallerHandler,
        core::{GatewayClients, GatewayCore, GatewayPorts},
        events::{
            GATEWAY_CLOSING, GATEWAY_DRAINING, GATEWAY_STARTED, GATEWAY_STOPPED, HAND_OVER_CUT,
            MAINTENANCE_FAILED, METRICS_UNSERVED,
        },
        jobs::{
            JobService,
            takeover::{TAKEOVER_CONCURRENCY, oldest_first},
        },
        keys::{self, JOB_RECORD_PREFIX, JobRecord, MEMBER_PREFIX},
        leader::LeaderElection,
        metrics::GatewayMetrics,
        metrics_handler::MetricsHandler,
        peer::PeerHandler,
        port::StoreListing,
        session::MemberSession,
        settings::NodeSettings,
        store_sync::StoreSync,
        task::spawn_supervised,
    },
    catkindeck::{ErrorKind, ServiceError, log_event},
    catkindeck_net::{
        ClientLimits, HttpClient, HttpServer, LocalFuture, ServerControl, ServerLimits,
    },
    catkindeck_policy::direct::{CrashNotice, DrainSchedule, LeavingNotice},
    futures_util::stream::{self, StreamExt},
    prometheus::Registry,
    slog::Logger,
    std::{io, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The limits of the HTTP client for upstreams. The network delay between hosts is about a millisecond, so a
/// host to which no connection opens within a few hundred milliseconds is considered lost.
pub const UPSTREAM_LIMITS: ClientLimits = ClientLimits {
    connect: Duration::from_millis(400),
    idle: Duration::from_secs(30),
    idle_connections: 32,
    open_connections: MAX_CONNECTIONS,
    response_bytes: 256 << 10,
};

/// The limits of the HTTP client for orders to upstreams and for their reports. Reports have a few hundred bytes.
/// Responses to both have no identifier, so that a second copy of one could be taken for the response to the next order
/// (`docs/design/repeated-responses.md`): each has a connection of its own.
pub const ORDER_LIMITS: ClientLimits = ClientLimits {
    idle_connections: 0,
    open_connections: 512,
    ..UPSTREAM_LIMITS
};

/// The limits of the HTTP client for other gateway processes. The largest responses are copies of all texts.
pub const PEER_LIMITS: ClientLimits = ClientLimits {
    connect: Duration::from_millis(400),
    idle: Duration::from_secs(10),
    idle_connections: 4,
    open_connections: 1_024,
    response_bytes: 32 << 20,
};

/// The connections that a client may open where the process's file descriptors do not set a lower limit.
const MAX_CONNECTIONS: usize = 1 << 16;

/// Connections to upstreams may use the number of file descriptors divided by this, in a process that serves no
/// callers and in one that does.
const UPSTREAM_DESCRIPTOR_DIVISORS: (u64, u64) = (2, 4);

/// The memory that an open connection to an upstream takes, in bytes. The identifiers of the requests that it has carried
/// take up to 8 KiB of it.
const CONNECTION_BYTES: u64 = 40 << 10;

/// Connections to upstreams may use the process's memory divided by this.
const UPSTREAM_MEMORY_DIVISOR: u64 = 4;

/// Callers' connections may use the number of file descriptors divided by this. The rest is reserved for
/// connections to upstreams, peers and the platform.
const DESCRIPTOR_DIVISOR: u64 = 2;

/// The smallest buffer that the HTTP library accepts for the head of a request, in bytes.
const MIN_HEADER_BYTES: u64 = 8_192;

/// How long a caller may leave a response unread without taking any byte of it; longer than callers' deadlines.
const STALL_LIMIT: Duration = Duration::from_secs(15);

/// The longest time for handing over jobs. Other processes take over the remaining ones after the lease
/// has ended.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How often the process checks during a shutdown whether it may exit.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often the registration is checked before jobs are reclaimed; short compared with a takeover.
const REGISTRATION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often idle connections are closed, old jobs are dropped and gauges are updated.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// The result of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayExit {
    /// All requests were answered.
    Drained,
    /// Requests were still in progress when the grace period ended.
    Forced,
}

pub struct GatewayDaemon {
    core: Rc<GatewayCore>,
    jobs: Rc<JobService>,
    session: Rc<MemberSession>,
    callers: Rc<ServerControl>,
}

impl GatewayDaemon {
    /// Opens the listening addresses and starts all parts as local tasks.
    ///
    /// # Errors
    ///
    /// Returns `internal` if an address cannot be opened or a metric is registered twice.
    pub fn start(
        settings: NodeSettings,
        ports: GatewayPorts,
        registry: &Registry,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        let metrics = GatewayMetrics::new(registry)?;
        let clients = GatewayClients {
            upstreams: HttpClient::new(upstream_limits(&settings)).with_slow_readers(),
            orders: HttpClient::new(ORDER_LIMITS),
            peers: HttpClient::new(PEER_LIMITS),
        };
        let core = GatewayCore::new(settings, ports, clients, metrics, logger);
        let session = MemberSession::new(Rc::clone(&core));
        let jobs = JobService::new(Rc::clone(&core), Rc::clone(&session));
        let limits = server_limits(&core);
        let callers = ServerControl::with_held(limits, core.held.clone());
        let daemon = Self {
            core,
            jobs,
            session,
            callers,
        };
        daemon.serve(limits)?;
        daemon.serve_metrics(limits, registry);
        daemon.start_tasks();
        let settings = daemon.core.settings();
        log_event!(daemon.core.logger, GATEWAY_STARTED;
            "host" => %settings.host, "zone" => %settings.zone,
            "serves_callers" => settings.entry.is_some(),
            "incarnation" => %daemon.core.incarnation);
        Ok(daemon)
    }

    pub fn core(&self) -> &Rc<GatewayCore> {
        &self.core
    }

    /// Shuts the gateway down: fails readiness checks, hands over jobs, closes connections that are idle, and waits for
    /// the requests on the others. Requests that may not be over before the end of the grace period are refused.
    pub async fn shut_down(&self) -> GatewayExit {
        let started = self.core.now();
        let schedule = self.core.begin_drain();
        self.callers.request_close();
        log_event!(self.core.logger, GATEWAY_DRAINING;
            "requests" => self.callers.requests(), "jobs" => self.jobs.all().len());
        self.hand_over(schedule).await;
        self.core.sleep_until(schedule.accepts_until).await;
        log_event!(self.core.logger, GATEWAY_CLOSING;
            "requests" => self.callers.requests(), "connections" => self.callers.connections(),
            "left_ms" => schedule.left_ms(self.core.now()));
        self.callers.stop();
        while self.callers.connections() > 0 && self.core.now() < schedule.exits_at {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let remaining = self.callers.connections();
        log_event!(self.core.logger, GATEWAY_STOPPED;
            "requests" => self.callers.requests(), "connections" => remaining,
            "elapsed_ms" => self.core.now().since(started));
        match remaining {
            0 => GatewayExit::Drained,
            _ => GatewayExit::Forced,
        }
    }

    /// Hands over the jobs and the lease of the process.
    async fn hand_over(&self, schedule: DrainSchedule) {
        let hand_over = async {
            // Orders under way are awaited meanwhile, so that the lease is revoked in time.
            let (handed_over, ()) =
                tokio::join!(self.jobs.hand_over(), self.session.await_orders());
            if let Err(error) = handed_over {
                log_event!(self.core.logger, HAND_OVER_CUT;
                    "jobs" => self.jobs.all().len(), "detail" => error.detail);
            }
            self.session.revoke_lease().await;
        };
        let limit = HAND_OVER_TIMEOUT.min(Duration::from_millis(schedule.left_ms(self.core.now())));
        if timeout(limit, hand_over).await.is_err() {
            log_event!(self.core.logger, HAND_OVER_CUT; "jobs" => self.jobs.all().len());
        }
    }

    fn serve(&self, limits: ServerLimits) -> Result<(), ServiceError> {
        let settings = self.core.settings();
        let logger = &self.core.logger;
        if let Some(entry) = &settings.entry {
            let caller_handler = CallerHandler::new(Rc::clone(&self.core), Rc::clone(&self.jobs));
            let leader = Rc::clone(&self.callers);
            HttpServer::start(
                entry.callers,
                leader,
                caller_handler.clone(),
                logger.clone(),
            )
            .map_err(|error| listen_error(&error))?;
            let leader = ServerControl::new(limits);
            HttpServer::start(entry.readiness, leader, caller_handler, logger.clone())
                .map_err(|error| listen_error(&error))?;
        }
        let peer_handler = PeerHandler::new(Rc::clone(&self.core), Rc::clone(&self.jobs));
        let leader = ServerControl::new(limits);
        HttpServer::start(settings.peer_listen, leader, peer_handler, logger.clone())
            .map_err(|error| listen_error(&error))?;
        Ok(())
    }

    /// Serves metrics. A failure to open the address is logged and does not keep the gateway from starting.
    fn serve_metrics(&self, limits: ServerLimits, registry: &Registry) {
        let Some(address) = self.core.settings().metrics_listen else {
            return;
        };
        let metrics_handler = MetricsHandler::new(
            Rc::clone(&self.core),
            Rc::clone(&self.jobs),
            registry.clone(),
        );
        let leader = ServerControl::new(limits);
        let logger = &self.core.logger;
        if let Err(error) = HttpServer::start(address, leader, metrics_handler, logger.clone()) {
            log_event!(logger, METRICS_UNSERVED;
                "address" => %address, "error" => error.to_string());
        }
    }

    fn start_tasks(&self) {
        StoreSync::start(&self.core);
        let core = &self.core;
        let session = Rc::clone(&self.session);
        spawn_supervised(core, "session", move || Rc::clone(&session).run());
        self.spawn_job_tasks();
        let election = LeaderElection::new(
            Rc::clone(core),
            Rc::clone(&self.jobs),
            Rc::clone(&self.session),
        );
        spawn_supervised(core, "election", move || Rc::clone(&election).run());
        let own = Rc::clone(core);
        spawn_supervised(core, "usage", move || Rc::clone(&own).send_usage());
        let own = Rc::clone(core);
        spawn_supervised(core, "limits", move || Rc::clone(&own).exchange_limits());
        let own = Rc::clone(core);
        spawn_supervised(core, "leaving", move || {
            Rc::clone(&own).exchange_notices::<LeavingNotice>()
        });
        let own = Rc::clone(core);
        spawn_supervised(core, "crashes", move || {
            Rc::clone(&own).exchange_notices::<CrashNotice>()
        });
        let own = Rc::clone(core);
        spawn_supervised(core, "origins", move || Rc::clone(&own).send_origins());
        let own = Rc::clone(core);
        let (jobs, callers) = (Rc::clone(&self.jobs), Rc::clone(&self.callers));
        spawn_supervised(core, "housekeeping", move || {
            run_housekeeping(Rc::clone(&own), Rc::clone(&jobs), Rc::clone(&callers))
        });
    }

    fn spawn_job_tasks(&self) {
        let spawn = |name, start: fn(Rc<JobService>) -> LocalFuture<'static, ()>| {
            let jobs = Rc::clone(&self.jobs);
            spawn_supervised(&self.core, name, move || start(Rc::clone(&jobs)));
        };
        spawn("scheduler", |jobs| Box::pin(jobs.schedule_items()));
        spawn("verification", |jobs| {
            Box::pin(jobs.verify_after_registration())
        });
        spawn("ownership", |jobs| Box::pin(jobs.poll_ownership()));
        spawn("relocation", |jobs| Box::pin(jobs.relocate_jobs()));
        spawn("copies", |jobs| Box::pin(jobs.replicate_texts()));
        spawn("texts", |jobs| Box::pin(jobs.store_texts()));
        spawn("demand", |jobs| Box::pin(jobs.report_demand()));
        spawn("places", |jobs| Box::pin(jobs.exchange_places()));
        let (core, session) = (Rc::clone(&self.core), Rc::clone(&self.session));
        let jobs = Rc::clone(&self.jobs);
        spawn_supervised(&self.core, "reclaim", move || {
            reclaim_jobs(Rc::clone(&core), Rc::clone(&session), Rc::clone(&jobs))
        });
    }
}

/// Takes back the jobs that a previous run of the process on this host owned.
async fn reclaim_jobs(core: Rc<GatewayCore>, session: Rc<MemberSession>, jobs: Rc<JobService>) {
    // An unregistered owner counts as lost, so the leader would take over the jobs again at once.
    while session.lease().is_none() {
        sleep(REGISTRATION_POLL_INTERVAL).await;
    }
    let own = jobs.own_record();
    // The other processes hold the copies of the jobs' partial texts, so they must be known before jobs are
    // loaded.
    let members = list_with_retries(&core, MEMBER_PREFIX).await;
    core.set_members(&members.items);
    let listing = list_with_retries(&core, JOB_RECORD_PREFIX).await;
    let mut takeovers = Vec::new();
    for item in oldest_first(&listing.items) {
        let record = match keys::decode_item::<JobRecord>(item) {
            Ok(record) => record,
            Err(error) => {
                log_event!(core.logger, MAINTENANCE_FAILED;
                    "work" => "reclaim", "key" => &item.key, "detail" => error.detail);
                continue;
            }
        };
        let is_previous_run =
            record.owner.host == own.host && record.owner.incarnation != own.incarnation;
        if is_previous_run && record.state == keys::JobState::Running {
            takeovers.push(async {
                // A conflict means that another process has taken over the job in the meantime.
                if let Err(error) = jobs.take_over(item, None).await {
                    log_event!(core.logger, MAINTENANCE_FAILED;
                        "work" => "reclaim", "key" => &item.key, "detail" => error.detail);
                }
            });
        }
    }
    let takeovers = stream::iter(takeovers).buffer_unordered(TAKEOVER_CONCURRENCY);
    takeovers.collect::<()>().await;
    jobs.finish_reclaim();
}

/// Reads all keys with a prefix, and retries until the store answers.
async fn list_with_retries(core: &GatewayCore, prefix: &str) -> StoreListing {
    loop {
        match core.ports.store.list(prefix).await {
            Ok(listing) => return listing,
            Err(error) => {
                log_event!(core.logger, MAINTENANCE_FAILED;
                    "work" => "reclaim", "key" => prefix, "detail" => error.detail);
                sleep(HOUSEKEEPING_INTERVAL).await;
            }
        }
    }
}

async fn run_housekeeping(core: Rc<GatewayCore>, jobs: Rc<JobService>, callers: Rc<ServerControl>) {
    loop {
        sleep(HOUSEKEEPING_INTERVAL).await;
        core.upstream_client.sweep();
        core.metrics.load.connections.update(&core.upstream_client);
        core.order_client.sweep();
        core.peer_client.sweep();
        jobs.drop_expired(core.unix_ms());
        tokio::task::spawn_local(Rc::clone(&core).settle_customer_mark());
        let limits = server_limits(&core);
        callers.set_limits(limits);
        core.measure_host(&callers, limits.connections);
        let now = core.now();
        core.drain.drop_idle(now);
        let age = |age: Option<u64>| i64::try_from(age.unwrap_or(u64::MAX)).unwrap_or(i64::MAX);
        let config = core.freshness.borrow().age(now);
        core.metrics.config_age_ms.set(age(config));
        let roster = core.roster.borrow().age(now);
        core.metrics.roster_age_ms.set(age(roster));
        core.metrics
            .load
            .held_bytes
            .set(i64::try_from(core.held.total()).unwrap_or(i64::MAX));
        let limited = core.roster.borrow().limited();
        core.metrics
            .load
            .limited_upstreams
            .set(i64::try_from(limited).unwrap_or(i64::MAX));
        let leaving = core.roster.borrow().leaving_notices().len();
        core.metrics
            .load
            .leaving_upstreams
            .set(i64::try_from(leaving).unwrap_or(i64::MAX));
        let quarantined = core.sweep_crashes();
        core.metrics
            .load
            .quarantined_requests
            .set(i64::try_from(quarantined).unwrap_or(i64::MAX));
    }
}

fn server_limits(core: &GatewayCore) -> ServerLimits {
    let limits = core.intent.borrow().config().limits;
    let header_bytes = limits.header_bytes.max(MIN_HEADER_BYTES);
    let connections = core.settings().descriptors / DESCRIPTOR_DIVISOR;
    ServerLimits {
        connections: usize::try_from(connections).unwrap_or(usize::MAX),
        header_bytes: usize::try_from(header_bytes).unwrap_or(usize::MAX),
        idle: Duration::from_millis(limits.idle_ms),
        stall: STALL_LIMIT,
    }
}

fn upstream_limits(settings: &NodeSettings) -> ClientLimits {
    let (standby, entry) = UPSTREAM_DESCRIPTOR_DIVISORS;
    let divisor = match settings.entry {
        Some(_) => entry,
        None => standby,
    };
    let memory = settings.memory_bytes / UPSTREAM_MEMORY_DIVISOR / CONNECTION_BYTES;
    let connections = memory.min(settings.descriptors / divisor);
    ClientLimits {
        open_connections: usize::try_from(connections).unwrap_or(usize::MAX),
        ..UPSTREAM_LIMITS
    }
}

fn listen_error(error: &io::Error) -> ServiceError {
    let detail = format!("cannot open a listening address: {error}");
    ServiceError::not_run(ErrorKind::Internal, detail)
}
