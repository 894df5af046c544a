//! An HTTP client of the platform's interface for zone orders.

use {
    crate::{
        client::{HttpCall, HttpClient},
        rate_limit::CallKind,
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

/// A client of the platform's interface for zone orders.
pub struct HttpZones {
    client: HttpClient,
}

impl HttpZones {
    /// Creates a client. The first call opens the connection.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        Self {
            client: HttpClient::new(settings, clock, logger),
        }
    }
}

impl ZoneOrders for HttpZones {
    /// Makes a single attempt, because a retry would require checking the lease again.
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
        let response = self
            .client
            .attempt(&call)
            .map_err(|error| error.to_service_error(UNAVAILABLE))?;
        match response.status {
            200 => Ok(()),
            409 => Err(ServiceError::not_run(
                ErrorKind::Fenced,
                format!(
                    "zone {zone} rejected fencing token {} because it has seen a higher one",
                    order.fence
                ),
            )),
            status => Err(ServiceError::unknown(
                UNAVAILABLE,
                format!("the platform's order API for zone {zone} responded with status {status}"),
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
        let response = self
            .client
            .send_with_retries(&call)
            .map_err(|error| error.to_service_error(UNAVAILABLE))?;
        if response.status != 200 {
            let detail = format!(
                "the platform's order API for zone {zone} responded with status {}",
                response.status
            );
            return Err(ServiceError::unknown(UNAVAILABLE, detail));
        }
        response.json(UNAVAILABLE)
    }
}
