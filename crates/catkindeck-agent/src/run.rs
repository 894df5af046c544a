//! A request at the upstream: its frames, its end and what is kept of it.

use {
    crate::{
        core::{AgentCore, unix_ms},
        events,
        metrics::error_label,
        state::{RunningWork, StartNotice},
        upstream::{StreamFlow, UpstreamEnd, UpstreamEvents},
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        id::{BootId, ObjectName},
        link::FrameSink,
        log_event,
        message::{
            CrashReport, ExecuteRequest, ExecutionRecord, KEPT_ANSWER_LIMIT, LoadReport, PeerFrame,
            SampleRecord, WorkBody,
        },
        token::{VersionLabels, WeightVersion},
    },
    catkindeck_policy::{ExecutionResult, FinishCause},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Passes frames on and remembers what the answer was made of.
struct RunTap<'a> {
    core: &'a AgentCore,
    request: &'a ExecuteRequest,
    notice: Arc<StartNotice>,
    /// The boot identity when the request was sent.
    boot_at_start: BootId,
    /// The boot identity that the answer carried.
    boot: BootId,
    status: u16,
    headers: Vec<(String, String)>,
    labels: VersionLabels,
    answer: Vec<u8>,
    chunks: u32,
    /// Whether the caller is gone and the request runs on without it.
    detached: bool,
}

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
            let load = state.report(now, Some(entry), self.keeper.current().revision);
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
            state.report(now, Some(entry), self.keeper.current().revision)
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

impl RunTap<'_> {
    /// Sends a frame unless the caller is gone; work that may be repeated is then stopped.
    fn send(&mut self, frame: PeerFrame) -> StreamFlow {
        self.notice.send();
        if self.detached || self.notice.sink.send(frame).is_ok() {
            return StreamFlow::Continue;
        }
        if self.request.idempotent {
            return StreamFlow::Stop;
        }
        self.detached = true;
        StreamFlow::Continue
    }

    fn keep(&mut self, bytes: &[u8]) {
        let keyed = self.request.idempotency_key.is_some();
        if self.request.sample.is_some() {
            self.answer.extend_from_slice(bytes);
        } else if keyed && self.answer.len() <= KEPT_ANSWER_LIMIT {
            // One byte above the limit is enough for the record to see that it is too large.
            let room = KEPT_ANSWER_LIMIT + 1 - self.answer.len();
            self.answer
                .extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }
}

impl UpstreamEvents for RunTap<'_> {
    fn boot(&mut self, boot: BootId) {
        self.notice.send();
        let new = {
            let now = self.core.now();
            let mut state = self.core.lock();
            state.observe_boot(now, &boot)
        };
        if new {
            self.core.metrics.boots.inc();
            log_event!(self.core.logger, events::UPSTREAM_BOOTED; "boot" => &boot.0);
        }
        self.boot = boot;
    }

    fn head(&mut self, status: u16, headers: Vec<(String, String)>) -> StreamFlow {
        self.status = status;
        self.headers = headers.clone();
        self.send(PeerFrame::Head {
            request: self.request.request,
            status,
            headers,
        })
    }

    fn chunk(&mut self, bytes: &[u8], tokens: u32, version: Option<WeightVersion>) -> StreamFlow {
        self.labels.push(tokens, version);
        self.keep(bytes);
        let frame = PeerFrame::Chunk {
            request: self.request.request,
            sequence: self.chunks,
            bytes: bytes.to_vec(),
            tokens,
            version,
        };
        self.chunks += 1;
        let flow = self.send(frame);
        let now = self.core.now();
        let mut state = self.core.lock();
        let tokens = u64::from(tokens);
        if state.boot == self.boot {
            state.last_sign = state.last_sign.max(now);
        }
        state.queue.served(now, &self.request.request, tokens);
        if let Some(version) = version {
            state.observe_version(&self.boot, version);
        }
        if flow == StreamFlow::Continue && !self.detached {
            self.core.metrics.tokens.inc_by(tokens);
            let customer = self.request.customer.as_ref();
            state
                .usage
                .count(unix_ms(), customer, &self.request.service, 0, tokens);
        }
        let work = state.running.get(&self.request.request);
        match work.is_some_and(|work| work.unwanted) {
            true => StreamFlow::Stop,
            false => flow,
        }
    }
}

/// Returns the beginning of the answer that earlier attempts delivered, so that what is kept is the
/// whole answer.
fn answer_start(request: &ExecuteRequest) -> Vec<u8> {
    match &request.body {
        WorkBody::Completion(body) => body.resume_text.clone().into_bytes(),
        WorkBody::Call(_) => Vec::new(),
    }
}

/// Returns the sample that a finished request became.
///
/// A sample with a token of unknown version is never delivered (G1). One whose beginning was made
/// elsewhere is not kept either, because its first labels are only known to the step's owner.
fn finished_sample(tap: &RunTap<'_>) -> Option<SampleRecord> {
    let id = tap.request.sample.clone()?;
    let resumed = match &tap.request.body {
        WorkBody::Completion(body) => body.resume_tokens > 0,
        WorkBody::Call(_) => true,
    };
    tap.labels.oldest()?;
    if resumed {
        return None;
    }
    Some(SampleRecord {
        id,
        text: String::from_utf8(tap.answer.clone()).ok()?,
        labels: tap.labels.clone(),
    })
}
