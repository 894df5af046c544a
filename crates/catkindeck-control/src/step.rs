//! The border between the trainers' endpoints and the owners of training runs.

use catkindeck::message::{StepAnswer, StepRequest};

/// The name under which the kernel holds the [`StepService`].
pub const STEP_SERVICE: &str = "step-service";

/// Answers trainers, on this entry or by forwarding to the entry that owns the run.
pub trait StepService: Send + Sync {
    /// Handles a request that came from a trainer over HTTP; forwards it if another entry owns the
    /// run.
    fn handle(&self, request: StepRequest) -> StepAnswer;

    /// Handles a request that another entry forwarded; refuses it with `fenced` if this entry
    /// does not own the run, so that requests are never forwarded twice.
    fn handle_forwarded(&self, request: StepRequest) -> StepAnswer;
}
