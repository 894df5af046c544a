//! A request with all its attempts.

use {
    super::attempt::{AttemptOutcome, UpstreamAnswer, attempt},
    crate::{
        core::GatewayCore,
        events::{ATTEMPT_FAILED, ATTEMPT_HEDGED},
        upstream_guard::UpstreamGuard,
    },
    bytes::Bytes,
    catkindeck::{ErrorKind, ServiceError, id::ObjectName, log_event},
    catkindeck_net::LocalFuture,
    catkindeck_policy::direct::UpstreamKey,
    http::Request,
    std::{future::poll_fn, rc::Rc, task::Poll, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// The upstreams that may refuse a request without running it, beyond the attempts that run it.
const REFUSAL_LIMIT: usize = 4;

/// The terms of a request.
#[derive(Debug, Clone)]
pub struct CallTerms {
    /// The request's identity.
    pub id: String,
    /// The service.
    pub service: ObjectName,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The number of upstreams that may run it.
    pub attempts: u32,
    /// When the answer is of no use any more.
    pub expires: Instant,
    /// The time after which an idempotent request is also sent to a second upstream.
    pub hedge_after: Option<Duration>,
}

/// How a request ended.
pub enum CallOutcome {
    /// An upstream answered.
    Answered(Box<UpstreamAnswer>),
    /// There is no answer; the error says whether the request can have run.
    Failed(ServiceError),
}

/// How a request ended, and how often upstreams answered that its run failed.
pub struct CallReport {
    /// How the request ended.
    pub outcome: CallOutcome,
    /// The number of failures that upstreams answered.
    pub server_errors: u32,
}

/// Makes the request for one attempt, given the upstream and the time that is left.
pub type RequestBuilder<'a> =
    &'a dyn Fn(&ObjectName, Duration) -> Result<Request<Bytes>, ServiceError>;

/// An attempt that has not ended.
struct RunningAttempt {
    upstream: ObjectName,
    outcome: LocalFuture<'static, AttemptOutcome>,
}

/// A request that is being carried to upstreams.
pub struct PlainCall<'a> {
    core: &'a Rc<GatewayCore>,
    terms: CallTerms,
    builder: RequestBuilder<'a>,
    excluded: Vec<UpstreamKey>,
    running: Vec<RunningAttempt>,
    started: u32,
    refusals: usize,
    server_errors: u32,
    refused: Option<ServiceError>,
    unknown: Option<String>,
    failure: Option<Box<UpstreamAnswer>>,
}

impl<'a> PlainCall<'a> {
    /// Makes a request that was not sent yet.
    pub fn new(core: &'a Rc<GatewayCore>, terms: CallTerms, builder: RequestBuilder<'a>) -> Self {
        Self {
            core,
            terms,
            builder,
            excluded: Vec::new(),
            running: Vec::new(),
            started: 0,
            refusals: 0,
            server_errors: 0,
            refused: None,
            unknown: None,
            failure: None,
        }
    }

    /// Carries the request until it has an answer, no attempt is left, or its time is up.
    pub async fn run(mut self) -> CallReport {
        let outcome = self.drive().await;
        CallReport {
            outcome,
            server_errors: self.server_errors,
        }
    }

    async fn drive(&mut self) -> CallOutcome {
        let mut hedge_at = self.terms.hedge_after.map(|after| Instant::now() + after);
        loop {
            if self.running.is_empty()
                && let Some(outcome) = self.start_next()
            {
                return outcome;
            }
            let expires = self.terms.expires;
            let hedge = hedge_at.unwrap_or(expires + Duration::from_secs(1));
            let ended = tokio::select! {
                ended = next_outcome(&mut self.running) => ended,
                () = sleep_until(expires) => return self.expired_outcome(),
                () = sleep_until(hedge) => {
                    hedge_at = None;
                    self.hedge();
                    continue;
                }
            };
            if let Some(outcome) = self.handle_outcome(ended) {
                return outcome;
            }
        }
    }

    /// Starts an attempt, or returns the end if none is possible.
    fn start_next(&mut self) -> Option<CallOutcome> {
        let no_attempt_left = self.started >= self.terms.attempts || self.refusals > REFUSAL_LIMIT;
        let may_run = self.unknown.is_none() || self.terms.idempotent;
        if no_attempt_left || !may_run || !self.start_attempt() {
            return Some(self.exhausted_outcome());
        }
        None
    }

    fn start_attempt(&mut self) -> bool {
        let now = Instant::now();
        let left = self.terms.expires.saturating_duration_since(now);
        let guard = UpstreamGuard::acquire_plain(self.core, &self.terms.service, &self.excluded);
        let Some(guard) = guard.filter(|_| !left.is_zero()) else {
            return false;
        };
        self.excluded.push(guard.key);
        let request = match (self.builder)(&guard.id, left) {
            Ok(request) => request,
            Err(error) => {
                self.refused = Some(error);
                return false;
            }
        };
        self.started += 1;
        let core = Rc::clone(self.core);
        let id = self.terms.id.clone();
        // A kept connection that the upstream just closed would leave a request that must not be
        // repeated in doubt.
        let fresh = !self.terms.idempotent;
        let upstream = guard.id.clone();
        let outcome = Box::pin(attempt(core, guard, request, id, fresh));
        self.running.push(RunningAttempt { upstream, outcome });
        true
    }

    /// Sends the request to a second upstream, because the first is slow or silent.
    fn hedge(&mut self) {
        if !self.terms.idempotent || self.started >= self.terms.attempts {
            return;
        }
        if self.start_attempt() {
            self.core.metrics.hedges.inc();
            log_event!(self.core.logger, ATTEMPT_HEDGED;
                "request" => &self.terms.id, "service" => %self.terms.service,
                "attempts" => self.started);
        }
    }

    /// Takes the end of one attempt and returns the end of the request, if this is it.
    fn handle_outcome(
        &mut self,
        (upstream, outcome): (ObjectName, AttemptOutcome),
    ) -> Option<CallOutcome> {
        match outcome {
            AttemptOutcome::Answered(answer) => {
                let failed = answer.head.status.is_server_error();
                if !failed || !self.terms.idempotent {
                    return Some(CallOutcome::Answered(answer));
                }
                // The upstream's own failure is passed on only if no other upstream does better.
                answer.guard.record_refusal(0);
                self.server_errors += 1;
                self.log_failure(&upstream, answer.head.status.as_str(), "failed");
                self.failure = Some(answer);
            }
            AttemptOutcome::NotRun(detail) => {
                self.log_failure(&upstream, &detail, "not_run");
                self.refusals += 1;
                self.started -= 1;
            }
            AttemptOutcome::Unknown(detail) => {
                self.log_failure(&upstream, &detail, "unknown");
                self.unknown = Some(detail);
            }
        }
        None
    }

    fn log_failure(&self, upstream: &ObjectName, detail: &str, outcome: &str) {
        self.core.metrics.attempt_failures.inc();
        log_event!(self.core.logger, ATTEMPT_FAILED;
            "request" => &self.terms.id, "service" => %self.terms.service,
            "upstream" => %upstream, "outcome" => outcome, "detail" => detail, "attempts" => self.started);
    }

    fn exhausted_outcome(&mut self) -> CallOutcome {
        if let Some(answer) = self.failure.take() {
            return CallOutcome::Answered(answer);
        }
        CallOutcome::Failed(match (self.unknown.take(), self.refused.take()) {
            (Some(detail), _) => ServiceError::unknown(ErrorKind::UpstreamFailed, detail),
            (None, Some(error)) => error,
            (None, None) => ServiceError::not_run(
                ErrorKind::NoUpstream,
                "no upstream of the service takes this request now",
            ),
        })
    }

    fn expired_outcome(&mut self) -> CallOutcome {
        for attempt in &self.running {
            self.log_failure(&attempt.upstream, "no answer in time", "unknown");
        }
        if let Some(answer) = self.failure.take() {
            return CallOutcome::Answered(answer);
        }
        let detail = "no upstream answered in time";
        CallOutcome::Failed(ServiceError::unknown(ErrorKind::DeadlineExceeded, detail))
    }
}

/// Waits for the first of several attempts and takes it out.
async fn next_outcome(running: &mut Vec<RunningAttempt>) -> (ObjectName, AttemptOutcome) {
    poll_fn(|context| {
        for index in 0..running.len() {
            if let Poll::Ready(outcome) = running[index].outcome.as_mut().poll(context) {
                let attempt = running.swap_remove(index);
                return Poll::Ready((attempt.upstream, outcome));
            }
        }
        Poll::Pending
    })
    .await
}
