//! Calls of other processes to this entry.

use {
    crate::{events::PEER_REFUSED, forward::RequestForwarder},
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        link::{FrameSink, PeerHandler, PeerIdentity, PeerRole},
        log_event,
        message::{PeerFrame, PeerRequest, StepAnswer},
    },
    catkindeck_control::step::StepService,
    catkindeck_health::DrainGate,
    std::sync::Arc,
};

/// The name under which a [`ConfigReceiver`] is registered in the kernel.
pub const CONFIG_RECEIVER: &str = "config-receiver";

/// Takes configurations that other entries push.
pub trait ConfigReceiver: Send + Sync {
    /// Takes `snapshot` if its revision is higher than the one in use.
    ///
    /// # Errors
    ///
    /// Returns an error if this process does not take configurations from peers.
    fn receive(&self, snapshot: ConfigSnapshot) -> Result<ConfigRevision, ServiceError>;
}

/// Answers other entries, agents and operators' commands.
pub struct EntryPeer {
    forwarder: Arc<RequestForwarder>,
    receiver: Option<Arc<dyn ConfigReceiver>>,
    steps: Option<Arc<dyn StepService>>,
    gate: Arc<DrainGate>,
}

impl EntryPeer {
    /// Makes the handler.
    pub fn new(
        forwarder: Arc<RequestForwarder>,
        receiver: Option<Arc<dyn ConfigReceiver>>,
        steps: Option<Arc<dyn StepService>>,
        gate: Arc<DrainGate>,
    ) -> Self {
        Self {
            forwarder,
            receiver,
            steps,
            gate,
        }
    }

    fn answer(&self, peer: &PeerIdentity, request: PeerRequest) -> Result<PeerFrame, ServiceError> {
        let source = self.forwarder.source();
        match request {
            PeerRequest::ReadRevision => Ok(PeerFrame::Revision(source.current().revision)),
            PeerRequest::FetchConfiguration => {
                // A process without a configuration must not hand the empty one out as real.
                let snapshot = source.current();
                if snapshot.revision == ConfigRevision::default() {
                    let detail = "this entry has no configuration yet";
                    return Err(ServiceError::not_run(ErrorKind::NotFound, detail));
                }
                Ok(PeerFrame::Configuration(Box::new((*snapshot).clone())))
            }
            PeerRequest::PushConfiguration(snapshot) => {
                require_entry(peer)?;
                let receiver = self.receiver.as_ref().ok_or_else(|| {
                    let detail = "this entry reads its configuration from a file";
                    ServiceError::not_run(ErrorKind::Forbidden, detail)
                })?;
                Ok(PeerFrame::Revision(receiver.receive(*snapshot)?))
            }
            PeerRequest::ReportCrashes { crashes } => {
                require_entry(peer)?;
                self.forwarder.learn_crashes(&crashes);
                Ok(PeerFrame::Done)
            }
            PeerRequest::ForwardStep(step) => {
                require_entry(peer)?;
                // The exit waits for a step's request like for a caller's.
                let _guard = self.gate.enter()?;
                let answer = match &self.steps {
                    Some(steps) => steps.handle_forwarded(step),
                    None => StepAnswer::Refused(ServiceError::not_run(
                        ErrorKind::NotFound,
                        "this entry serves no training runs",
                    )),
                };
                Ok(PeerFrame::StepAnswer(answer))
            }
            _ => Err(ServiceError::not_run(
                ErrorKind::Forbidden,
                "an entry does not answer this call; it is addressed to agents",
            )),
        }
    }
}

impl PeerHandler for EntryPeer {
    fn handle(&self, peer: &PeerIdentity, request: PeerRequest, reply: Arc<dyn FrameSink>) {
        let frame = self.answer(peer, request).unwrap_or_else(|error| {
            log_event!(self.forwarder.logger(), PEER_REFUSED; "peer" => &peer.host,
                "kind" => %error.kind);
            PeerFrame::Failed(error)
        });
        // The error means that the peer no longer waits.
        let _ = reply.send(frame);
    }
}

fn require_entry(peer: &PeerIdentity) -> Result<(), ServiceError> {
    if peer.role == PeerRole::Entry {
        return Ok(());
    }
    Err(ServiceError::not_run(
        ErrorKind::Forbidden,
        "only entries may do this",
    ))
}
