//! The HTTP server of the health address.

use {
    crate::{
        DrainGate, ReadinessFlag,
        events::{HEALTH_ACCEPT_FAILED, HEALTH_LISTENING, METRICS_FAILED},
    },
    bytes::Bytes,
    catkindeck::{ErrorKind, ServiceError, log_event},
    http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    prometheus::{IntGauge, Registry, TextEncoder},
    slog::Logger,
    std::{convert::Infallible, net::SocketAddr, sync::Arc, thread, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        runtime::{Builder, Runtime},
        sync::Semaphore,
    },
};

/// The number of connections served at once; further ones wait in the system's backlog.
const CONNECTION_LIMIT: usize = 64;

/// The time for the headers of a request, so that stuck probes do not use up the connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause after a failed accept, which keeps a lasting fault such as a lack of file descriptors
/// from filling the log.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);

type HealthAnswer = Response<Full<Bytes>>;

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
        let (runtime, listener) = open_listener(address)?;
        let bound = listener.local_addr().map_err(|error| fault(&error))?;
        log_event!(logger, HEALTH_LISTENING; "address" => %bound);
        let service = Arc::new(service);
        thread::Builder::new()
            .name("health".to_owned())
            .spawn(move || runtime.block_on(accept_loop(listener, service)))
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

    fn answer(&self, request: &Request<Incoming>) -> HealthAnswer {
        if request.method() != Method::GET && request.method() != Method::HEAD {
            return text(405, "expected GET\n".to_owned());
        }
        match request.uri().path() {
            "/healthz" => text(200, "ok\n".to_owned()),
            "/readyz" => self.answer_readiness(),
            "/metrics" => self.answer_metrics(),
            _ => text(404, "known: /healthz, /readyz, /metrics\n".to_owned()),
        }
    }

    fn answer_readiness(&self) -> HealthAnswer {
        let reasons = self.readiness.reasons();
        if reasons.is_empty() {
            return text(200, "ready\n".to_owned());
        }
        let lines = reasons
            .iter()
            .map(|(reason, detail)| format!("{reason}: {detail}\n"));
        text(503, lines.collect())
    }

    fn answer_metrics(&self) -> HealthAnswer {
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

/// Opens the address on a runtime of its own, whose one thread serves all connections.
fn open_listener(address: SocketAddr) -> Result<(Runtime, TcpListener), ServiceError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| fault(&error))?;
    let listener = runtime.block_on(TcpListener::bind(address));
    let listener = listener.map_err(|error| {
        ServiceError::not_run(
            ErrorKind::Internal,
            format!("the health address {address} cannot be opened: {error}"),
        )
    })?;
    Ok((runtime, listener))
}

async fn accept_loop(listener: TcpListener, service: Arc<HealthService>) {
    let permits = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        // The error means that the semaphore was closed, which never happens.
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = Arc::clone(&service);
                tokio::spawn(async move {
                    serve_connection(stream, &service).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log_event!(service.logger, HEALTH_ACCEPT_FAILED; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, service: &HealthService) {
    let answer = service_fn(|request| {
        let answer = service.answer(&request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        // Probes that stay connected would use up the connections.
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), answer);
    // An error is the caller's: it is gone or broke the protocol.
    let _ = connection.await;
}

fn text(status: u16, content: String) -> HealthAnswer {
    let mut response = Response::new(Full::new(Bytes::from(content)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn fault(error: &dyn std::error::Error) -> ServiceError {
    ServiceError::not_run(ErrorKind::Internal, format!("health server: {error}"))
}
