//! One attempt: a request at one agent.

use {
    super::{
        ResponseValidator, ResponseSink, CheckedFrame, ForwardWork, RequestForwarder, StopCause,
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

/// How often an attempt looks whether its caller left or its key was revoked.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// The agent that gets an attempt.
#[derive(Debug, Clone)]
pub(super) struct AttemptTarget {
    pub(super) upstream: ObjectName,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Option<IncarnationId>,
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The answer is whole.
    Finished(Box<ExecutionRecord>),
    /// The attempt failed; `incarnation` is the one that may have run the request.
    Failed {
        error: ServiceError,
        crashed: bool,
        incarnation: Option<IncarnationId>,
    },
    /// This entry gave the attempt up.
    Stopped {
        cause: StopCause,
        incarnation: Option<IncarnationId>,
    },
}

impl RequestForwarder {
    /// Sends the request to `target` and passes its answer on.
    pub(super) fn attempt(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        history: &mut AttemptHistory,
        sink: &mut dyn ResponseSink,
    ) -> AttemptOutcome {
        self.with_router(|router| router.sent(&target.upstream));
        let end = self.run_attempt(work, target, history, sink);
        self.with_router(|router| router.answered(&target.upstream));
        end
    }

    fn run_attempt(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        history: &mut AttemptHistory,
        sink: &mut dyn ResponseSink,
    ) -> AttemptOutcome {
        let mut incarnation = target.incarnation;
        let failed = |error, incarnation| AttemptOutcome::Failed {
            error,
            crashed: false,
            incarnation,
        };
        let mut stream = match self.open_stream(work, target, history) {
            Ok(stream) => stream,
            Err(error) => return failed(error, incarnation),
        };
        let mut check = ResponseValidator::new(work);
        let mut seen = None;
        loop {
            if let Some(cause) = self.find_stop_cause(work, &mut seen, sink) {
                return AttemptOutcome::Stopped { cause, incarnation };
            }
            let wait = WATCH_INTERVAL.min(self.remaining(work));
            let frame = match stream.receive(wait) {
                Ok(Some(frame)) => frame,
                Err(error) if error.kind == ErrorKind::DeadlineExceeded => continue,
                Ok(None) => {
                    let detail = "the agent ended its answer before it was whole";
                    let error = ServiceError::unknown(ErrorKind::PeerUnavailable, detail);
                    return failed(error, incarnation);
                }
                Err(error) => {
                    self.mark_unreachable(&target.upstream);
                    return failed(error, incarnation);
                }
            };
            let is_failure = matches!(frame, PeerFrame::Failed(_));
            let checked = match check.accept(frame) {
                Ok(checked) => checked,
                Err(error) => {
                    if !is_failure {
                        log_event!(self.logger(), ANSWER_REJECTED; "request" => %work.request,
                            "upstream" => %target.upstream, "fault" => &error.detail);
                    }
                    return failed(error, incarnation);
                }
            };
            match checked {
                CheckedFrame::Started(started) => incarnation = Some(started),
                CheckedFrame::Head(status, headers) => sink.head(status, headers),
                CheckedFrame::Chunk {
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
                CheckedFrame::Finished(record, load) => {
                    self.observe(&target.upstream, &load);
                    return AttemptOutcome::Finished(record);
                }
                CheckedFrame::Refused {
                    error,
                    crashed,
                    load,
                } => {
                    self.observe(&target.upstream, &load);
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
        let remaining = self.remaining(work);
        let message = build_message(work, target, remaining, history)?;
        let timeout = self.limits().call_timeout.min(remaining);
        let stream = self.link().call(target.address, message, timeout);
        stream.inspect_err(|_| self.mark_unreachable(&target.upstream))
    }

    /// Tells whether this entry must give the request up now.
    ///
    /// `seen` is the configuration in which the key was last found; the key is looked up again only
    /// when another one is in use. It starts empty, because the key may have been revoked between
    /// the authentication and the attempt.
    pub(super) fn find_stop_cause(
        &self,
        work: &ForwardWork,
        seen: &mut Option<Arc<ConfigSnapshot>>,
        sink: &dyn ResponseSink,
    ) -> Option<StopCause> {
        if sink.is_disconnected() {
            return Some(StopCause::CallerDisconnected);
        }
        let current = self.source().current();
        if !seen
            .as_ref()
            .is_some_and(|seen| Arc::ptr_eq(&current, seen))
        {
            if let Some(identity) = &work.identity
                && let Some(digest) = &identity.digest
            {
                let key = current.key(digest);
                if key.is_none_or(|key| key.customer != identity.customer) {
                    return Some(StopCause::KeyRevoked);
                }
            }
            *seen = Some(current);
        }
        self.remaining(work)
            .is_zero()
            .then_some(StopCause::Deadline)
    }
}

/// Builds the message of one attempt; a completion that was cut goes on from its tokens.
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
                detail: "the answer was cut within a character and cannot go on".to_owned(),
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
