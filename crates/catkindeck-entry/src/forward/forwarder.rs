//! The forwarder: what it uses, and the loop over attempts.

use {
    super::{
        ResponseSink, CrashBroadcaster, DeliveredResponse, ForwardError, ForwardWork, PeerDirectory, StopCause,
        attempt::{AttemptOutcome, AttemptTarget},
        history::AttemptHistory,
        resolve::Resolution,
        retry::RetryDecision,
    },
    crate::{events, metrics::EntryMetrics},
    arc_swap::ArcSwapOption,
    catkindeck::{
        Clock, ErrorKind, ExecutionOutcome, Moment, ServiceError,
        config::ConfigSnapshot,
        id::ObjectName,
        link::PeerLink,
        log_event,
        message::{CrashReport, ExecutionRecord, LoadReport, WorkBody},
    },
    catkindeck_control::source::ConfigSource,
    catkindeck_policy::{CrashQuarantine, RetryBudget, RouterSettings, UpstreamRouter},
    slog::Logger,
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// The limits of forwarding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardLimits {
    /// The number of attempts of one request, at least 1.
    pub attempts: u8,
    /// The time to reach an agent with a request.
    pub call_timeout: Duration,
    /// The time in which an unknown outcome is resolved.
    pub resolve_timeout: Duration,
    /// Retries for each 100 first attempts of callers on open routes, who belong to no customer.
    pub open_retry_percent: u32,
}

impl Default for ForwardLimits {
    fn default() -> Self {
        Self {
            attempts: 3,
            call_timeout: Duration::from_secs(2),
            resolve_timeout: Duration::from_secs(1),
            open_retry_percent: 10,
        }
    }
}

/// What a forwarder is made of.
pub struct ForwardParts {
    /// The name of this entry.
    pub entry: ObjectName,
    /// The way to agents and entries.
    pub link: Arc<dyn PeerLink>,
    /// The configuration.
    pub source: Arc<dyn ConfigSource>,
    /// The other entries.
    pub peers: Arc<dyn PeerDirectory>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The metrics.
    pub metrics: Arc<EntryMetrics>,
    /// The limits.
    pub limits: ForwardLimits,
    /// The seed of the router's random choices.
    pub seed: u64,
    /// The logger.
    pub logger: Logger,
}

/// Forwards callers' requests to agents.
pub struct RequestForwarder {
    parts: ForwardParts,
    router: Mutex<UpstreamRouter>,
    members: ArcSwapOption<ConfigSnapshot>,
    budget: Mutex<RetryBudget>,
    quarantine: Mutex<CrashQuarantine>,
    broadcaster: CrashBroadcaster,
}

impl RequestForwarder {
    /// Makes a forwarder.
    pub fn new(parts: ForwardParts) -> Arc<Self> {
        let settings = RouterSettings::default();
        let router = UpstreamRouter::new(settings, parts.entry.clone(), parts.seed);
        let broadcaster = CrashBroadcaster::start(
            Arc::clone(&parts.link),
            Arc::clone(&parts.peers),
            parts.logger.clone(),
        );
        Arc::new(Self {
            parts,
            router: Mutex::new(router),
            members: ArcSwapOption::empty(),
            budget: Mutex::new(RetryBudget::new()),
            quarantine: Mutex::new(CrashQuarantine::new()),
            broadcaster,
        })
    }

    /// Forwards `work`, passes its answer to `sink`, and returns when it is whole.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller with what is proved about the execution.
    pub fn forward(
        &self,
        work: &ForwardWork,
        sink: &mut dyn ResponseSink,
    ) -> Result<DeliveredResponse, ForwardError> {
        lock(&self.quarantine).check(self.now(), &work.digest)?;
        self.credit_retry_budget(work);
        // The bytes are kept where an answer can be resumed or compared with a stored one.
        let resumable = work.route.idempotent && matches!(work.body, WorkBody::Completion(_));
        let keeps_bytes = resumable || work.idempotency_key.is_some();
        let mut history = AttemptHistory::new(keeps_bytes);
        let end = self.run(work, &mut history, sink);
        end.map_err(|end| match end {
            ForwardError::Failed(error) => ForwardError::Failed(history.qualify(error)),
            ForwardError::CallerDisconnected => ForwardError::CallerDisconnected,
        })
    }

