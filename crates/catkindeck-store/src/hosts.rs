//! An HTTP client of the platform's host list.

use {
    crate::{
        client::{HttpCall, HttpClient},
        rate_limit::CallKind,
        settings::ClientSettings,
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError,
        platform::{HostList, HostRecord},
    },
    slog::Logger,
    std::sync::Arc,
};

/// A client of the platform's host list.
pub struct HttpHosts {
    client: HttpClient,
}

impl HttpHosts {
    /// Creates a client. The first call opens the connection.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        Self {
            client: HttpClient::new(settings, clock, logger),
        }
    }
}

impl HostList for HttpHosts {
    fn hosts(&self) -> Result<Vec<HostRecord>, ServiceError> {
        let call = HttpCall {
            kind: CallKind::Hosts,
            body: None,
            path: "/v1/hosts".to_owned(),
            timeout: self.client.timeout(),
        };
        let response = self
            .client
            .send_with_retries(&call)
            .map_err(|error| error.to_service_error(ErrorKind::PeerUnavailable))?;
        if response.status != 200 {
            let detail = format!("the host list responded with status {}", response.status);
            return Err(ServiceError::unknown(ErrorKind::PeerUnavailable, detail));
        }
        response.json(ErrorKind::PeerUnavailable)
    }
}
