//! An HTTP client of the platform's weight store.

use {
    crate::{
        client::{HttpCall, HttpClient},
        rate_limit::CallKind,
        settings::ClientSettings,
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError, id::ObjectName, platform::WeightStore, token::WeightVersion,
    },
    slog::Logger,
    std::sync::Arc,
};

/// A client of the platform's weight store.
pub struct HttpWeights {
    client: HttpClient,
}

impl HttpWeights {
    /// Creates a client. The first call opens the connection.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        Self {
            client: HttpClient::new(settings, clock, logger),
        }
    }
}

impl WeightStore for HttpWeights {
    /// Makes a single attempt; the caller spaces its attempts to respect the store's rate limit.
    fn fetch(&self, model: &ObjectName, version: WeightVersion) -> Result<Vec<u8>, ServiceError> {
        let call = HttpCall {
            kind: CallKind::Weights,
            body: None,
            path: format!("/v1/weights/{model}/{}", version.0),
            timeout: self.client.timeout(),
        };
        let response = self.client.attempt(&call).map_err(|error| {
            let kind = match error.retry_after_ms {
                Some(_) => ErrorKind::Overloaded,
                None => ErrorKind::PeerUnavailable,
            };
            error.to_service_error(kind)
        })?;
        match response.status {
            200 => Ok(response.body),
            404 => Err(ServiceError::not_run(
                ErrorKind::NotFound,
                format!("model {model} has no version {}", version.0),
            )),
            status => Err(ServiceError::unknown(
                ErrorKind::PeerUnavailable,
                format!("the weight store responded with status {status}"),
            )),
        }
    }
}
