//! The interface that takes usage reports, over HTTP.

use {
    crate::{
        budget::CallKind,
        client::{HttpCall, HttpClient},
        settings::ClientSettings,
    },
    catkindeck::{Clock, ErrorKind, ServiceError, id::ObjectName, platform::UsageSink},
    slog::Logger,
    std::sync::Arc,
    ureq::http::Method,
};

/// A client of the interface that takes usage reports.
pub struct HttpUsage {
    client: HttpClient,
}

impl HttpUsage {
    /// Makes a client; no connection is opened before the first call.
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
        // The same sealed bytes may be reported again, so the call may be repeated.
        let reply = self
            .client
            .repeat(&call)
            .map_err(|failure| failure.error(ErrorKind::PeerUnavailable))?;
        match reply.status {
            200 => Ok(()),
            409 => Err(ServiceError::not_run(
                ErrorKind::Conflict,
                format!("window {window} of zone {zone} was reported with other figures"),
            )),
            status => Err(ServiceError::unknown(
                ErrorKind::PeerUnavailable,
                format!("the usage interface answered {status}"),
            )),
        }
    }
}
