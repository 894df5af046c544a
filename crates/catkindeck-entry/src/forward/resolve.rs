//! Resolving unknown outcomes, and cancelling or revoking abandoned requests.

use {
    super::{ForwardWork, RequestForwarder, attempt::AttemptTarget},
    crate::events::{OUTCOME_RESOLVED, OUTCOME_UNKNOWN},
    catkindeck::{
        ErrorKind, ExecutionOutcome, ServiceError,
        id::IncarnationId,
        log_event,
        message::{ExecutionRecord, ExecutionState, PeerFrame, PeerRequest},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// The outcome of a failed attempt, as resolved with its agent.
#[derive(Debug)]
pub(super) enum ResolvedOutcome {
    /// The request finished and its response is stored.
    Finished(Box<ExecutionRecord>),
    /// The request failed; the error carries what is proved about the execution.
    Failed(ServiceError),
}

impl RequestForwarder {
    /// Resolves an unknown outcome by revoking the request (`docs/design.md`, decision 3).
    ///
    /// The outcome of idempotent work is not resolved, because it may be retried in any case.
    pub(super) fn resolve(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        incarnation: Option<IncarnationId>,
        error: ServiceError,
    ) -> ResolvedOutcome {
        let is_known = error.execution != ExecutionOutcome::Unknown;
        if is_known || work.route.idempotent {
            return ResolvedOutcome::Failed(error);
        }
        let Some(incarnation) = incarnation else {
            return ResolvedOutcome::Failed(error);
        };
        let resolution = match self.revoke(work, target.address, incarnation) {
            Ok(PeerFrame::Revoked { request }) if request == work.request => {
                self.resolve_revoked_request(work, target, error)
            }
            Ok(PeerFrame::Execution(Some(record))) if record.request == work.request => {
                classify_record(record, error)
            }
            _ => ResolvedOutcome::Failed(error),
        };
        match &resolution {
            ResolvedOutcome::Failed(error) if error.execution == ExecutionOutcome::Unknown => {
                log_event!(self.logger(), OUTCOME_UNKNOWN; "request" => %work.request,
                    "upstream" => %target.upstream);
            }
            _ => {
                log_event!(self.logger(), OUTCOME_RESOLVED; "request" => %work.request,
                    "upstream" => %target.upstream);
            }
        }
        resolution
    }

    /// Resolves the outcome of a request that was revoked before it started.
    ///
    /// The revocation proves nothing about an earlier request with the same idempotency key, which
    /// may be running or may have run under another request id.
    fn resolve_revoked_request(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        error: ServiceError,
    ) -> ResolvedOutcome {
        let not_run = |error: ServiceError| {
            ResolvedOutcome::Failed(ServiceError::not_run(error.kind, error.detail))
        };
        let Some(idempotency_key) = work.idempotency_key.clone() else {
            return not_run(error);
        };
        let lookup = PeerRequest::FindExecution {
            customer: work.customer().cloned(),
            route: work.route.name.clone(),
            idempotency_key,
            forbid_start: false,
        };
        match self.call_agent(target.address, lookup) {
            Ok(PeerFrame::Execution(None)) => not_run(error),
            Ok(PeerFrame::Execution(Some(record))) if record.digest == work.digest => {
                classify_record(record, error)
            }
            _ => ResolvedOutcome::Failed(error),
        }
    }

    /// Cancels or revokes a request that this entry abandoned, and returns what is proved about it.
    ///
    /// Idempotent work is cancelled. Other work is revoked if it has not started; otherwise the
    /// agent finishes it and keeps the record (`docs/design.md`, section 7).
    pub(super) fn cancel_or_revoke(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        incarnation: Option<IncarnationId>,
    ) -> ExecutionOutcome {
        if work.route.idempotent {
            let cancel = PeerRequest::Cancel {
                request: work.request,
            };
            // An error is ignored: the agent also cancels the request when the stream is reset, and
            // until then only some tokens are wasted.
            let _ = self.call_agent(target.address, cancel);
            return ExecutionOutcome::Unknown;
        }
        // Queued work must not start for a caller that has disconnected.
        let Some(incarnation) = incarnation else {
            return ExecutionOutcome::Unknown;
        };
        match self.revoke(work, target.address, incarnation) {
            // An earlier request with the same key may have run under another request id.
            Ok(PeerFrame::Revoked { .. }) if work.idempotency_key.is_some() => {
                ExecutionOutcome::Unknown
            }
            Ok(PeerFrame::Revoked { request }) if request == work.request => {
                ExecutionOutcome::NotRun
            }
            Ok(PeerFrame::Execution(Some(record))) if record.request == work.request => {
                record.outcome()
            }
            _ => ExecutionOutcome::Unknown,
        }
    }

    /// Calls an agent and returns the first frame of its response.
    pub(super) fn call_agent(
        &self,
        address: SocketAddr,
        request: PeerRequest,
    ) -> Result<PeerFrame, ServiceError> {
        let deadline = Instant::now() + self.limits().resolve_timeout;
        let timeout = self.limits().resolve_timeout;
        let mut stream = self.link().call(address, request, timeout)?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        // A response that has already arrived is accepted even if the call used up the timeout.
        let frame = stream.receive(remaining.max(Duration::from_millis(1)))?;
        match frame {
            Some(PeerFrame::Failed(error)) => Err(error),
            Some(frame) => Ok(frame),
            None => Err(ServiceError::unknown(
                ErrorKind::PeerUnavailable,
                "the agent closed the stream without a frame",
            )),
        }
    }

    fn revoke(
        &self,
        work: &ForwardWork,
        address: SocketAddr,
        incarnation: IncarnationId,
    ) -> Result<PeerFrame, ServiceError> {
        let request = PeerRequest::Revoke {
            request: work.request,
            incarnation,
        };
        self.call_agent(address, request)
    }
}

/// Derives the resolution from the agent's record of a request whose response was lost.
fn classify_record(record: Box<ExecutionRecord>, error: ServiceError) -> ResolvedOutcome {
    match record.state {
        ExecutionState::Forbidden => {
            ResolvedOutcome::Failed(ServiceError::not_run(error.kind, error.detail))
        }
        ExecutionState::Finished if record.answer_kept => ResolvedOutcome::Finished(record),
        ExecutionState::Finished => ResolvedOutcome::Failed(ServiceError {
            kind: ErrorKind::OutcomeUnknown,
            execution: ExecutionOutcome::Finished,
            detail: format!(
                "the request ran, but its response was lost: {}",
                error.detail
            ),
        }),
        ExecutionState::Queued | ExecutionState::Running | ExecutionState::Failed => {
            ResolvedOutcome::Failed(error)
        }
    }
}
