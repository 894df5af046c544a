//! Handles requests from other processes.

use {
    crate::{
        core::{AgentCore, peer_name},
        events,
    },
    catkindeck::{
        ErrorKind, ServiceError,
        id::{IncarnationId, ObjectName, RequestId},
        link::{FrameSink, PeerHandler, PeerIdentity, PeerRole},
        log_event,
        message::{ExecutionRecord, ExecutionState, PeerFrame, PeerRequest, SampleRecord},
        time::unix_ms,
    },
    catkindeck_policy::RevokeOutcome,
    std::sync::Arc,
};

/// The size of sample texts from which a frame is sent, in bytes.
const SAMPLE_BYTES_PER_FRAME: usize = 1 << 20;

/// Dispatches requests from other processes to the agent.
pub struct AgentHandler {
    core: Arc<AgentCore>,
}

impl AgentHandler {
    pub fn new(core: Arc<AgentCore>) -> Self {
        Self { core }
    }

    fn respond(
        &self,
        peer: &PeerIdentity,
        request: PeerRequest,
    ) -> Result<Vec<PeerFrame>, ServiceError> {
        let core = &self.core;
        let frame = match request {
            PeerRequest::Revoke {
                request,
                incarnation,
            } => core.revoke(&request, &incarnation)?,
            PeerRequest::FindExecution {
                customer,
                route,
                idempotency_key,
                forbid_start,
            } => {
                let customer = customer.as_ref();
                let record =
                    core.find_execution(customer, &route, &idempotency_key, forbid_start)?;
                PeerFrame::Execution(record.map(Box::new))
            }
            PeerRequest::Cancel { request } => {
                core.cancel(&request);
                PeerFrame::Done
            }
            PeerRequest::ReadLoad => {
                let entry = match peer.role {
                    PeerRole::Entry => Some(peer_name(peer)?),
                    PeerRole::Agent | PeerRole::Operator => None,
                };
                PeerFrame::Load(Box::new(core.report(entry.as_ref())))
            }
            PeerRequest::Order(order) => {
                core.order(&order)?;
                PeerFrame::Done
            }
            PeerRequest::PushConfiguration(config) => {
                PeerFrame::Revision(core.cache().accept(*config))
            }
            PeerRequest::FetchConfiguration => {
                let config = core.cache().current();
                PeerFrame::Configuration(Box::new((*config).clone()))
            }
            PeerRequest::ReadRevision => PeerFrame::Revision(core.cache().current().revision),
            PeerRequest::CollectUsage { sealed_through } => {
                let mut state = core.lock();
                let finalized = state.finalized;
                let lines = state.usage.collect(unix_ms(), sealed_through, finalized);
                PeerFrame::Usage(lines)
            }
            PeerRequest::CollectSamples { run, step } => {
                let samples = core.lock().samples.collect(&run, step);
                return Ok(sample_frames(samples));
            }
            PeerRequest::ReleaseSamples { samples } => {
                core.lock().samples.release(&samples);
                PeerFrame::Done
            }
            PeerRequest::ReportCrashes { crashes } => {
                let now = core.now();
                let mut state = core.lock();
                for crash in &crashes {
                    state.quarantine.report(now, crash);
                }
                PeerFrame::Done
            }
            PeerRequest::AdoptExecutions { records } => {
                let now = core.now();
                core.lock().table.adopt(now, records)?;
                PeerFrame::Done
            }
            PeerRequest::Execute(_)
            | PeerRequest::ForwardStep(_)
            | PeerRequest::ReadSpread
            | PeerRequest::FetchShards { .. } => {
                return Err(ServiceError::not_run(
                    ErrorKind::BadRequest,
                    "only entries accept this kind of request",
                ));
            }
        };
        Ok(vec![frame])
    }
}

