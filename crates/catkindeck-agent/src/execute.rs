//! Admission of requests: validation, execution record and queueing.

use {
    crate::{
        core::{AgentCore, peer_name},
        metrics::error_label,
        state::{QueueDecision, caller_disconnected_error},
    },
    catkindeck::{
        ErrorKind, ExecutionOutcome, Moment, ServiceError,
        id::ObjectName,
        link::{FrameSink, PeerIdentity},
        message::{ExecuteRequest, ExecutionRecord, PeerFrame, WorkBody},
    },
    catkindeck_policy::{AdmissionRequest, BeginDecision, WithdrawOutcome},
    std::{sync::Arc, thread, time::Duration},
};

/// The interval between checks whether the caller of a waiting request has disconnected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl AgentCore {
    /// Handles a request from its admission to the final frame of its response.
    pub(crate) fn execute(
        &self,
        peer: &PeerIdentity,
        request: ExecuteRequest,
        reply: &Arc<dyn FrameSink>,
    ) {
        let entry = match peer_name(peer) {
            Ok(entry) => entry,
            Err(error) => return self.reject(&request, None, error, reply),
        };
        // The request counts as in flight until its final frame is sent, so that a drain waits for
        // it.
        let longest = self.settings.timeouts.longest_request.as_millis();
        let longest = u64::try_from(longest).unwrap_or(u64::MAX);
        let deadline = self.now() + request.deadline_ms.min(longest);
        let admitted = self.gate.enter().and_then(|in_flight| {
            let decision = self.begin(&request)?;
            Ok((in_flight, decision))
        });
        let (_in_flight, decision) = match admitted {
            Ok(admitted) => admitted,
            Err(error) => return self.reject(&request, Some(&entry), error, reply),
        };
        match decision {
            BeginDecision::Replay(record) => self.replay(&request, &entry, *record, reply),
            BeginDecision::Run => match self.wait_for_start(&request, &entry, deadline, reply) {
                Ok(()) => self.run(&request, &entry, deadline, reply),
                Err(error) => self.reject(&request, Some(&entry), error, reply),
            },
        }
    }

    /// Rejects a request. The attached load report helps the entry to choose another upstream.
    pub(crate) fn reject(
        &self,
        request: &ExecuteRequest,
        entry: Option<&ObjectName>,
        error: ServiceError,
        reply: &Arc<dyn FrameSink>,
    ) {
        self.metrics
            .requests
            .with_label_values(&[error_label(error.kind)])
            .inc();
        let frame = PeerFrame::Refused {
            request: request.request,
            error,
            crashed: false,
            load: Box::new(self.report(entry)),
        };
        // A send error means that the caller has disconnected and needs no rejection.
        drop(reply.send(frame));
    }

    fn begin(&self, request: &ExecuteRequest) -> Result<BeginDecision, ServiceError> {
        self.cache.check_current()?;
        if request.service != self.settings.upstream.service {
            let service = &self.settings.upstream.service;
            return Err(ServiceError::not_run(
                ErrorKind::NotFound,
                format!("this upstream runs {service}, not {}", request.service),
            ));
        }
        let now = self.now();
        let mut state = self.lock();
        state.quarantine.check(now, &request.digest)?;
        state.table.begin(now, request)
    }

    /// Queues a request and waits until it may be sent to the upstream.
    fn wait_for_start(
        &self,
        request: &ExecuteRequest,
        entry: &ObjectName,
        deadline: Moment,
        reply: &Arc<dyn FrameSink>,
    ) -> Result<(), ServiceError> {
        let id = request.request;
        self.confirm_boot();
        let now = self.now();
        {
            let mut state = self.lock();
            state.waiting.insert(id, thread::current());
            if let Err(error) = state
                .queue
                .offer(now, admission_request(request, entry, deadline))
            {
                state.waiting.remove(&id);
                state.table.release(&id);
                return Err(error);
            }
            state.process_queue(now);
        }
        loop {
            {
                let mut state = self.lock();
                match state.take_decision(&id) {
                    Some(QueueDecision::Start) => return Ok(()),
                    Some(QueueDecision::Reject(error)) => return Err(error),
                    None => {}
                }
                let disconnected = reply.is_closed();
                if disconnected && state.queue.withdraw(&id) == WithdrawOutcome::Removed {
                    state.waiting.remove(&id);
                    state.table.release(&id);
                    return Err(caller_disconnected_error());
                }
            }
            thread::park_timeout(CALLER_CHECK_INTERVAL);
        }
    }

    /// Sends the stored response of an execution that finished earlier.
    fn replay(
        &self,
        request: &ExecuteRequest,
        entry: &ObjectName,
        mut record: ExecutionRecord,
        reply: &Arc<dyn FrameSink>,
    ) {
        let remaining = match remaining_response(request, &record) {
            Ok(remaining) => remaining,
            Err(error) => return self.reject(request, Some(entry), error, reply),
        };
        let mut frames = Vec::new();
        if matches!(request.body, WorkBody::Call(_)) {
            frames.push(PeerFrame::Head {
                request: request.request,
                status: record.status,
                headers: record.headers.clone(),
            });
        }
        // If the entry received nothing in an earlier attempt, the body is sent in the record.
        let mut chunks = 0;
        if let Some(remaining) = remaining {
            record.answer = Vec::new();
            record.answer_kept = false;
            frames.extend(remaining);
            chunks = u32::try_from(frames.len()).unwrap_or(u32::MAX);
        }
        let tokens = u64::from(record.labels.token_count());
        let executed = record.request;
        frames.push(PeerFrame::Finished {
            request: request.request,
            chunks,
            record: Box::new(record),
            load: Box::new(self.report(Some(entry))),
        });
        for frame in frames {
            if reply.send(frame).is_err() {
                return;
            }
        }
        let now = self.now();
        let mut state = self.lock();
        if state.mark_billed(now, &executed) {
            let unix_ms = catkindeck::time::unix_ms();
            let customer = request.customer.as_ref();
            state
                .usage
                .count(unix_ms, customer, &request.service, 1, tokens);
        }
        drop(state);
        self.metrics.requests.with_label_values(&["replayed"]).inc();
    }
}

