//! The HTTP API for operators.

use {
    crate::http::{CallerRequest, RequestHandler, ResponseWriter},
    catkindeck::time::unix_ms,
    catkindeck_control::intent::{AdminRequest, IntentAdmin},
    std::sync::Arc,
};

/// The kernel name of the [`IntentAdmin`].
pub const INTENT_ADMIN: &str = "intent-admin";

/// Handles operators' requests over HTTP.
pub struct AdminService {
    admin: Arc<IntentAdmin>,
}

impl AdminService {
    pub fn new(admin: Arc<IntentAdmin>) -> Self {
        Self { admin }
    }
}

impl RequestHandler for AdminService {
    fn handle(&self, request: CallerRequest, writer: &mut dyn ResponseWriter) {
        let authorization = request.headers.get(http::header::AUTHORIZATION);
        let key = authorization.and_then(|value| {
            let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
            scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
        });
        let response = self.admin.handle(AdminRequest {
            method: request.method.as_str(),
            path: request.uri.path(),
            key,
            body: &request.body,
            now_ms: unix_ms(),
        });
        let headers = [("content-type".to_owned(), "application/json".to_owned())];
        // An error means that the operator disconnected; the outcome can be queried by its id.
        let _ = writer.send(response.status, &headers, response.body);
    }
}
