//! Runs requests at the upstream, relays their responses and records their outcomes.

use {
    crate::{
        core::AgentCore,
        events,
        metrics::error_label,
        relay::{ResponseRelay, finished_sample, resumed_prefix},
        state::{RunningRequest, StartNotice},
        upstream::UpstreamOutcome,
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        id::{BootId, ObjectName},
        link::FrameSink,
        log_event,
        message::{CrashReport, ExecuteRequest, ExecutionRecord, LoadReport, PeerFrame},
        time::unix_ms,
        token::VersionLabels,
    },
    catkindeck_policy::{ExecutionResult, FinishCause},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

impl AgentCore {
    /// Runs a request whose start is recorded, and completes its execution record.
    pub(crate) fn run(
        &self,
        request: &ExecuteRequest,
        entry: &ObjectName,
        deadline: Moment,
        reply: &Arc<dyn FrameSink>,
    ) {
        let notice = StartNotice::new(reply.clone(), request.request, self.incarnation);
        let notice = Arc::new(notice);
        let boot = {
            let mut state = self.lock();
            let work = RunningRequest {
                idempotent: request.idempotent,
                started_at: self.now(),
                notice: notice.clone(),
                cancelled: false,
                cancel_sent: false,
            };
            state.running.insert(request.request, work);
            state.boot.clone()
        };
        let mut relay = ResponseRelay {
            core: self,
            request,
            notice,
            boot_at_start: boot.clone(),
            boot,
            status: 0,
            headers: Vec::new(),
            labels: VersionLabels::default(),
            body: resumed_prefix(request),
            chunks: 0,
            detached: false,
        };
        let limit = self.run_limit(request, deadline);
        let outcome = self.upstream.run(request, limit, &mut relay);
        let connection_broken = match &outcome {
            UpstreamOutcome::NotSent(error) => error.kind == ErrorKind::UpstreamFailed,
            UpstreamOutcome::Failed { crashed, .. } => *crashed,
            UpstreamOutcome::Complete | UpstreamOutcome::Stopped => false,
        };
        let outcome = match connection_broken {
            true => self.confirm_crash(&relay.boot_at_start, outcome),
            false => outcome,
        };
        self.finish_run(relay, entry, outcome);
    }

    /// Probes the upstream after the connection of a request failed, and returns the corrected
    /// outcome.
    ///
    /// If the upstream still has the same boot ID, it did not crash but only closed the connection.
    /// That must not count as a crash caused by the request body.
    fn confirm_crash(&self, boot: &BootId, outcome: UpstreamOutcome) -> UpstreamOutcome {
        let noticed = Instant::now();
        self.lock().unprobed_failures += 1;
        self.probe_unless_started_since(noticed);
        let is_same_boot = {
            let mut state = self.lock();
            state.unprobed_failures -= 1;
            !state.unreachable && !boot.0.is_empty() && state.boot == *boot
        };
        match outcome {
            UpstreamOutcome::Failed { error, crashed } => UpstreamOutcome::Failed {
                error,
                crashed: crashed && !is_same_boot,
            },
            outcome => outcome,
        }
    }

    /// Returns the time limit of a request at the upstream.
    ///
    /// The caller's deadline does not limit a request that is not idempotent, because its outcome
    /// would remain unknown if it were aborted.
    fn run_limit(&self, request: &ExecuteRequest, deadline: Moment) -> Duration {
        match request.idempotent {
            true => Duration::from_millis(deadline.since(self.now()).max(1)),
            false => self.settings.timeouts.longest_request,
        }
    }

    fn finish_run(&self, relay: ResponseRelay<'_>, entry: &ObjectName, outcome: UpstreamOutcome) {
        match outcome {
            UpstreamOutcome::Complete => self.finish_complete(relay, entry),
            UpstreamOutcome::Stopped => {
                self.upstream.cancel(&relay.request.request);
                log_event!(
                    self.logger, events::REQUEST_CANCELLED;
                    "request" => relay.request.request.to_string(),
                );
                let error = ServiceError::unknown(ErrorKind::Revoked, "the request was cancelled");
                self.finish_failed(relay, entry, error, FinishCause::Cancelled, false);
            }
            UpstreamOutcome::NotSent(error) if !relay.notice.was_sent() => {
                let now = self.now();
                let mut state = self.lock();
                state.running.remove(&relay.request.request);
                state.table.undo_start(&relay.request.request);
                state
                    .queue
                    .finish(now, &relay.request.request, FinishCause::UpstreamFailed);
                state.process_queue(now);
                drop(state);
                self.log_failure(&relay, &error);
                self.reject(relay.request, Some(entry), error, &relay.notice.sink);
            }
            UpstreamOutcome::NotSent(error) => {
                let error = ServiceError::unknown(error.kind, error.detail);
                self.finish_failed(relay, entry, error, FinishCause::UpstreamFailed, false);
            }
            UpstreamOutcome::Failed { error, crashed } => {
                if crashed {
                    self.record_crash(relay.request);
                }
                let cause = match error.kind {
                    // These errors say nothing about the upstream's capacity.
                    ErrorKind::BadRequest | ErrorKind::DeadlineExceeded => FinishCause::Cancelled,
                    _ => FinishCause::UpstreamFailed,
                };
                if error.kind == ErrorKind::DeadlineExceeded {
                    self.upstream.cancel(&relay.request.request);
                }
                self.log_failure(&relay, &error);
                self.finish_failed(relay, entry, error, cause, crashed);
            }
        }
    }

    fn finish_complete(&self, mut relay: ResponseRelay<'_>, entry: &ObjectName) {
        relay.notice.send();
        let request = relay.request;
        let tokens = u64::from(relay.labels.token_count());
        let sample = finished_sample(&relay);
        let keyed = request.idempotency_key.is_some();
        let result = ExecutionResult {
            complete: true,
            boot: relay.boot.clone(),
            labels: relay.labels.clone(),
            status: relay.status,
            answer: match keyed {
                true => std::mem::take(&mut relay.body),
                false => Vec::new(),
            },
        };
        let headers = std::mem::take(&mut relay.headers);
        let (record, load, dropped) = {
            let now = self.now();
            let mut state = self.lock();
            state.running.remove(&request.request);
            if tokens == 0 {
                state.queue.record_service(now, &request.request, 1);
            }
            state
                .queue
                .finish(now, &request.request, FinishCause::Completed);
            state.quarantine.clear(now, &request.digest);
            state.table.store_headers(&request.request, headers);
            let record = state.table.finish(now, &request.request, result);
            let dropped = sample.map_or_else(Vec::new, |sample| state.samples.insert(sample));
            state.process_queue(now);
            let load = state.report(now, Some(entry), self.cache.current().revision);
            (record, load, dropped)
        };
        for sample in dropped {
            log_event!(
                self.logger, events::SAMPLE_DROPPED;
                "run" => sample.run.as_str(), "step" => sample.step, "group" => sample.group,
                "index" => sample.index, "generation" => sample.generation,
            );
        }
        self.send_finished(&relay, record, load);
    }

    /// Sends the final frame. The request is billed only if the complete response was sent to the
    /// entry.
    fn send_finished(
        &self,
        relay: &ResponseRelay<'_>,
        record: Option<ExecutionRecord>,
        load: LoadReport,
    ) {
        let request = relay.request;
        let Some(mut record) = record else {
            // Unreachable: the record of a running request is removed only when the request
            // finishes.
            let error =
                ServiceError::unknown(ErrorKind::Internal, "the execution record is missing");
            return self.reject(request, None, error, &relay.notice.sink);
        };
        // The entry already received the body in chunks.
        record.answer = Vec::new();
        let frame = PeerFrame::Finished {
            request: request.request,
            chunks: relay.chunks,
            record: Box::new(record),
            load: Box::new(load),
        };
        let delivered = !relay.detached && relay.notice.sink.send(frame).is_ok();
        self.metrics.requests.with_label_values(&["finished"]).inc();
        if !delivered {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        if request.idempotency_key.is_some() {
            state.mark_billed(now, &request.request);
        }
        let customer = request.customer.as_ref();
        state
            .usage
            .count(unix_ms(), customer, &request.service, 1, 0);
    }

    fn finish_failed(
        &self,
        relay: ResponseRelay<'_>,
        entry: &ObjectName,
        error: ServiceError,
        cause: FinishCause,
        crashed: bool,
    ) {
        let request = relay.request;
        let load = {
            let now = self.now();
            let mut state = self.lock();
            state.running.remove(&request.request);
            state.queue.finish(now, &request.request, cause);
            let result = ExecutionResult {
                complete: false,
                boot: relay.boot,
                labels: relay.labels,
                status: relay.status,
                answer: Vec::new(),
            };
            state.table.finish(now, &request.request, result);
            state.process_queue(now);
            state.report(now, Some(entry), self.cache.current().revision)
        };
        self.metrics
            .requests
            .with_label_values(&[error_label(error.kind)])
            .inc();
        relay.notice.send();
        let frame = PeerFrame::Refused {
            request: request.request,
            error,
            crashed,
            load: Box::new(load),
        };
        // A send error means that the caller has disconnected and needs no rejection.
        drop(relay.notice.sink.send(frame));
    }

    fn record_crash(&self, request: &ExecuteRequest) {
        let report = CrashReport {
            digest: request.digest,
            upstream: self.settings.upstream.name.clone(),
        };
        let now = self.now();
        self.lock().quarantine.report(now, &report);
    }

    fn log_failure(&self, relay: &ResponseRelay<'_>, error: &ServiceError) {
        log_event!(
            self.logger, events::UPSTREAM_FAILED;
            "request" => relay.request.request.to_string(), "reason" => error.to_string(),
        );
    }
}
