//! A request with retries and hedging.

use {
    super::attempt::{AttemptOutcome, UpstreamResponse, attempt},
    crate::{
        caller_handler::AdmittedRequest,
        core::GatewayCore,
        events::{ATTEMPT_FAILED, ATTEMPT_HEDGED, HEDGE_WITHHELD, RETRY_WITHHELD},
        upstream_guard::UpstreamGuard,
        watched_run::{RunEnd, WatchedRun},
    },
    bytes::Bytes,
    catkindeck::{ErrorKind, ServiceError, id::ObjectName, log_event},
    catkindeck_net::LocalFuture,
    catkindeck_policy::direct::UpstreamKey,
    http::{Request, StatusCode},
    std::{future::poll_fn, rc::Rc, task::Poll, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// The number of upstreams that may refuse a request without running it; these do not count as attempts.
const REFUSAL_LIMIT: usize = 4;

/// The pause before a withheld hedge is considered again. A place of a busy upstream becomes free in
/// about this time.
const WITHHELD_HEDGE_PAUSE: Duration = Duration::from_millis(25);

/// The options of a [`HedgedCall`].
#[derive(Debug, Clone)]
pub struct CallOptions {
    pub id: String,
    pub service: ObjectName,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The number of upstreams that may run the request.
    pub attempts: u32,
    /// When the response must be available.
    pub expires: Instant,
    /// The time after which an idempotent request is also sent to a second upstream.
    pub hedge_after: Option<Duration>,
}

pub enum CallOutcome {
    Answered(Box<UpstreamResponse>),
    /// No upstream answered; the error states whether the request may have run.
    Failed(ServiceError),
}

pub struct CallReport {
    pub outcome: CallOutcome,
    /// The number of responses in which an upstream states a failure of its own. Responses of
    /// upstreams that ran out of time do not count.
    pub failures: u32,
    /// The run of a response of which the rest is still to come.
    pub run: Option<WatchedRun>,
}

/// Builds the request for one attempt from the upstream and the remaining time.
pub type RequestBuilder<'a> =
    &'a dyn Fn(&ObjectName, Duration) -> Result<Request<Bytes>, ServiceError>;

struct RunningAttempt {
    upstream: ObjectName,
    outcome: LocalFuture<'static, AttemptOutcome>,
    /// Watches the run of a caller's request.
    run: Option<WatchedRun>,
}

/// A request that is sent to upstreams with retries and, if it is idempotent, hedging.
pub struct HedgedCall<'a> {
    core: &'a Rc<GatewayCore>,
    options: CallOptions,
    builder: RequestBuilder<'a>,
    excluded: Vec<UpstreamKey>,
    running: Vec<RunningAttempt>,
    started: u32,
    refusals: usize,
    failures: u32,
    refused: Option<ServiceError>,
    unknown: Option<String>,
    failure: Option<Box<UpstreamResponse>>,
    /// Whether plain services are shared, so that hedges and retries need places and a budget.
    is_paced: bool,
    /// The time between two hedges.
    hedge_interval: Duration,
    is_hedge_withheld: bool,
    /// The caller's request, whose runs are watched for upstreams that crash; `None` for scorer calls, which are
    /// owed.
    watched: Option<&'a Rc<AdmittedRequest>>,
    /// Whether a connection of this call broke, which may have been a crash.
    is_broken: bool,
    /// The run of a response of which the rest is still to come.
    open_run: Option<WatchedRun>,
}

impl<'a> HedgedCall<'a> {
    pub fn new(
        core: &'a Rc<GatewayCore>,
        options: CallOptions,
        builder: RequestBuilder<'a>,
    ) -> Self {
        let is_paced = core.shares_plain_room();
        if is_paced {
            core.fund_duplicates(&options.service);
        }
        Self {
            core,
            is_paced,
            hedge_interval: options.hedge_after.unwrap_or_default(),
            is_hedge_withheld: false,
            watched: None,
            is_broken: false,
            open_run: None,
            options,
            builder,
            excluded: Vec::new(),
            running: Vec::new(),
            started: 0,
            refusals: 0,
            failures: 0,
            refused: None,
            unknown: None,
            failure: None,
        }
    }

    /// Watches the runs of a caller's request for upstreams that crash under it.
    pub fn watching(self, request: &'a Rc<AdmittedRequest>) -> Self {
        Self {
            watched: Some(request),
            ..self
        }
    }

    /// Makes attempts until one is answered, none is left, or the time is up.
    pub async fn run(mut self) -> CallReport {
        let outcome = self.run_attempts().await;
        CallReport {
            outcome,
            failures: self.failures,
            run: self.open_run.take(),
        }
    }

    async fn run_attempts(&mut self) -> CallOutcome {
        let mut hedge_at = self.options.hedge_after.map(|after| Instant::now() + after);
        loop {
            if self.running.is_empty()
                && let Some(outcome) = self.start_next().await
            {
                return outcome;
            }
            let expires = self.options.expires;
            let hedge = hedge_at.unwrap_or(expires + Duration::from_secs(1));
            let ended = tokio::select! {
                ended = next_outcome(&mut self.running) => ended,
                () = sleep_until(expires) => return self.expired_outcome(),
                () = sleep_until(hedge) => {
                    hedge_at = self.hedge();
                    continue;
                }
            };
            if let Some(outcome) = self.handle_outcome(ended) {
                return outcome;
            }
        }
    }

    /// Starts an attempt, or returns the outcome of the request if no attempt is possible.
    async fn start_next(&mut self) -> Option<CallOutcome> {
        let no_attempt_left =
            self.started >= self.options.attempts || self.refusals > REFUSAL_LIMIT;
        let may_run = self.unknown.is_none() || self.options.idempotent;
        if no_attempt_left || !may_run || !self.may_retry() {
            return Some(self.exhausted_outcome());
        }
        if let Some(request) = self.watched {
            self.core.await_turn(request).await;
        }
        let is_first = self.started == 0 && self.refusals == 0;
        let service = &self.options.service;
        if self.is_paced && is_first && self.core.is_hopeless(service, self.options.expires) {
            return Some(self.exhausted_outcome());
        }
        let until = self.core.permit_deadline(self.options.expires);
        loop {
            if let Some(request) = self.watched
                && let Err(error) = self.core.admit_run(request)
            {
                self.refused = Some(error);
                return Some(self.exhausted_outcome());
            }
            if self.start_attempt() {
                return None;
            }
            // All upstreams may be limited, with a permit under way.
            let service = &self.options.service;
            if self.refused.is_some() || !self.core.await_permit(service, until).await {
                return Some(self.exhausted_outcome());
            }
        }
    }

    /// Returns whether another attempt may start. If an earlier one may still be running, it is a
    /// duplicate, of which each service gets only a share.
    fn may_retry(&self) -> bool {
        if !self.is_paced
            || self.unknown.is_none()
            || self.core.spend_duplicate(&self.options.service)
        {
            return true;
        }
        self.core.metrics.room.retries_withheld.inc();
        log_event!(self.core.logger, RETRY_WITHHELD;
            "request" => &self.options.id, "service" => %self.options.service,
            "attempts" => self.started);
        false
    }

    fn start_attempt(&mut self) -> bool {
        let now = Instant::now();
        let left = self.options.expires.saturating_duration_since(now);
        let guard =
            UpstreamGuard::acquire_plain(self.core, &self.options.service, None, &self.excluded);
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
        guard.start_timing();
        let core = Rc::clone(self.core);
        let id = self.options.id.clone();
        // If the upstream has just closed a pooled connection, it is unknown whether the request ran. A
        // request that must not be repeated therefore uses a new connection.
        // A new connection also shows that the upstream lives when a suspected request is sent.
        let fresh = !self.options.idempotent || self.is_crash_suspected();
        let upstream = guard.id.clone();
        let run = self
            .watched
            .map(|request| WatchedRun::new(self.core, request, &guard, fresh));
        let outcome = Box::pin(attempt(core, guard, request, id, fresh));
        self.running.push(RunningAttempt {
            upstream,
            outcome,
            run,
        });
        true
    }

    /// Sends the request to a second upstream, because the first is slow. Returns when to consider
    /// another hedge.
    fn hedge(&mut self) -> Option<Instant> {
        if !self.options.idempotent
            || self.started >= self.options.attempts
            || self.is_crash_suspected()
        {
            return None;
        }
        if self.is_paced && !self.has_room_for_hedge() {
            return Some(Instant::now() + WITHHELD_HEDGE_PAUSE);
        }
        if self.start_attempt() {
            self.core.metrics.hedges.inc();
            log_event!(self.core.logger, ATTEMPT_HEDGED;
                "request" => &self.options.id, "service" => %self.options.service,
                "attempts" => self.started);
        }
        // The first hedge may be lost as well.
        self.hedge_interval *= 2;
        self.is_paced.then(|| Instant::now() + self.hedge_interval)
    }

    /// Returns whether the request may crash the upstreams that run it. Then it runs at one at a time.
    fn is_crash_suspected(&self) -> bool {
        let watched = self.watched;
        watched.is_some_and(|request| self.is_broken || self.core.is_crash_suspected(request))
    }

    /// Returns whether an upstream that is not slow has a free place, and the budget allows a hedge.
    fn has_room_for_hedge(&mut self) -> bool {
        let service = &self.options.service;
        let now = self.core.now();
        let places = {
            let roster = self.core.roster.borrow();
            roster.plain_places(now, service, &self.excluded)
        };
        if places.spare > 0 && self.core.spend_duplicate(service) {
            return true;
        }
        if !self.is_hedge_withheld {
            self.is_hedge_withheld = true;
            self.core.metrics.room.hedges_withheld.inc();
            log_event!(self.core.logger, HEDGE_WITHHELD;
                "request" => &self.options.id, "service" => %service,
                "spare" => places.spare, "places" => places.total);
        }
        false
    }

    /// Handles the outcome of one attempt, and returns the outcome of the request if it is final.
    fn handle_outcome(
        &mut self,
        (attempt, outcome): (RunningAttempt, AttemptOutcome),
    ) -> Option<CallOutcome> {
        let upstream = attempt.upstream;
        let is_partial =
            matches!(&outcome, AttemptOutcome::Answered(response) if response.rest.is_some());
        match is_partial {
            true => self.open_run = attempt.run,
            false => record_end(attempt.run, &outcome),
        }
        match outcome {
            AttemptOutcome::Answered(response) => {
                if let Some(request) = self.watched
                    && !is_partial
                {
                    let status = response.head.status;
                    self.core.record_answered_run(request, &upstream, status);
                }
                let failed = response.head.status.is_server_error();
                if !failed {
                    // The other runs are cancelled, and their request does not crash upstreams.
                    for other in self.running.drain(..) {
                        other.run.into_iter().for_each(WatchedRun::settle);
                    }
                }
                if !failed || !self.options.idempotent {
                    return Some(CallOutcome::Answered(response));
                }
                // A server error is passed on only if no other upstream responds without one.
                self.open_run
                    .take()
                    .into_iter()
                    .for_each(WatchedRun::settle);
                response.guard.record_refusal(0);
                let is_failure = response.head.status == StatusCode::INTERNAL_SERVER_ERROR;
                self.failures += u32::from(is_failure);
                self.log_failure(&upstream, response.head.status.as_str(), "failed");
                self.failure = Some(response);
            }
            AttemptOutcome::NotRun(detail) => {
                self.log_failure(&upstream, &detail, "not_run");
                self.refusals += 1;
                self.started -= 1;
            }
            // The upstream is not selected again, so there are at most as many of these as upstreams.
            AttemptOutcome::Withheld(detail) => {
                self.log_failure(&upstream, &detail, "withheld");
                self.started -= 1;
            }
            AttemptOutcome::Unknown(detail) => {
                self.log_failure(&upstream, &detail, "unknown");
                self.unknown = Some(detail);
            }
            AttemptOutcome::Broken(detail) => {
                self.is_broken = true;
                self.log_failure(&upstream, &detail, "unknown");
                self.unknown = Some(detail);
            }
        }
        None
    }

    fn log_failure(&self, upstream: &ObjectName, detail: &str, outcome: &str) {
        self.core.metrics.attempt_failures.inc();
        log_event!(self.core.logger, ATTEMPT_FAILED;
            "request" => &self.options.id, "service" => %self.options.service,
            "upstream" => %upstream, "outcome" => outcome, "detail" => detail, "attempts" => self.started);
    }

    fn exhausted_outcome(&mut self) -> CallOutcome {
        if let Some(response) = self.failure.take() {
            return CallOutcome::Answered(response);
        }
        CallOutcome::Failed(match (self.unknown.take(), self.refused.take()) {
            (Some(detail), _) => ServiceError::unknown(ErrorKind::UpstreamFailed, detail),
            (None, Some(error)) => error,
            (None, None) => ServiceError::not_run(
                ErrorKind::NoUpstream,
                "no upstream of the service can take the request now",
            ),
        })
    }

    fn expired_outcome(&mut self) -> CallOutcome {
        for attempt in &self.running {
            self.log_failure(
                &attempt.upstream,
                "no response before the deadline",
                "unknown",
            );
        }
        if let Some(response) = self.failure.take() {
            return CallOutcome::Answered(response);
        }
        let detail = "no upstream answered before the deadline";
        CallOutcome::Failed(ServiceError::unknown(ErrorKind::DeadlineExceeded, detail))
    }
}

/// Ends the watch of a run by the outcome of its attempt.
fn record_end(run: Option<WatchedRun>, outcome: &AttemptOutcome) {
    let Some(run) = run else { return };
    match outcome {
        AttemptOutcome::Answered(_) | AttemptOutcome::NotRun(_) | AttemptOutcome::Withheld(_) => {
            run.settle();
        }
        AttemptOutcome::Unknown(_) => run.end(RunEnd::Incomplete),
        AttemptOutcome::Broken(_) => run.end(RunEnd::Broken),
    }
}

/// Waits for the first attempt to end and removes it from the list.
async fn next_outcome(running: &mut Vec<RunningAttempt>) -> (RunningAttempt, AttemptOutcome) {
    poll_fn(|context| {
        for index in 0..running.len() {
            if let Poll::Ready(outcome) = running[index].outcome.as_mut().poll(context) {
                return Poll::Ready((running.swap_remove(index), outcome));
            }
        }
        Poll::Pending
    })
    .await
}