fn admission_request(
    request: &ExecuteRequest,
    entry: &ObjectName,
    deadline: Moment,
) -> AdmissionRequest {
    let service_limit = match &request.body {
        WorkBody::Completion(body) => {
            u64::from(body.max_tokens.saturating_sub(body.resume_tokens)).max(1)
        }
        WorkBody::Call(_) => 1,
    };
    AdmissionRequest {
        request: request.request,
        customer: request.customer.clone(),
        class: request.class,
        priority: request.priority,
        deadline,
        service_limit,
        entry: Some(entry.clone()),
    }
}

/// Returns the chunks that follow those that the entry received in an earlier attempt, or `None` if
/// it received nothing.
///
/// # Errors
///
/// Returns `outcome_unknown` with `finished` if the stored response does not start with the text
/// that the entry received, or if the remaining part has several versions, because their boundaries
/// in the text are not stored.
fn remaining_response(
    request: &ExecuteRequest,
    record: &ExecutionRecord,
) -> Result<Option<Vec<PeerFrame>>, ServiceError> {
    let WorkBody::Completion(body) = &request.body else {
        return Ok(None);
    };
    if body.resume_tokens == 0 {
        return Ok(None);
    }
    let unusable = || ServiceError {
        kind: ErrorKind::OutcomeUnknown,
        execution: ExecutionOutcome::Finished,
        detail: format!(
            "the request ran, but its stored response cannot be resumed after {} tokens",
            body.resume_tokens
        ),
    };
    let remaining = record
        .answer
        .strip_prefix(body.resume_text.as_bytes())
        .ok_or_else(unusable)?;
    let total = record.labels.token_count();
    let tokens = total.checked_sub(body.resume_tokens).ok_or_else(unusable)?;
    if tokens == 0 {
        return Ok(Some(Vec::new()));
    }
    let range = record.labels.ranges.last().ok_or_else(unusable)?;
    if range.start > body.resume_tokens {
        return Err(unusable());
    }
    Ok(Some(vec![PeerFrame::Chunk {
        request: request.request,
        sequence: 0,
        bytes: remaining.to_vec(),
        tokens,
        version: range.version,
    }]))
}
