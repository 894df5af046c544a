//! The unit of work that is forwarded, and its result.

use {
    crate::credentials::CallerIdentity,
    catkindeck::{
        Moment, ServiceError,
        config::RouteRecord,
        id::{BodyDigest, BootId, ObjectName, RequestId},
        message::{SampleId, WorkBody, WorkClass},
        token::VersionLabels,
    },
    std::net::SocketAddr,
};

/// A validated request of a caller.
#[derive(Debug, Clone)]
pub struct ForwardWork {
    /// The request id, the same in all attempts.
    pub request: RequestId,
    /// The authenticated caller, or `None` on an open route.
    pub identity: Option<CallerIdentity>,
    pub route: RouteRecord,
    pub class: WorkClass,
    /// The priority within the class.
    pub priority: u8,
    /// The time at which the caller stops waiting.
    pub deadline: Moment,
    pub idempotency_key: Option<String>,
    /// The digest that identifies the body for crash counts and idempotency keys.
    pub digest: BodyDigest,
    /// The digest of the prompt's prefix, used for routing.
    pub prefix: Option<u64>,
    /// The sample that is generated, for training runs.
    pub sample: Option<SampleId>,
    pub body: WorkBody,
}

impl ForwardWork {
    /// Returns the customer on whose behalf the work runs.
    pub fn customer(&self) -> Option<&ObjectName> {
        self.identity.as_ref().map(|identity| &identity.customer)
    }
}

/// A response that was delivered completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeliveredResponse {
    /// The version labels of the delivered tokens.
    pub labels: VersionLabels,
    /// The boot ID of the upstream that finished the response.
    pub boot: BootId,
    pub attempts: u8,
}

/// The reason why a request ended without a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardError {
    /// The error is returned to the caller.
    Failed(ServiceError),
    /// The caller disconnected.
    CallerDisconnected,
}

impl From<ServiceError> for ForwardError {
    fn from(error: ServiceError) -> Self {
        Self::Failed(error)
    }
}

/// The reason why this entry stopped an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    CallerDisconnected,
    KeyRevoked,
    Deadline,
}

/// Lists the other entries.
pub trait PeerDirectory: Send + Sync {
    /// Returns the name and address of every other known entry.
    fn entries(&self) -> Vec<(ObjectName, SocketAddr)>;
}

/// The other entries named in the settings.
#[derive(Debug, Clone, Default)]
pub struct StaticPeers(pub Vec<(ObjectName, SocketAddr)>);

impl PeerDirectory for StaticPeers {
    fn entries(&self) -> Vec<(ObjectName, SocketAddr)> {
        self.0.clone()
    }
}
