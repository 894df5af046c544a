//! Interfaces between a run's owner and the rest of the process.

use catkindeck::{
    ServiceError,
    config::RunRecord,
    id::{ObjectName, RequestId},
    message::{SampleId, SampleRecord},
    token::WeightVersion,
};

/// A sample to generate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SampleRequest {
    /// The ID of this attempt.
    pub request: RequestId,
    pub run: RunRecord,
    pub id: SampleId,
    pub prompt: String,
    /// The maximum number of tokens of the sample.
    pub max_tokens: u32,
    /// The priority among the samples.
    pub priority: u8,
    /// The time left until the step's deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Generates samples on upstreams. The entry implements it with its regular request path.
pub trait SampleRunner: Send + Sync {
    /// Generates one sample and returns it when it is complete.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt. The sample may then be generated again, because no
    /// part of it was accepted.
    fn generate(&self, request: &SampleRequest) -> Result<SampleRecord, ServiceError>;

    /// Cancels an attempt whose sample was completed by another attempt.
    fn cancel(&self, request: RequestId);

    /// Collects the completed samples that agents retain for a step.
    fn collect(&self, run: &RunRecord, step: u64) -> Vec<SampleRecord>;

    /// Notifies the agents that they may drop samples that the trainer acknowledged.
    fn release(&self, run: &RunRecord, samples: &[SampleId]);
}

/// Publishes new weights to the upstreams of a run's service.
pub trait WeightPublisher: Send + Sync {
    /// Starts to stage and activate a version under the run's fencing token, and returns
    /// immediately.
    fn publish(&self, run: &RunRecord, version: WeightVersion, fence: u64);
}

/// Receives events of a run for the service-level report.
pub trait RunObserver: Send + Sync {
    /// Called when samples within the staleness bound were stored for delivery.
    fn on_delivered(&self, run: &ObjectName, samples: usize);

    /// Called when a finished sample was discarded because its weights were too old.
    fn on_stale_discarded(&self, run: &ObjectName);

    /// Called when a step is complete; `on_time` tells whether that was before its deadline.
    fn on_step_completed(&self, run: &ObjectName, on_time: bool);
}

pub trait OwnerLease: Send + Sync {
    /// Returns the fencing token of the lease.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if the lease is not held or is too close to its expiry.
    fn fence(&self) -> Result<u64, ServiceError>;
}

impl OwnerLease for catkindeck_store::LeaseHolder {
    fn fence(&self) -> Result<u64, ServiceError> {
        self.check().map(|proof| proof.number)
    }
}

pub fn lease_name(run: &ObjectName) -> String {
    format!("run/{run}")
}
