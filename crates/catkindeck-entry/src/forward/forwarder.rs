//! The forwarder: its dependencies, and the loop over the attempts of a request.

use {
    super::{
        CrashBroadcaster, DeliveredResponse, ForwardError, ForwardWork, PeerDirectory,
        ResponseSink, StopCause,
        attempt::{AttemptOutcome, AttemptTarget},
        history::AttemptHistory,
        resolve::ResolvedOutcome,
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardLimits {
    /// The maximum number of attempts of one request, at least 1.
    pub attempts: u8,
    /// The timeout for sending a request to an agent.
    pub call_timeout: Duration,
    /// The timeout for resolving an unknown outcome.
    pub resolve_timeout: Duration,
    /// Retries per 100 first attempts on open routes, whose callers belong to no customer.
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

/// The dependencies of a forwarder.
pub struct ForwardParts {
    /// The host name of this entry.
    pub entry: ObjectName,
    /// Calls agents and other entries.
    pub link: Arc<dyn PeerLink>,
    pub source: Arc<dyn ConfigSource>,
    pub peers: Arc<dyn PeerDirectory>,
    pub clock: Arc<dyn Clock>,
    pub metrics: Arc<EntryMetrics>,
    pub limits: ForwardLimits,
    /// The seed for the random choices of the router.
    pub seed: u64,
    pub logger: Logger,
}

/// Forwards callers' requests to agents.
pub struct RequestForwarder {
    parts: ForwardParts,
    router: Mutex<UpstreamRouter>,
    routed_snapshot: ArcSwapOption<ConfigSnapshot>,
    budget: Mutex<RetryBudget>,
    quarantine: Mutex<CrashQuarantine>,
    broadcaster: CrashBroadcaster,
}

impl RequestForwarder {
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
            routed_snapshot: ArcSwapOption::empty(),
            budget: Mutex::new(RetryBudget::new()),
            quarantine: Mutex::new(CrashQuarantine::new()),
            broadcaster,
        })
    }

    /// Forwards `work`, passes the response on to `sink`, and returns when it is complete.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller, with what is proved about the execution.
    pub fn forward(
        &self,
        work: &ForwardWork,
        sink: &mut dyn ResponseSink,
    ) -> Result<DeliveredResponse, ForwardError> {
        lock(&self.quarantine).check(self.now(), &work.digest)?;
        self.credit_retry_budget(work);
        // Bytes are kept if a response may be resumed or compared with a stored one.
        let resumable = work.route.idempotent && matches!(work.body, WorkBody::Completion(_));
        let keeps_bytes = resumable || work.idempotency_key.is_some();
        let mut history = AttemptHistory::new(keeps_bytes);
        let result = self.run(work, &mut history, sink);
        result.map_err(|error| match error {
            ForwardError::Failed(error) => {
                ForwardError::Failed(history.unknown_if_may_have_run(error))
            }
            ForwardError::CallerDisconnected => ForwardError::CallerDisconnected,
        })
    }

    /// Makes attempts until one of them completes the request or no retry is left.
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
            let target = target.map_err(|error| history.last_error_or(error))?;
            let (target, error) = match self.resolve_incarnation(work, target) {
                Ok(target) => {
                    let outcome = self.attempt(work, &target, history, sink);
                    let (error, incarnation) = match outcome {
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
                        ResolvedOutcome::Finished(record) => {
                            return self.replay(work, &record, history, sink);
                        }
                        ResolvedOutcome::Failed(error) => (target, error),
                    }
                }
                Err((target, error)) => (target, error),
            };
            let error = self.unknown_if_home_unreachable(work, error);
            history.record(&error);
            match self.decide_retry(work, &error, history) {
                RetryDecision::Retry => {}
                RetryDecision::GiveUp => return Err(ForwardError::Failed(error)),
                RetryDecision::ReplaceError(replacement) => {
                    return Err(ForwardError::Failed(replacement));
                }
            }
            log_event!(self.logger(), events::REQUEST_RETRIED; "request" => %work.request,
                "upstream" => %target.upstream, "kind" => %error.kind);
            self.metrics().count_retry(&work.route.name, error.kind);
            history.advance(&target, error);
        }
    }

    /// Records crash reports of this entry or another one.
    pub fn record_crashes(&self, crashes: &[CrashReport]) {
        let now = self.now();
        let mut quarantine = lock(&self.quarantine);
        for crash in crashes {
            if quarantine.report(now, crash) {
                log_event!(self.logger(), events::BODY_QUARANTINED; "upstream" => %crash.upstream);
            }
        }
    }

    /// Removes expired state; called about every 10 seconds.
    pub fn sweep(&self) {
        let now = self.now();
        lock(&self.quarantine).sweep(now);
        lock(&self.budget).sweep(now);
    }

    /// Applies a new host list: sets for each upstream whether it is leaving, and makes the router
    /// reload the other entries on its next use.
    pub fn apply_host_list(&self, leaving_flags: &[(ObjectName, bool)]) {
        self.routed_snapshot.store(None);
        self.with_router(|router| {
            for (upstream, leaves) in leaving_flags {
                router.set_draining(upstream, *leaves);
            }
        });
    }

    pub fn peers(&self) -> &dyn PeerDirectory {
        &*self.parts.peers
    }

    pub(super) fn link(&self) -> &dyn PeerLink {
        &*self.parts.link
    }

    pub fn source(&self) -> &dyn ConfigSource {
        &*self.parts.source
    }

    pub fn metrics(&self) -> &EntryMetrics {
        &self.parts.metrics
    }

    pub(super) fn limits(&self) -> ForwardLimits {
        self.parts.limits
    }

    pub fn logger(&self) -> &Logger {
        &self.parts.logger
    }

    pub fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    pub(super) fn remaining_time(&self, work: &ForwardWork) -> Duration {
        Duration::from_millis(work.deadline.since(self.now()))
    }

    pub(super) fn with_budget<T>(&self, action: impl FnOnce(&mut RetryBudget) -> T) -> T {
        action(&mut lock(&self.budget))
    }

    /// Calls `action` with the router, after updating its members to the current configuration.
    pub(super) fn with_router<T>(&self, action: impl FnOnce(&mut UpstreamRouter) -> T) -> T {
        let snapshot = self.parts.source.current();
        let mut router = lock(&self.router);
        let applied = self.routed_snapshot.load();
        let is_current = applied
            .as_ref()
            .is_some_and(|applied| Arc::ptr_eq(applied, &snapshot));
        if !is_current {
            let entries = self.parts.peers.entries().into_iter();
            let entries: Vec<ObjectName> = entries.map(|(name, _)| name).collect();
            router.set_members(&snapshot.upstreams, &snapshot.zones, &entries);
            self.routed_snapshot.store(Some(snapshot));
        }
        action(&mut router)
    }

    pub(super) fn record_load_report(&self, upstream: &ObjectName, load: &LoadReport) {
        let now = self.now();
        self.parts.source.observe_revision(load.revision);
        self.with_router(|router| router.record_report(now, upstream, load));
    }

    pub(super) fn mark_unreachable(&self, upstream: &ObjectName) {
        let now = self.now();
        self.with_router(|router| router.record_failure(now, upstream));
    }

    pub(super) fn is_quarantined(&self, work: &ForwardWork) -> bool {
        lock(&self.quarantine).contains(self.now(), &work.digest)
    }

    /// Completes a request whose response was delivered.
    fn finish(
        &self,
        work: &ForwardWork,
        record: &ExecutionRecord,
        history: &AttemptHistory,
        sink: &mut dyn ResponseSink,
    ) -> Result<DeliveredResponse, ForwardError> {
        lock(&self.quarantine).clear(self.now(), &work.digest);
        // A replayed response may consist of the record alone, without chunks.
        if !history.progress.is_started() && record.answer_kept {
            return self.replay(work, record, history, sink);
        }
        Ok(DeliveredResponse {
            labels: history.progress.labels().clone(),
            boot: record.boot.clone(),
            attempts: history.attempt,
        })
    }

    /// Delivers the stored response of a finished execution.
    fn replay(
        &self,
        work: &ForwardWork,
        record: &ExecutionRecord,
        history: &AttemptHistory,
        sink: &mut dyn ResponseSink,
    ) -> Result<DeliveredResponse, ForwardError> {
        let progress = &history.progress;
        let remaining_bytes = progress.remaining_bytes(record).ok_or_else(|| ServiceError {
            kind: ErrorKind::OutcomeUnknown,
            execution: ExecutionOutcome::Finished,
            detail: "the request ran, but its stored response does not begin with the part that was \
                     already sent"
                .to_owned(),
        })?;
        if matches!(work.body, WorkBody::Call(_)) && !progress.is_started() {
            sink.head(record.status, record.headers.clone());
        }
        if !remaining_bytes.is_empty() {
            sink.bytes(remaining_bytes)
                .map_err(|_| ForwardError::CallerDisconnected)?;
        }
        Ok(DeliveredResponse {
            labels: record.labels.clone(),
            boot: record.boot.clone(),
            attempts: history.attempt,
        })
    }

    /// Cancels or revokes a request that this entry stops, and returns the error for the caller.
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

    /// Logs a failed attempt; if the upstream crashed, reports the crash.
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