    /// Makes attempts until one ends the request.
    fn run(
        &self,
        work: &ForwardWork,
        history: &mut AttemptHistory,
        sink: &mut dyn ResponseSink,
    ) -> Result<DeliveredResponse, ForwardError> {
        if let Some(key) = &work.idempotency_key {
            let key_homes = self.find_key_homes(work, key)?;
            if let Some(record) = self.query_earlier_homes(work, &key_homes)? {
                return self.replay(work, &record, history, sink);
            }
            history.key_homes = Some(key_homes);
        }
        loop {
            history.attempt += 1;
            let target = self.choose_target(work, history.key_homes.as_ref(), &history.excluded);
            let target = target.map_err(|error| history.explain(error))?;
            let (target, error) = match self.resolve_incarnation(work, target) {
                Ok(target) => {
                    let end = self.attempt(work, &target, history, sink);
                    let (error, incarnation) = match end {
                        AttemptOutcome::Finished(record) => {
                            return self.finish(work, &record, history, sink);
                        }
                        AttemptOutcome::Stopped { cause, incarnation } => {
                            return Err(self.stop(work, &target, cause, incarnation));
                        }
                        AttemptOutcome::Failed {
                            error,
                            crashed,
                            incarnation,
                        } => {
                            self.record_failed_attempt(work, &target, &error, crashed);
                            (error, incarnation)
                        }
                    };
                    match self.resolve(work, &target, incarnation, error) {
                        Resolution::Answered(record) => {
                            return self.replay(work, &record, history, sink);
                        }
                        Resolution::Known(error) => (target, error),
                    }
                }
                Err((target, error)) => (target, error),
            };
            let error = self.qualify_keyed_failure(work, error);
            history.note(&error);
            match self.decide_retry(work, &error, history) {
                RetryDecision::Retry => {}
                RetryDecision::GiveUp => return Err(ForwardError::Failed(error)),
                RetryDecision::ReplaceError(replacement) => return Err(ForwardError::Failed(replacement)),
            }
            log_event!(self.logger(), events::REQUEST_RETRIED; "request" => %work.request,
                "upstream" => %target.upstream, "kind" => %error.kind);
            self.metrics().count_retry(&work.route.name, error.kind);
            history.advance(&target, error);
        }
    }

    /// Takes crash reports of another entry.
    pub fn record_crashes(&self, crashes: &[CrashReport]) {
        let now = self.now();
        let mut quarantine = lock(&self.quarantine);
        for crash in crashes {
            if quarantine.report(now, crash) {
                log_event!(self.logger(), events::BODY_QUARANTINED; "upstream" => %crash.upstream);
            }
        }
    }

    /// Removes what has expired; called about every ten seconds.
    pub fn sweep(&self) {
        let now = self.now();
        lock(&self.quarantine).sweep(now);
        lock(&self.budget).sweep(now);
    }

    /// Applies the host list: entries that came or went, and for each upstream whether it leaves.
    pub fn refresh_members(&self, leaving: &[(ObjectName, bool)]) {
        self.members.store(None);
        self.with_router(|router| {
            for (upstream, leaves) in leaving {
                router.set_leaving(upstream, *leaves);
            }
        });
    }

    /// Returns the other entries.
    pub fn peers(&self) -> &dyn PeerDirectory {
        &*self.parts.peers
    }

    pub(super) fn link(&self) -> &dyn PeerLink {
        &*self.parts.link
    }

    /// Returns the configuration.
    pub fn source(&self) -> &dyn ConfigSource {
        &*self.parts.source
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.parts.metrics
    }

    pub(super) fn limits(&self) -> ForwardLimits {
        self.parts.limits
    }

    /// Returns the logger.
    pub fn logger(&self) -> &Logger {
        &self.parts.logger
    }

    /// Returns the present.
    pub fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    pub(super) fn remaining(&self, work: &ForwardWork) -> Duration {
        Duration::from_millis(work.deadline.since(self.now()))
    }

    pub(super) fn with_budget<T>(&self, action: impl FnOnce(&mut RetryBudget) -> T) -> T {
        action(&mut lock(&self.budget))
    }

