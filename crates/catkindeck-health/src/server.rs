//! The HTTP server of the health address.

use {
    crate::{
        DrainGate, ReadinessFlag,
        events::{HEALTH_ACCEPT_FAILED, HEALTH_LISTENING, METRICS_FAILED},
    },
    astra::{Body, ConnectionInfo, Request, Response, ResponseBuilder, Server},
    catkindeck::{ErrorKind, ServiceError, log_event},
    prometheus::{IntGauge, Registry, TextEncoder},
    slog::Logger,
    std::{
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// The number of connections served at once.
///
/// astra gives each connection a thread and has no time-out for a caller that sends nothing, so a
/// few stuck probes must not use up the threads.
const CONNECTION_LIMIT: usize = 64;

/// The pause before a failed listener is opened again, which keeps a lasting fault such as a lack of
/// file descriptors from filling the log.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);

/// Serves `/healthz`, `/readyz` and `/metrics` on an address of their own.
#[derive(Debug)]
pub struct HealthServer {
    address: SocketAddr,
}

impl HealthServer {
    /// Starts the server on a thread that lives as long as the process.
    ///
    /// Port zero lets the system choose the port. `/metrics` shows the content of `registry` and
    /// the readiness and work in flight, which are registered here.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the address cannot be opened or the metrics are registered already.
    pub fn start(
        address: SocketAddr,
        readiness: Arc<ReadinessFlag>,
        gate: Arc<DrainGate>,
        registry: Registry,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        let service = HealthService::new(readiness, gate, registry, logger.clone())?;
        let server = open_server(address)?;
        let bound = server.local_addr().map_err(|error| fault(&error))?;
        log_event!(logger, HEALTH_LISTENING; "address" => %bound);
        let service = Arc::new(service);
        thread::Builder::new()
            .name("health".to_owned())
            .spawn(move || serve_forever(server, bound, &service, &logger))
            .map_err(|error| fault(&error))?;
        Ok(Self { address: bound })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

struct HealthService {
    readiness: Arc<ReadinessFlag>,
    gate: Arc<DrainGate>,
    registry: Registry,
    ready: IntGauge,
    in_flight: IntGauge,
    logger: Logger,
}

impl HealthService {
    fn new(
        readiness: Arc<ReadinessFlag>,
        gate: Arc<DrainGate>,
        registry: Registry,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        let ready = IntGauge::new("catkindeck_ready", "Whether the process takes work.")
            .map_err(|error| fault(&error))?;
        let in_flight = IntGauge::new("catkindeck_in_flight", "The requests in flight.")
            .map_err(|error| fault(&error))?;
        registry
            .register(Box::new(ready.clone()))
            .and_then(|()| registry.register(Box::new(in_flight.clone())))
            .map_err(|error| fault(&error))?;
        Ok(Self {
            readiness,
            gate,
            registry,
            ready,
            in_flight,
            logger,
        })
    }

    fn answer(&self, request: &Request) -> Response {
        if request.method() != http::Method::GET && request.method() != http::Method::HEAD {
            return text(405, "expected GET\n".to_owned());
        }
        match request.uri().path() {
            "/healthz" => text(200, "ok\n".to_owned()),
            "/readyz" => self.answer_readiness(),
            "/metrics" => self.answer_metrics(),
            _ => text(404, "known: /healthz, /readyz, /metrics\n".to_owned()),
        }
    }

    fn answer_readiness(&self) -> Response {
        let reasons = self.readiness.reasons();
        if reasons.is_empty() {
            return text(200, "ready\n".to_owned());
        }
        let lines = reasons
            .iter()
            .map(|(reason, detail)| format!("{reason}: {detail}\n"));
        text(503, lines.collect())
    }

    fn answer_metrics(&self) -> Response {
        self.ready.set(i64::from(self.readiness.is_ready()));
        let in_flight = i64::try_from(self.gate.in_flight()).unwrap_or(i64::MAX);
        self.in_flight.set(in_flight);
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(metrics) => text(200, metrics),
            Err(error) => {
                log_event!(self.logger, METRICS_FAILED; "error" => %error);
                text(500, "metrics could not be encoded\n".to_owned())
            }
        }
    }
}

impl astra::Service for HealthService {
    fn call(&self, request: Request, _info: ConnectionInfo) -> Response {
        self.answer(&request)
    }
}

/// Opens the address, first with the standard library because astra panics on a failure to bind.
fn open_server(address: SocketAddr) -> Result<Server, ServiceError> {
    let probe = TcpListener::bind(address).map_err(|error| {
        ServiceError::not_run(
            ErrorKind::Internal,
            format!("the health address {address} cannot be opened: {error}"),
        )
    })?;
    let bound = probe.local_addr().map_err(|error| fault(&error))?;
    drop(probe);
    // Without keep-alive a probe that stays connected does not hold a thread between its requests.
    Ok(Server::bind(bound)
        .http1_only()
        .http1_keep_alive(false)
        .max_workers(CONNECTION_LIMIT))
}

/// Serves, and opens the address again when accepting a connection failed, at which astra returns.
fn serve_forever(
    mut server: Server,
    address: SocketAddr,
    service: &Arc<HealthService>,
    logger: &Logger,
) {
    loop {
        if let Err(error) = server.serve_clone(Arc::clone(service)) {
            log_event!(logger, HEALTH_ACCEPT_FAILED; "error" => %error);
        }
        server = loop {
            thread::sleep(REOPEN_PAUSE);
            match open_server(address) {
                Ok(server) => break server,
                Err(error) => log_event!(logger, HEALTH_ACCEPT_FAILED; "error" => %error),
            }
        };
    }
}

fn text(status: u16, content: String) -> Response {
    let response = ResponseBuilder::new()
        .status(status)
        .header("content-type", "text/plain; charset=utf-8")
        .body(Body::new(content));
    response.unwrap_or_else(|_| Response::new(Body::empty()))
}

fn fault(error: &dyn std::error::Error) -> ServiceError {
    ServiceError::not_run(ErrorKind::Internal, format!("health server: {error}"))
}
