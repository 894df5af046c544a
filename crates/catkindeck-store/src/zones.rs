//! The interface for zone orders over HTTP.

use {
    crate::{
        budget::CallKind,
        client::{HttpCall, HttpClient},
        settings::ClientSettings,
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError,
        id::ObjectName,
        platform::{ZoneCount, ZoneOrder, ZoneOrders},
    },
    slog::Logger,
    std::{sync::Arc, time::Duration},
    ureq::http::Method,
};

const UNAVAILABLE: ErrorKind = ErrorKind::PeerUnavailable;

/// A client of the interface for zone orders.
pub struct HttpZones {
    client: HttpClient,
}

impl HttpZones {
    /// Makes a client; no connection is opened before the first call.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        Self {
            client: HttpClient::new(settings, clock, logger),
        }
    }
}

impl ZoneOrders for HttpZones {
    /// Gives the order in one attempt, because a repetition would need another look at the lease.
    fn order(
        &self,
        zone: &ObjectName,
        order: &ZoneOrder,
        timeout: Duration,
    ) -> Result<(), ServiceError> {
        let body = serde_json::to_vec(order)
            .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))?;
        let call = HttpCall {
            kind: CallKind::Zones,
            body: Some((Method::POST, body)),
            path: format!("/v1/zones/{zone}/orders"),
            timeout: timeout.min(self.client.timeout()),
        };
        let reply = self
            .client
            .attempt(&call)
            .map_err(|failure| failure.error(UNAVAILABLE))?;
        match reply.status {
            200 => Ok(()),
            409 => Err(ServiceError::not_run(
                ErrorKind::Fenced,
                format!("zone {zone} knows a higher fencing number"),
            )),
            status => Err(ServiceError::unknown(
                UNAVAILABLE,
                format!("zone {zone} answered {status}"),
            )),
        }
    }

    fn counts(&self, zone: &ObjectName) -> Result<Vec<ZoneCount>, ServiceError> {
        let call = HttpCall {
            kind: CallKind::Zones,
            body: None,
            path: format!("/v1/zones/{zone}"),
            timeout: self.client.timeout(),
        };
        let reply = self
            .client
            .repeat(&call)
            .map_err(|failure| failure.error(UNAVAILABLE))?;
        if reply.status != 200 {
            let detail = format!("zone {zone} answered {}", reply.status);
            return Err(ServiceError::unknown(UNAVAILABLE, detail));
        }
        reply.json(UNAVAILABLE)
    }
}
