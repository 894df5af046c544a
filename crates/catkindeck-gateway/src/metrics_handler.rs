//! Health checks and metrics, served on a separate address.

use {
    crate::core::GatewayCore,
    catkindeck_net::{HttpHandler, LocalFuture, ResponseBody},
    http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    hyper::body::Incoming,
    prometheus::{Registry, TextEncoder},
    std::rc::Rc,
};

/// Answers health checks and scrapes of metrics.
pub struct MetricsHandler {
    core: Rc<GatewayCore>,
    registry: Registry,
}

impl MetricsHandler {
    pub fn new(core: Rc<GatewayCore>, registry: Registry) -> Rc<Self> {
        Rc::new(Self { core, registry })
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
            _ => (
                StatusCode::NOT_FOUND,
                "not found; available: /healthz, /readyz, /metrics\n".to_owned(),
            ),
        }
    }

    fn unready_reason(&self) -> String {
        let age_ms = self.core.freshness.borrow().age(self.core.now());
        format!(
            "not ready; shutting down: {}, configuration read: {}, its age in ms: {}, upstreams listed: {}\n",
            self.core.is_shutting_down.get(),
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
            let plain = HeaderValue::from_static("text/plain; charset=utf-8");
            response.headers_mut().insert(CONTENT_TYPE, plain);
            response
        })
    }
}
