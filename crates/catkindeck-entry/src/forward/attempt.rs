//! One attempt: sending a request to one agent and passing the response on.

use {
    super::{
        ForwardWork, RequestForwarder, ResponseSink, ResponseValidator, StopCause, ValidatedFrame,
        history::AttemptHistory,
    },
    crate::events::ANSWER_REJECTED,
    catkindeck::{
        ErrorKind, ExecutionOutcome, ServiceError,
        config::ConfigSnapshot,
        id::{IncarnationId, ObjectName},
        link::FrameStream,
        log_event,
        message::{ExecuteRequest, ExecutionRecord, PeerFrame, PeerRequest, WorkBody},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The interval at which an attempt checks whether the caller disconnected or its key was revoked.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The agent that an attempt is sent to.
#[derive(Debug, Clone)]
pub(super) struct AttemptTarget {
    pub(super) upstream: ObjectName,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Option<IncarnationId>,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The response is complete.
    Finished(Box<ExecutionRecord>),
    /// The attempt failed; `incarnation` is the agent process that may have run the request.
    Failed {
        error: ServiceError,
        crashed: bool,
        incarnation: Option<IncarnationId>,
    },
    /// This entry stopped the attempt.
    Stopped {
        cause: StopCause,
        incarnation: Option<IncarnationId>,
    },
}

impl RequestForwarder {
    /// Sends the request to `target` and passes the response on to `sink`.
    pub(super) fn attempt(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        history: &mut AttemptHistory,
        sink: &mut dyn ResponseSink,
    ) -> AttemptOutcome {
        self.with_router(|router| router.record_sent(&target.upstream));
        let outcome = self.run_attempt(work, target, history, sink);
        self.with_router(|router| router.record_end(&target.upstream));
        outcome
    }

    fn run_attempt(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        history: &mut AttemptHistory,
        sink: &mut dyn ResponseSink,
    ) -> AttemptOutcome {
        let mut incarnation = target.incarnation;
        let failed_outcome = |error, incarnation| AttemptOutcome::Failed {
            error,
            crashed: false,
            incarnation,
        };
        let mut stream = match self.open_stream(work, target, history) {
            Ok(stream) => stream,
            Err(error) => return failed_outcome(error, incarnation),
        };
        let mut validator = ResponseValidator::new(work);
        let mut checked_snapshot = None;
        loop {
            if let Some(cause) = self.find_stop_cause(work, &mut checked_snapshot, sink) {
                return AttemptOutcome::Stopped { cause, incarnation };
            }
            let timeout = STOP_CHECK_INTERVAL.min(self.remaining_time(work));
            let frame = match stream.receive(timeout) {
                Ok(Some(frame)) => frame,
                Err(error) if error.kind == ErrorKind::DeadlineExceeded => continue,
                Ok(None) => {
                    let detail = "the agent ended the stream before the response was complete";
                    let error = ServiceError::unknown(ErrorKind::PeerUnavailable, detail);
                    return failed_outcome(error, incarnation);
                }
                Err(error) => {
                    self.mark_unreachable(&target.upstream);
                    return failed_outcome(error, incarnation);
                }
            };
            let is_failure = matches!(frame, PeerFrame::Failed(_));
            let validated_frame = match validator.validate(frame) {
                Ok(validated_frame) => validated_frame,
                Err(error) => {
                    if !is_failure {
                        log_event!(self.logger(), ANSWER_REJECTED; "request" => %work.request,
                            "upstream" => %target.upstream, "fault" => &error.detail);
                    }
                    return failed_outcome(error, incarnation);
                }
            };
            match validated_frame {
                ValidatedFrame::Started(started) => incarnation = Some(started),
                ValidatedFrame::Head(status, headers) => sink.head(status, headers),
                ValidatedFrame::Chunk {
                    bytes,
                    tokens,
                    version,
                } => {
                    history.progress.push(&bytes, tokens, version);
                    if sink.bytes(&bytes).is_err() {
                        let cause = StopCause::CallerDisconnected;
                        return AttemptOutcome::Stopped { cause, incarnation };
                    }
                }
                ValidatedFrame::Finished(record, load) => {
                    self.record_load_report(&target.upstream, &load);
                    return AttemptOutcome::Finished(record);
                }
                ValidatedFrame::Refused {
                    error,
                    crashed,
                    load,
                } => {
                    self.record_load_report(&target.upstream, &load);
                    return AttemptOutcome::Failed {
                        error,
                        crashed,
                        incarnation,
                    };
                }
            }
        }
    }

    fn open_stream(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        history: &AttemptHistory,
    ) -> Result<Box<dyn FrameStream>, ServiceError> {
        let remaining = self.remaining_time(work);
        let message = build_message(work, target, remaining, history)?;
        let timeout = self.limits().call_timeout.min(remaining);
        let stream = self.link().call(target.address, message, timeout);
        stream.inspect_err(|_| self.mark_unreachable(&target.upstream))
    }

    /// Returns why this entry must stop the request now, or `None` to continue.
    ///
    /// `checked_snapshot` is the configuration in which the key was last found; the key is looked up
    /// again only when the configuration has changed. It starts as `None`, because the key may have
    /// been revoked between authentication and the attempt.
    pub(super) fn find_stop_cause(
        &self,
        work: &ForwardWork,
        checked_snapshot: &mut Option<Arc<ConfigSnapshot>>,
        sink: &dyn ResponseSink,
    ) -> Option<StopCause> {
        if sink.is_disconnected() {
            return Some(StopCause::CallerDisconnected);
        }
        let current = self.source().current();
        if !checked_snapshot
            .as_ref()
            .is_some_and(|checked_snapshot| Arc::ptr_eq(&current, checked_snapshot))
        {
            if let Some(identity) = &work.identity
                && let Some(digest) = &identity.digest
            {
                let key = current.key(digest);
                if key.is_none_or(|key| key.customer != identity.customer) {
                    return Some(StopCause::KeyRevoked);
                }
            }
            *checked_snapshot = Some(current);
        }
        self.remaining_time(work)
            .is_zero()
            .then_some(StopCause::Deadline)
    }
}

/// Builds the message of one attempt; an interrupted completion resumes after its delivered tokens.
fn build_message(
    work: &ForwardWork,
    target: &AttemptTarget,
    remaining: Duration,
    history: &AttemptHistory,
) -> Result<PeerRequest, ServiceError> {
    let body = match &work.body {
        WorkBody::Completion(body) if history.progress.is_started() => {
            let resumed = history.progress.resume(body).ok_or_else(|| ServiceError {
                kind: ErrorKind::UpstreamFailed,
                execution: ExecutionOutcome::Unknown,
                detail:
                    "the response was cut off in the middle of a UTF-8 character and cannot be \
                         resumed"
                        .to_owned(),
            })?;
            WorkBody::Completion(resumed)
        }
        body => body.clone(),
    };
    Ok(PeerRequest::Execute(Box::new(ExecuteRequest {
        request: work.request,
        incarnation: target.incarnation,
        customer: work.customer().cloned(),
        route: work.route.name.clone(),
        service: work.route.service.clone(),
        class: work.class,
        priority: work.priority,
        attempt: history.attempt,
        deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        idempotent: work.route.idempotent,
        idempotency_key: work.idempotency_key.clone(),
        digest: work.digest,
        sample: work.sample.clone(),
        body,
    })))
}
