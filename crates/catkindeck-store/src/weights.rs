//! The platform's weight store over HTTP.

use {
    crate::{
        budget::CallKind,
        client::{HttpCall, HttpClient},
        settings::ClientSettings,
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError, id::ObjectName, platform::WeightStore, token::WeightVersion,
    },
    slog::Logger,
    std::sync::Arc,
};

/// A client of the weight store.
pub struct HttpWeights {
    client: HttpClient,
}

impl HttpWeights {
    /// Makes a client; no connection is opened before the first call.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        Self {
            client: HttpClient::new(settings, clock, logger),
        }
    }
}

impl WeightStore for HttpWeights {
    /// Fetches in one attempt; the caller spreads its attempts over the store's rate limit.
    fn fetch(&self, model: &ObjectName, version: WeightVersion) -> Result<Vec<u8>, ServiceError> {
        let call = HttpCall {
            kind: CallKind::Weights,
            body: None,
            path: format!("/v1/weights/{model}/{}", version.0),
            timeout: self.client.timeout(),
        };
        let reply = self.client.attempt(&call).map_err(|failure| {
            let kind = match failure.retry_after_ms {
                Some(_) => ErrorKind::Overloaded,
                None => ErrorKind::PeerUnavailable,
            };
            failure.error(kind)
        })?;
        match reply.status {
            200 => Ok(reply.body),
            404 => Err(ServiceError::not_run(
                ErrorKind::NotFound,
                format!("model {model} has no version {}", version.0),
            )),
            status => Err(ServiceError::unknown(
                ErrorKind::PeerUnavailable,
                format!("the weight store answered {status}"),
            )),
        }
    }
}
