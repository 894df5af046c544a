//! The HTTP server of the health address.

use {
    crate::{
        DrainGate, ReadinessFlag,
        events::{HEALTH_ACCEPT_FAILED, HEALTH_LISTENING, METRICS_FAILED},
    },
    catkindeck::{ErrorKind, ServiceError, log_event},
    http::{Request, Response},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    prometheus::{IntGauge, Registry, TextEncoder},
    slog::Logger,
    std::{convert::Infallible, net::SocketAddr, sync::Arc, thread, time::Duration},
    tokio::{net::TcpListener, runtime::Builder, sync::Semaphore, time::sleep},
};

/// The number of connections served at once; a few stuck probes must not use up file descriptors.
const CONNECTION_LIMIT: usize = 64;

/// The time for the headers of a request, after which a caller that sends nothing is dropped.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause after a failed accept, so that a lack of file descriptors does not fill the log.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);

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
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| fault(&error))?;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .map_err(|error| {
                ServiceError::not_run(
                    ErrorKind::Internal,
                    format!("the health address {address} cannot be opened: {error}"),
                )
            })?;
        let bound = listener.local_addr().map_err(|error| fault(&error))?;
        log_event!(logger, HEALTH_LISTENING; "address" => %bound);
        thread::Builder::new()
            .name("health".to_owned())
            .spawn(move || runtime.block_on(accept(listener, Arc::new(service), logger)))
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

    fn answer(&self, request: &Request<Incoming>) -> Response<String> {
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

    fn answer_readiness(&self) -> Response<String> {
        let reasons = self.readiness.reasons();
        if reasons.is_empty() {
            return text(200, "ready\n".to_owned());
        }
        let lines = reasons
            .iter()
            .map(|(reason, detail)| format!("{reason}: {detail}\n"));
        text(503, lines.collect())
    }

    fn answer_metrics(&self) -> Response<String> {
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

/// Accepts connections for as long as the process lives.
async fn accept(listener: TcpListener, service: Arc<HealthService>, logger: Logger) {
    let connections = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        // The semaphore is never closed.
        let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log_event!(logger, HEALTH_ACCEPT_FAILED; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let service = Arc::clone(&service);
        tokio::spawn(async move {
            let handler = service_fn(|request| {
                let answer = service.answer(&request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), handler);
            // A probe that broke off is of no interest.
            let _ = served.await;
            drop(permit);
        });
    }
}

fn text(status: u16, content: String) -> Response<String> {
    let response = Response::builder()
        .status(status)
        .header("content-type", "text/plain; charset=utf-8")
        .body(content);
    response.unwrap_or_default()
}

fn fault(error: &dyn std::error::Error) -> ServiceError {
    ServiceError::not_run(ErrorKind::Internal, format!("health server: {error}"))
}
