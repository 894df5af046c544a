//! Tells the agents of a zone ahead of the configuration that the zone went out or came back.

use {
    crate::{authority::ControlLease, events, load::query_agents, members::MemberView},
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

/// Agents told between two looks at the lease.
const BATCH_LEN: usize = 64;

/// Tells each agent of a zone the zone's state until the agent has taken it.
///
/// This is how the target of 2 s for a zone that goes out is met, while the configuration itself may
/// take longer to spread (`docs/design.md`, decision 9).
pub struct ZoneAnnouncer {
    link: Arc<dyn PeerLink>,
    lease: Arc<dyn ControlLease>,
    zone: ObjectName,
    /// The number under which `acknowledged` was reached; another holder may have told something else.
    fencing_token: u64,
    acknowledged: SortedMap<ObjectName, ZoneState>,
    logger: Logger,
}

impl ZoneAnnouncer {
    /// Makes an announcer for the agents of `zone`, under the zone's lease.
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

    /// Tells `state` to the members of the zone that have not taken it; returns how many have not.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if the lease is not held.
    pub fn announce(
        &mut self,
        members: &[MemberView],
        state: ZoneState,
    ) -> Result<usize, ServiceError> {
        let proof = self.lease.check()?;
        if proof.number != self.fencing_token {
            self.fencing_token = proof.number;
            self.acknowledged.clear();
        }
        let own = |member: &&MemberView| member.upstream.zone == self.zone;
        let pending: Vec<MemberView> = members
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
            let answers = query_agents(self.link.as_ref(), batch, |_| {
                PeerRequest::Order(UpstreamOrder {
                    order: RequestId::random(),
                    lease: self.zone.clone(),
                    fence,
                    kind: OrderKind::SetZone(state),
                })
            });
            for (host, frame) in answers {
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
