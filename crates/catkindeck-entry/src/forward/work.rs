//! What is forwarded and how it ends.

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

/// A checked request of a caller.
#[derive(Debug, Clone)]
pub struct ForwardWork {
    /// The identity, the same through all attempts.
    pub request: RequestId,
    /// The caller, or `None` on an open route.
    pub identity: Option<CallerIdentity>,
    /// The route.
    pub route: RouteRecord,
    /// The class.
    pub class: WorkClass,
    /// The priority within the class.
    pub priority: u8,
    /// When the caller gives up.
    pub deadline: Moment,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The digest by which crashes are counted and keys are compared.
    pub digest: BodyDigest,
    /// The digest of the prompt's prefix, for routing.
    pub prefix: Option<u64>,
    /// The sample that the answer becomes.
    pub sample: Option<SampleId>,
    /// The work itself.
    pub body: WorkBody,
}

impl ForwardWork {
    /// Returns the customer for whom the work runs.
    pub fn customer(&self) -> Option<&ObjectName> {
        self.identity.as_ref().map(|identity| &identity.customer)
    }
}

/// An answer that was delivered whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeliveredResponse {
    /// The labels of the delivered tokens.
    pub labels: VersionLabels,
    /// The boot identity of the upstream that ended the answer.
    pub boot: BootId,
    /// The number of attempts.
    pub attempts: u8,
}

/// Why a request ended without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardError {
    /// The caller is told this error.
    Failed(ServiceError),
    /// The caller left.
    CallerDisconnected,
}

impl From<ServiceError> for ForwardError {
    fn from(error: ServiceError) -> Self {
        Self::Failed(error)
    }
}

/// Why an attempt was given up by this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// The caller left.
    CallerDisconnected,
    /// The key was revoked.
    KeyRevoked,
    /// The deadline passed.
    Deadline,
}

/// The other entries.
pub trait PeerDirectory: Send + Sync {
    /// Returns name and address of each other entry that is known.
    fn entries(&self) -> Vec<(ObjectName, SocketAddr)>;
}

/// Other entries that are named in the settings.
#[derive(Debug, Clone, Default)]
pub struct StaticPeers(pub Vec<(ObjectName, SocketAddr)>);

impl PeerDirectory for StaticPeers {
    fn entries(&self) -> Vec<(ObjectName, SocketAddr)> {
        self.0.clone()
    }
}
