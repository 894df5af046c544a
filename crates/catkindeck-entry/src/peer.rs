//! Handles calls from other processes to this entry.

use {
    crate::{events::PEER_REFUSED, forward::RequestForwarder},
    catkindeck::{
        ErrorKind, ServiceError,
        config::ConfigRevision,
        link::{FrameSink, PeerHandler, PeerIdentity, PeerRole},
        log_event,
        message::{PeerFrame, PeerRequest, StepAnswer},
    },
    catkindeck_control::{source::ConfigPeer, step::StepService},
    catkindeck_health::DrainGate,
    std::sync::Arc,
};

/// Handles the calls of other entries, agents and operator commands.
pub struct EntryHandler {
    forwarder: Arc<RequestForwarder>,
    config_peer: Option<Arc<dyn ConfigPeer>>,
    steps: Option<Arc<dyn StepService>>,
    gate: Arc<DrainGate>,
}

impl EntryHandler {
    pub fn new(
        forwarder: Arc<RequestForwarder>,
        config_peer: Option<Arc<dyn ConfigPeer>>,
        steps: Option<Arc<dyn StepService>>,
        gate: Arc<DrainGate>,
    ) -> Self {
        Self {
            forwarder,
            config_peer,
            steps,
            gate,
        }
    }

    fn respond(
        &self,
        peer: &PeerIdentity,
        request: PeerRequest,
    ) -> Result<PeerFrame, ServiceError> {
        match &request {
            PeerRequest::PushConfiguration(_)
            | PeerRequest::ReadSpread
            | PeerRequest::FetchShards { .. } => require_entry(peer)?,
            _ => {}
        }
        let response = self
            .config_peer
            .as_ref()
            .and_then(|peer| peer.answer(&request));
        if let Some(frame) = response {
            return Ok(frame);
        }
        let source = self.forwarder.source();
        match request {
            // Without a replica, the configuration comes from a file on this host.
            PeerRequest::ReadRevision => Ok(PeerFrame::Revision(source.current().revision)),
            PeerRequest::FetchConfiguration => {
                // The empty initial configuration must not be served as a real one.
                let snapshot = source.current();
                if snapshot.revision == ConfigRevision::default() {
                    let detail = "this entry has no configuration yet";
                    return Err(ServiceError::not_run(ErrorKind::NotFound, detail));
                }
                Ok(PeerFrame::Configuration(Box::new((*snapshot).clone())))
            }
            PeerRequest::PushConfiguration(_)
            | PeerRequest::ReadSpread
            | PeerRequest::FetchShards { .. } => Err(ServiceError::not_run(
                ErrorKind::Forbidden,
                "this entry reads its configuration from a file",
            )),
            PeerRequest::ReportCrashes { crashes } => {
                require_entry(peer)?;
                self.forwarder.record_crashes(&crashes);
                Ok(PeerFrame::Done)
            }
            PeerRequest::ForwardStep(step) => {
                require_entry(peer)?;
                // Shutdown waits for a forwarded step as it does for a caller's request.
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
                "entries do not support this call; only agents do",
            )),
        }
    }
}

impl PeerHandler for EntryHandler {
    fn handle(&self, peer: &PeerIdentity, request: PeerRequest, reply: Arc<dyn FrameSink>) {
        let frame = self.respond(peer, request).unwrap_or_else(|error| {
            log_event!(self.forwarder.logger(), PEER_REFUSED; "peer" => &peer.host,
                "kind" => %error.kind);
            PeerFrame::Failed(error)
        });
        // An error means that the peer has closed the stream.
        let _ = reply.send(frame);
    }
}

fn require_entry(peer: &PeerIdentity) -> Result<(), ServiceError> {
    if peer.role == PeerRole::Entry {
        return Ok(());
    }
    Err(ServiceError::not_run(
        ErrorKind::Forbidden,
        "this call is restricted to entries",
    ))
}