    /// Uses the router, whose members follow the configuration.
    pub(super) fn with_router<T>(&self, action: impl FnOnce(&mut UpstreamRouter) -> T) -> T {
        let snapshot = self.parts.source.current();
        let mut router = lock(&self.router);
        let used = self.members.load();
        let same = used
            .as_ref()
            .is_some_and(|used| Arc::ptr_eq(used, &snapshot));
        if !same {
            let entries = self.parts.peers.entries().into_iter();
            let entries: Vec<ObjectName> = entries.map(|(name, _)| name).collect();
            router.set_members(&snapshot.upstreams, &snapshot.zones, &entries);
            self.members.store(Some(snapshot));
        }
        action(&mut router)
    }

    pub(super) fn observe(&self, upstream: &ObjectName, load: &LoadReport) {
        let now = self.now();
        self.parts.source.observe_revision(load.revision);
        self.with_router(|router| router.observe(now, upstream, load));
    }

    pub(super) fn mark_unreachable(&self, upstream: &ObjectName) {
        let now = self.now();
        self.with_router(|router| router.failed(now, upstream));
    }

    /// Tells whether the body of `work` is quarantined by now.
    pub(super) fn is_quarantined(&self, work: &ForwardWork) -> bool {
        lock(&self.quarantine).contains(self.now(), &work.digest)
    }

    /// Ends a request whose answer is whole.
    fn finish(
        &self,
        work: &ForwardWork,
        record: &ExecutionRecord,
        history: &AttemptHistory,
        sink: &mut dyn ResponseSink,
    ) -> Result<DeliveredResponse, ForwardError> {
        lock(&self.quarantine).clear(self.now(), &work.digest);
        // A replay may come as the record alone, without chunks.
        if !history.progress.is_started() && record.answer_kept {
            return self.replay(work, record, history, sink);
        }
        Ok(DeliveredResponse {
            labels: history.progress.labels().clone(),
            boot: record.boot.clone(),
            attempts: history.attempt,
        })
    }

    /// Delivers the stored answer of a finished execution.
    fn replay(
        &self,
        work: &ForwardWork,
        record: &ExecutionRecord,
        history: &AttemptHistory,
        sink: &mut dyn ResponseSink,
    ) -> Result<DeliveredResponse, ForwardError> {
        let progress = &history.progress;
        let rest = progress.rest_of(record).ok_or_else(|| ServiceError {
            kind: ErrorKind::OutcomeUnknown,
            execution: ExecutionOutcome::Finished,
            detail: "the request ran, but the stored answer does not go on from what was sent"
                .to_owned(),
        })?;
        if matches!(work.body, WorkBody::Call(_)) && !progress.is_started() {
            sink.head(record.status, record.headers.clone());
        }
        if !rest.is_empty() {
            sink.bytes(rest).map_err(|_| ForwardError::CallerDisconnected)?;
        }
        Ok(DeliveredResponse {
            labels: record.labels.clone(),
            boot: record.boot.clone(),
            attempts: history.attempt,
        })
    }

    /// Ends a request that this entry gave up.
    fn stop(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        cause: StopCause,
        incarnation: Option<catkindeck::id::IncarnationId>,
    ) -> ForwardError {
        let execution = self.cancel_or_revoke(work, target, incarnation);
        let (kind, detail) = match cause {
            StopCause::CallerDisconnected => return ForwardError::CallerDisconnected,
            StopCause::KeyRevoked => {
                log_event!(self.logger(), events::STREAM_REVOKED; "request" => %work.request);
                (ErrorKind::KeyRevoked, "the key was revoked")
            }
            StopCause::Deadline => (ErrorKind::DeadlineExceeded, "the deadline passed"),
        };
        ForwardError::Failed(ServiceError {
            kind,
            execution,
            detail: detail.to_owned(),
        })
    }

    /// Logs a failed attempt and counts a crash.
    fn record_failed_attempt(
        &self,
        work: &ForwardWork,
        target: &AttemptTarget,
        error: &ServiceError,
        crashed: bool,
    ) {
        log_event!(self.logger(), events::ATTEMPT_FAILED; "request" => %work.request,
            "upstream" => %target.upstream, "kind" => %error.kind);
        if !crashed {
            return;
        }
        let crash = CrashReport {
            digest: work.digest,
            upstream: target.upstream.clone(),
        };
        log_event!(self.logger(), events::BODY_CRASHED_UPSTREAM; "request" => %work.request,
            "upstream" => %target.upstream);
        self.mark_unreachable(&target.upstream);
        self.record_crashes(std::slice::from_ref(&crash));
        self.broadcaster.broadcast(crash);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poison| poison.into_inner())
}