impl PeerHandler for AgentHandler {
    fn handle(&self, peer: &PeerIdentity, request: PeerRequest, reply: Arc<dyn FrameSink>) {
        if let Err(error) = check_role(peer, &request) {
            log_event!(
                self.core.logger, events::PEER_REFUSED;
                "host" => &peer.host, "reason" => error.to_string(),
            );
            // A send error means that the caller disconnected and needs no rejection.
            drop(reply.send(PeerFrame::Failed(error)));
            return;
        }
        if let PeerRequest::Execute(request) = request {
            return self.core.execute(peer, *request, &reply);
        }
        let frames = self
            .respond(peer, request)
            .unwrap_or_else(|error| vec![PeerFrame::Failed(error)]);
        for frame in frames {
            if let Err(error) = reply.send(frame) {
                // The caller receives this error only if the frame exceeded the size limit. For any
                // other reason to fail, the stream is closed.
                drop(reply.send(PeerFrame::Failed(error)));
                return;
            }
        }
    }
}

impl AgentCore {
    /// Prevents a request from starting. If it has started already, returns its execution record.
    fn revoke(
        &self,
        request: &RequestId,
        incarnation: &IncarnationId,
    ) -> Result<PeerFrame, ServiceError> {
        let now = self.now();
        let mut state = self.lock();
        match state.table.revoke(now, request, incarnation)? {
            RevokeOutcome::Revoked => {
                state.reject_queued(request, revoked_error());
                Ok(PeerFrame::Revoked { request: *request })
            }
            RevokeOutcome::Known(record) => Ok(PeerFrame::Execution(Some(record))),
        }
    }

    fn find_execution(
        &self,
        customer: Option<&ObjectName>,
        route: &ObjectName,
        idempotency_key: &str,
        forbid_start: bool,
    ) -> Result<Option<ExecutionRecord>, ServiceError> {
        let now = self.now();
        let mut state = self.lock();
        if !forbid_start {
            return state.table.find(now, customer, route, idempotency_key);
        }
        let record = state.table.forbid(now, customer, route, idempotency_key)?;
        if record.state == ExecutionState::Forbidden {
            state.reject_queued(&record.request, revoked_error());
        }
        Ok(Some(record))
    }

    /// Cancels a request whose result is no longer needed, unless it is running and not idempotent.
    fn cancel(&self, request: &RequestId) {
        let mut state = self.lock();
        if state.reject_queued(request, revoked_error()) {
            state.table.release(request);
            return;
        }
        if let Some(work) = state.running.get_mut(request)
            && work.idempotent
        {
            work.cancelled = true;
        }
    }
}

/// Checks that the role of a peer permits its request.
///
/// # Errors
///
/// Returns `forbidden` with `not_run` if it does not.
pub fn check_role(peer: &PeerIdentity, request: &PeerRequest) -> Result<(), ServiceError> {
    let allowed = match request {
        PeerRequest::ReadLoad | PeerRequest::ReadRevision | PeerRequest::FetchConfiguration => true,
        PeerRequest::AdoptExecutions { .. } => peer.role == PeerRole::Agent,
        _ => peer.role == PeerRole::Entry,
    };
    if allowed {
        return Ok(());
    }
    Err(ServiceError::not_run(
        ErrorKind::Forbidden,
        "the role in the peer's certificate does not permit this request",
    ))
}

/// Splits samples into frames that are smaller than the message size limit.
fn sample_frames(samples: Vec<SampleRecord>) -> Vec<PeerFrame> {
    let mut frames = Vec::new();
    let mut batch = Vec::new();
    let mut text_bytes = 0;
    for sample in samples {
        text_bytes += sample.text.len();
        batch.push(sample);
        if text_bytes >= SAMPLE_BYTES_PER_FRAME {
            frames.push(PeerFrame::Samples(std::mem::take(&mut batch)));
            text_bytes = 0;
        }
    }
    if !batch.is_empty() || frames.is_empty() {
        frames.push(PeerFrame::Samples(batch));
    }
    frames
}

fn revoked_error() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Revoked,
        "the request was revoked before it started",
    )
}
