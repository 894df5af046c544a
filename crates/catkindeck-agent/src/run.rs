//! A request at the upstream: its frames, its end and what is kept of it.

use {
    crate::{
        core::AgentCore,
        events,
        metrics::error_label,
        state::{RunningWork, StartNotice},
        tap::{RunTap, answer_start, finished_sample},
        upstream::UpstreamEnd,
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
    /// Runs a request whose start was recorded, and ends its record.
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
            let work = RunningWork {
                idempotent: request.idempotent,
                since: self.now(),
                notice: notice.clone(),
                unwanted: false,
                stopped: false,
            };
            state.running.insert(request.request, work);
            state.boot.clone()
        };
        let mut tap = RunTap {
            core: self,
            request,
            notice,
            boot_at_start: boot.clone(),
            boot,
            status: 0,
            headers: Vec::new(),
            labels: VersionLabels::default(),
            answer: answer_start(request),
            chunks: 0,
            detached: false,
        };
        let limit = self.run_limit(request, deadline);
        let end = self.upstream.run(request, limit, &mut tap);
        let broken = match &end {
            UpstreamEnd::NotSent(error) => error.kind == ErrorKind::UpstreamFailed,
            UpstreamEnd::Failed { crashed, .. } => *crashed,
            UpstreamEnd::Complete | UpstreamEnd::Stopped => false,
        };
        let end = match broken {
            true => self.confirm_crash(&tap.boot_at_start, end),
            false => end,
        };
        self.end_run(tap, entry, end);
    }

    /// Probes the upstream after a connection to it broke.
    ///
    /// An upstream that still has the boot identity of before has not crashed; it only cut this
    /// request, which must not count against the request's body.
    fn confirm_crash(&self, boot: &BootId, end: UpstreamEnd) -> UpstreamEnd {
        let noticed = Instant::now();
        self.lock().broken += 1;
        self.probe_since(noticed);
        let same_boot = {
            let mut state = self.lock();
            state.broken -= 1;
            !state.unreachable && !boot.0.is_empty() && state.boot == *boot
        };
        match end {
            UpstreamEnd::Failed { error, crashed } => UpstreamEnd::Failed {
                error,
                crashed: crashed && !same_boot,
            },
            end => end,
        }
    }

    /// Returns the time that a request may take at the upstream.
    ///
    /// Work that may not be repeated runs on after its caller gave up, because cutting it would
    /// leave its outcome unknown for ever.
    fn run_limit(&self, request: &ExecuteRequest, deadline: Moment) -> Duration {
        match request.idempotent {
            true => Duration::from_millis(deadline.since(self.now()).max(1)),
            false => self.settings.timeouts.longest_request,
        }
    }

    fn end_run(&self, tap: RunTap<'_>, entry: &ObjectName, end: UpstreamEnd) {
        match end {
            UpstreamEnd::Complete => self.end_complete(tap, entry),
            UpstreamEnd::Stopped => {
                self.upstream.cancel(&tap.request.request);
                log_event!(
                    self.logger, events::REQUEST_CANCELLED;
                    "request" => tap.request.request.to_string(),
                );
                let error = ServiceError::unknown(ErrorKind::Revoked, "the request was cancelled");
                self.end_failed(tap, entry, error, FinishCause::Cancelled, false);
            }
            UpstreamEnd::NotSent(error) if !tap.notice.was_sent() => {
                let now = self.now();
                let mut state = self.lock();
                state.running.remove(&tap.request.request);
                state.table.undo_start(&tap.request.request);
                state
                    .queue
                    .finish(now, &tap.request.request, FinishCause::UpstreamFailed);
                state.pump(now);
                drop(state);
                self.log_failure(&tap, &error);
                self.refuse(tap.request, Some(entry), error, &tap.notice.sink);
            }
            UpstreamEnd::NotSent(error) => {
                let error = ServiceError::unknown(error.kind, error.detail);
                self.end_failed(tap, entry, error, FinishCause::UpstreamFailed, false);
            }
            UpstreamEnd::Failed { error, crashed } => {
                if crashed {
                    self.note_crash(tap.request);
                }
                let cause = match error.kind {
                    // These say nothing about the upstream's capacity.
                    ErrorKind::BadRequest | ErrorKind::DeadlineExceeded => FinishCause::Cancelled,
                    _ => FinishCause::UpstreamFailed,
                };
                if error.kind == ErrorKind::DeadlineExceeded {
                    self.upstream.cancel(&tap.request.request);
                }
                self.log_failure(&tap, &error);
                self.end_failed(tap, entry, error, cause, crashed);
            }
        }
    }

    fn end_complete(&self, mut tap: RunTap<'_>, entry: &ObjectName) {
        tap.notice.send();
        let request = tap.request;
        let tokens = u64::from(tap.labels.token_count());
        let sample = finished_sample(&tap);
        let keyed = request.idempotency_key.is_some();
        let result = ExecutionResult {
            complete: true,
            boot: tap.boot.clone(),
            labels: tap.labels.clone(),
            status: tap.status,
            answer: match keyed {
                true => std::mem::take(&mut tap.answer),
                false => Vec::new(),
            },
        };
        let headers = std::mem::take(&mut tap.headers);
        let (record, load, dropped) = {
            let now = self.now();
            let mut state = self.lock();
            state.running.remove(&request.request);
            if tokens == 0 {
                state.queue.served(now, &request.request, 1);
            }
            state
                .queue
                .finish(now, &request.request, FinishCause::Completed);
            state.quarantine.clear(now, &request.digest);
            state.table.store_headers(&request.request, headers);
            let record = state.table.finish(now, &request.request, result);
            let dropped = sample.map_or_else(Vec::new, |sample| state.samples.keep(sample));
            state.pump(now);
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
        self.deliver_end(&tap, record, load);
    }

    /// Sends the end frame; only what the entry received whole is billed as a request.
    fn deliver_end(&self, tap: &RunTap<'_>, record: Option<ExecutionRecord>, load: LoadReport) {
        let request = tap.request;
        let Some(mut record) = record else {
            // The record of a running request is only removed here.
            let error = ServiceError::unknown(ErrorKind::Internal, "the execution record is lost");
            return self.refuse(request, None, error, &tap.notice.sink);
        };
        // The entry has received the answer in chunks.
        record.answer = Vec::new();
        let frame = PeerFrame::Finished {
            request: request.request,
            chunks: tap.chunks,
            record: Box::new(record),
            load: Box::new(load),
        };
        let delivered = !tap.detached && tap.notice.sink.send(frame).is_ok();
        self.metrics.requests.with_label_values(&["finished"]).inc();
        if !delivered {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        if request.idempotency_key.is_some() {
            state.bill(now, &request.request);
        }
        let customer = request.customer.as_ref();
        state
            .usage
            .count(unix_ms(), customer, &request.service, 1, 0);
    }

    fn end_failed(
        &self,
        tap: RunTap<'_>,
        entry: &ObjectName,
        error: ServiceError,
        cause: FinishCause,
        crashed: bool,
    ) {
        let request = tap.request;
        let load = {
            let now = self.now();
            let mut state = self.lock();
            state.running.remove(&request.request);
            state.queue.finish(now, &request.request, cause);
            let result = ExecutionResult {
                complete: false,
                boot: tap.boot,
                labels: tap.labels,
                status: tap.status,
                answer: Vec::new(),
            };
            state.table.finish(now, &request.request, result);
            state.pump(now);
            state.report(now, Some(entry), self.cache.current().revision)
        };
        self.metrics
            .requests
            .with_label_values(&[error_label(error.kind)])
            .inc();
        tap.notice.send();
        let frame = PeerFrame::Refused {
            request: request.request,
            error,
            crashed,
            load: Box::new(load),
        };
        // A caller that is gone needs no refusal.
        drop(tap.notice.sink.send(frame));
    }

    fn note_crash(&self, request: &ExecuteRequest) {
        let report = CrashReport {
            digest: request.digest,
            upstream: self.settings.upstream.name.clone(),
        };
        let now = self.now();
        self.lock().quarantine.report(now, &report);
    }

    fn log_failure(&self, tap: &RunTap<'_>, error: &ServiceError) {
        log_event!(
            self.logger, events::UPSTREAM_FAILED;
            "request" => tap.request.request.to_string(), "reason" => error.to_string(),
        );
    }
}
