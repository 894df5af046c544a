//! An HTTP client of the interface for usage reports.

use {
    crate::{
        client::{HttpCall, HttpClient},
        rate_limit::CallKind,
        settings::ClientSettings,
    },
    catkindeck::{Clock, ErrorKind, ServiceError, id::ObjectName, platform::UsageSink},
    slog::Logger,
    std::sync::Arc,
    ureq::http::Method,
};

/// A client of the platform's interface for usage reports.
pub struct HttpUsage {
    client: HttpClient,
}

impl HttpUsage {
    /// Creates a client. The first call opens the connection.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        Self {
            client: HttpClient::new(settings, clock, logger),
        }
    }
}

impl UsageSink for HttpUsage {
    fn report(&self, zone: &ObjectName, window: u64, sealed: &[u8]) -> Result<(), ServiceError> {
        let call = HttpCall {
            kind: CallKind::Usage,
            body: Some((Method::POST, sealed.to_vec())),
            path: format!("/v1/usage/{zone}/{window}"),
            timeout: self.client.timeout(),
        };
        // Reporting the same sealed bytes again has no effect, so the call may be retried.
        let response = self
            .client
            .send_with_retries(&call)
            .map_err(|error| error.to_service_error(ErrorKind::PeerUnavailable))?;
        match response.status {
            200 => Ok(()),
            409 => Err(ServiceError::not_run(
                ErrorKind::Conflict,
                format!(
                    "window {window} of zone {zone} was already reported with different contents"
                ),
            )),
            status => Err(ServiceError::unknown(
                ErrorKind::PeerUnavailable,
                format!("the platform's usage API responded with status {status}"),
            )),
        }
    }
}
