//! Notifies the agents of a zone of changes to the zone's state before the configuration reaches
//! them.

use {
    crate::{authority::ControlLease, events, load::query_agents, members::UpstreamWithHostState},
    catkindeck::{
        ServiceError, SortedMap,
        config::ZoneState,
        id::{ObjectName, RequestId},
        link::PeerLink,
        log_event,
        message::{OrderKind, PeerFrame, PeerRequest, UpstreamOrder},
    },
    slog::Logger,
    std::sync::Arc,
};

/// The number of agents that are notified between two lease checks.
const BATCH_LEN: usize = 64;

/// Sends the state of a zone to its agents until they acknowledge it.
///
/// When a zone is taken out of service, its agents must know within 2 s. The configuration itself
/// may take longer to reach them (`docs/design.md`, decision 9).
pub struct ZoneAnnouncer {
    link: Arc<dyn PeerLink>,
    lease: Arc<dyn ControlLease>,
    zone: ObjectName,
    /// The fencing token under which `acknowledged` was collected. If the token changes, another
    /// holder may have sent a different state in the meantime.
    fencing_token: u64,
    acknowledged: SortedMap<ObjectName, ZoneState>,
    logger: Logger,
}

impl ZoneAnnouncer {
    /// Creates an announcer for the agents of `zone`, whose orders are sent under the zone's lease.
    pub fn new(
        link: Arc<dyn PeerLink>,
        lease: Arc<dyn ControlLease>,
        zone: ObjectName,
        logger: Logger,
    ) -> Self {
        Self {
            link,
            lease,
            zone,
            fencing_token: 0,
            acknowledged: SortedMap::new(),
            logger,
        }
    }

    /// Sends `state` to the agents of the zone that have not acknowledged it, and returns how many
    /// have still not done so.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if the lease is not held.
    pub fn announce(
        &mut self,
        members: &[UpstreamWithHostState],
        state: ZoneState,
    ) -> Result<usize, ServiceError> {
        let proof = self.lease.check()?;
        if proof.number != self.fencing_token {
            self.fencing_token = proof.number;
            self.acknowledged.clear();
        }
        let own = |member: &&UpstreamWithHostState| member.upstream.zone == self.zone;
        let pending: Vec<UpstreamWithHostState> = members
            .iter()
            .filter(own)
            .filter(|member| self.acknowledged.get(&member.upstream.name) != Some(&state))
            .cloned()
            .collect();
        let mut acknowledged_count = 0;
        for batch in pending.chunks(BATCH_LEN) {
            let fence = self.lease.check()?.number;
            if fence != self.fencing_token {
                break;
            }
            let responses = query_agents(self.link.as_ref(), batch, |_| {
                PeerRequest::Order(UpstreamOrder {
                    order: RequestId::random(),
                    lease: self.zone.clone(),
                    fence,
                    kind: OrderKind::SetZone(state),
                })
            });
            for (host, frame) in responses {
                if frame == PeerFrame::Done {
                    self.acknowledged.insert(host, state);
                    acknowledged_count += 1;
                }
            }
        }
        if acknowledged_count > 0 {
            log_event!(self.logger, events::ZONE_ANNOUNCED;
                "zone" => %self.zone, "out" => state == ZoneState::Out, "agents" => acknowledged_count);
        }
        Ok(pending.len() - acknowledged_count)
    }
}
