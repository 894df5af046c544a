//! Health checks, metrics and the queue, served on a separate address.

use {
    crate::{core::GatewayCore, jobs::JobService},
    catkindeck_net::{HttpHandler, LocalFuture, ResponseBody},
    http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    hyper::body::Incoming,
    prometheus::{Registry, TextEncoder},
    std::rc::Rc,
};

/// The path of the queue (`catkindeck queue`).
const QUEUE_PATH: &str = "/queue";

/// The content type of all answers but the queue.
const PLAIN_TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// The content type of the queue.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Answers health checks, scrapes of metrics and questions about the queue.
pub struct MetricsHandler {
    core: Rc<GatewayCore>,
    jobs: Rc<JobService>,
    registry: Registry,
}

impl MetricsHandler {
    pub fn new(core: Rc<GatewayCore>, jobs: Rc<JobService>, registry: Registry) -> Rc<Self> {
        Rc::new(Self {
            core,
            jobs,
            registry,
        })
    }

    fn answer(&self, request: &Request<Incoming>) -> (StatusCode, String) {
        if request.method() != Method::GET {
            return (StatusCode::METHOD_NOT_ALLOWED, "expected GET\n".to_owned());
        }
        match request.uri().path() {
            "/healthz" => (StatusCode::OK, "ok\n".to_owned()),
            "/readyz" if self.core.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
            "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, self.unready_reason()),
            "/metrics" => match TextEncoder::new().encode_to_string(&self.registry.gather()) {
                Ok(metrics) => (StatusCode::OK, metrics),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
            },
            QUEUE_PATH => match serde_json::to_string(&self.jobs.queue()) {
                Ok(queue) => (StatusCode::OK, queue),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
            },
            _ => (
                StatusCode::NOT_FOUND,
                "not found; available: /healthz, /readyz, /metrics, /queue\n".to_owned(),
            ),
        }
    }

    fn unready_reason(&self) -> String {
        let age_ms = self.core.freshness.borrow().age(self.core.now());
        format!(
            "not ready; shutting down: {}, configuration read: {}, its age in ms: {}, upstreams listed: {}\n",
            self.core.is_shutting_down(),
            self.core.intent.borrow().has_config(),
            age_ms.map_or_else(|| "never read".to_owned(), |age| age.to_string()),
            !self.core.roster.borrow().is_empty(),
        )
    }
}

impl HttpHandler for MetricsHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Response<ResponseBody>> {
        Box::pin(async move {
            let (status, text) = self.answer(&request);
            let mut response = Response::new(ResponseBody::whole(text));
            *response.status_mut() = status;
            let is_json = request.uri().path() == QUEUE_PATH && status == StatusCode::OK;
            let content_type = if is_json { JSON } else { PLAIN_TEXT };
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        })
    }
}
