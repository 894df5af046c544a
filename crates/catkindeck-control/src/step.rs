//! Interface between the trainers' endpoints and the owners of training runs.

use catkindeck::message::{StepAnswer, StepRequest};

/// The name under which the [`StepService`] is registered in the kernel.
pub const STEP_SERVICE: &str = "step-service";

/// Handles trainers' requests, either on this entry or by forwarding them to the entry that owns
/// the run.
pub trait StepService: Send + Sync {
    /// Handles a request that a trainer sent over HTTP. If another entry owns the run, forwards it.
    fn handle(&self, request: StepRequest) -> StepAnswer;

    /// Handles a request that another entry forwarded. If this entry does not own the run, refuses
    /// it with `fenced`, so that no request is forwarded twice.
    fn handle_forwarded(&self, request: StepRequest) -> StepAnswer;
}
