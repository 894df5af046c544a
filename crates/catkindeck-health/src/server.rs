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

/// The maximum number of connections served at once; further ones wait in the listen backlog.
const CONNECTION_LIMIT: usize = 64;

/// The timeout for the headers of a request, so that stuck probes do not exhaust the connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// The delay after a failed accept, so that a persistent error such as a lack of file descriptors
/// does not flood the log.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);

type HealthResponse = Response<Full<Bytes>>;

/// A server of `/healthz`, `/readyz` and `/metrics` on a separate address.
#[derive(Debug)]
pub struct HealthServer {
    address: SocketAddr,
}

impl HealthServer {
    /// Starts the server on a thread that lives as long as the process.
    ///
    /// With port zero the system chooses the port. `/metrics` exposes `registry`, to which the
    /// readiness and the work in flight are added here.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the address cannot be opened or the metrics are already registered.
    pub fn start(
        address: SocketAddr,
        readiness: Arc<ReadinessFlag>,
        gate: Arc<DrainGate>,
        registry: Registry,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        let service = HealthService::new(readiness, gate, registry, logger.clone())?;
        let (runtime, listener) = open_listener(address)?;
        let bound = listener
            .local_addr()
            .map_err(|error| internal_error(&error))?;
        log_event!(logger, HEALTH_LISTENING; "address" => %bound);
        let service = Arc::new(service);
        thread::Builder::new()
            .name("health".to_owned())
            .spawn(move || runtime.block_on(accept_loop(listener, service)))
            .map_err(|error| internal_error(&error))?;
        Ok(Self { address: bound })
    }

    /// Returns the address that the server is bound to.
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
            .map_err(|error| internal_error(&error))?;
        let in_flight = IntGauge::new("catkindeck_in_flight", "The requests in flight.")
            .map_err(|error| internal_error(&error))?;
        registry
            .register(Box::new(ready.clone()))
            .and_then(|()| registry.register(Box::new(in_flight.clone())))
            .map_err(|error| internal_error(&error))?;
        Ok(Self {
            readiness,
            gate,
            registry,
            ready,
            in_flight,
            logger,
        })
    }

    fn respond(&self, request: &Request<Incoming>) -> HealthResponse {
        if request.method() != Method::GET && request.method() != Method::HEAD {
            return text_response(405, "expected GET\n".to_owned());
        }
        match request.uri().path() {
            "/healthz" => text_response(200, "ok\n".to_owned()),
            "/readyz" => self.readiness_response(),
            "/metrics" => self.metrics_response(),
            _ => text_response(404, "known: /healthz, /readyz, /metrics\n".to_owned()),
        }
    }

    fn readiness_response(&self) -> HealthResponse {
        let reasons = self.readiness.reasons();
        if reasons.is_empty() {
            return text_response(200, "ready\n".to_owned());
        }
        let lines = reasons
            .iter()
            .map(|(reason, detail)| format!("{reason}: {detail}\n"));
        text_response(503, lines.collect())
    }

    fn metrics_response(&self) -> HealthResponse {
        self.ready.set(i64::from(self.readiness.is_ready()));
        let in_flight = i64::try_from(self.gate.in_flight()).unwrap_or(i64::MAX);
        self.in_flight.set(in_flight);
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(metrics) => text_response(200, metrics),
            Err(error) => {
                log_event!(self.logger, METRICS_FAILED; "error" => %error);
                text_response(500, "metrics could not be encoded\n".to_owned())
            }
        }
    }
}

/// Binds the address on a separate runtime, whose single thread serves all connections.
fn open_listener(address: SocketAddr) -> Result<(Runtime, TcpListener), ServiceError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| internal_error(&error))?;
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
        // An error means that the semaphore was closed, which never happens.
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, service: &HealthService) {
    let respond = service_fn(|request| {
        let response = service.respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        // Probes that stay connected would exhaust the connections.
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), respond);
    // An error means that the caller disconnected or violated the protocol.
    let _ = connection.await;
}

fn text_response(status: u16, content: String) -> HealthResponse {
    let mut response = Response::new(Full::new(Bytes::from(content)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn internal_error(error: &dyn std::error::Error) -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Internal,
        format!("cannot set up the health server: {error}"),
    )
}
