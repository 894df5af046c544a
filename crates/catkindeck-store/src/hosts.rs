//! The platform's host list over HTTP.

use {
    crate::{
        budget::CallKind,
        client::{HttpCall, HttpClient},
        settings::ClientSettings,
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError,
        platform::{HostList, HostRecord},
    },
    slog::Logger,
    std::sync::Arc,
};

/// A client of the host list.
pub struct HttpHosts {
    client: HttpClient,
}

impl HttpHosts {
    /// Makes a client; no connection is opened before the first call.
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
        let reply = self
            .client
            .repeat(&call)
            .map_err(|failure| failure.error(ErrorKind::PeerUnavailable))?;
        if reply.status != 200 {
            let detail = format!("the host list answered {}", reply.status);
            return Err(ServiceError::unknown(ErrorKind::PeerUnavailable, detail));
        }
        reply.json(ErrorKind::PeerUnavailable)
    }
}
