//! What an owner needs from the process around it.

use catkindeck::{
    ServiceError,
    config::RunRecord,
    id::{ObjectName, RequestId},
    message::{SampleId, SampleRecord},
    token::WeightVersion,
};

/// A sample to be generated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SampleOrder {
    /// The identity of this attempt.
    pub request: RequestId,
    /// The run.
    pub run: RunRecord,
    /// The identity of the sample.
    pub id: SampleId,
    /// The prompt.
    pub prompt: String,
    /// The largest number of tokens.
    pub max_tokens: u32,
    /// The priority within the class of samples.
    pub priority: u8,
    /// The time left until the step's deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Generates samples on upstreams; the entry implements it with its ordinary request path.
pub trait SampleRunner: Send + Sync {
    /// Generates one sample and waits for it.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt; the sample may be ordered again, because nothing of
    /// it was accepted.
    fn generate(&self, order: &SampleOrder) -> Result<SampleRecord, ServiceError>;

    /// Stops an attempt whose sample another attempt has won.
    fn cancel(&self, request: RequestId);

    /// Collects the finished samples that agents retain for a step.
    fn collect(&self, run: &RunRecord, step: u64) -> Vec<SampleRecord>;

    /// Lets the agents drop samples that were acknowledged.
    fn release(&self, run: &RunRecord, samples: &[SampleId]);
}

/// Brings new weights to the upstreams of a run's service.
pub trait WeightPublisher: Send + Sync {
    /// Starts to stage and activate a version under the run's fencing token; returns at once.
    fn publish(&self, run: &RunRecord, version: WeightVersion, fence: u64);
}

/// Learns how a run fares, for the service-level report.
pub trait RunObserver: Send + Sync {
    /// Samples within the staleness bound were stored for delivery.
    fn delivered(&self, run: &ObjectName, samples: usize);

    /// A finished sample was discarded because it was too old.
    fn discarded_stale(&self, run: &ObjectName);

    /// A step became whole, before its deadline or after it.
    fn step_completed(&self, run: &ObjectName, on_time: bool);
}

/// The lease under which a run is owned.
pub trait OwnerLease: Send + Sync {
    /// Returns the fencing token if the lease is held now.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if it is not held or too near its expiry.
    fn fence(&self) -> Result<u64, ServiceError>;
}

impl OwnerLease for catkindeck_store::LeaseHolder {
    fn fence(&self) -> Result<u64, ServiceError> {
        self.check().map(|proof| proof.number)
    }
}

/// Returns the name of the lease of a run.
pub fn lease_name(run: &ObjectName) -> String {
    format!("run/{run}")
}
