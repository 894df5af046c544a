//! Notification of agents about zone state changes before the configuration reaches them.

use {
    catkindeck::{
        config::{ConfigRevision, ConfigSnapshot, UpstreamRecord, ZoneState},
        id::{ObjectName, RequestId},
        link::PeerLink,
        message::{OrderKind, PeerRequest, UpstreamOrder},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// The lease name under which agents check announcements. Their fencing token is the revision.
///
/// Revisions only increase, as the fencing tokens of a lease do, so an announcement that arrives
/// late cannot undo a newer one.
const REVISION_LEASE_NAME: &str = "config-revision";

/// The number of agents that are notified concurrently.
///
/// Entries stop choosing the zone as soon as they have the configuration, but agents get it later.
/// All agents of a zone, several hundred at the target size, must know within 2 s
/// (`docs/design.md`, G10).
const SEND_THREADS: usize = 64;

/// The timeout of a call to one agent.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Notifies agents of a committed change of their zone's state.
pub trait IntentAnnouncer: Send + Sync {
    /// Announces the changes from `before` to `after`. Agents that cannot be reached learn of them
    /// from the configuration.
    fn announce(&self, before: &ConfigSnapshot, after: &ConfigSnapshot);
}

/// Announces changes by sending orders to the agents.
pub struct OrderAnnouncer {
    link: Arc<dyn PeerLink>,
}

impl OrderAnnouncer {
    pub fn new(link: Arc<dyn PeerLink>) -> Self {
        Self { link }
    }

    fn notify(&self, upstream: &UpstreamRecord, revision: ConfigRevision, state: ZoneState) {
        let Ok(lease) = ObjectName::try_from(REVISION_LEASE_NAME) else {
            return;
        };
        let order = UpstreamOrder {
            order: RequestId::random(),
            lease,
            fence: revision.0,
            kind: OrderKind::SetZone(state),
        };
        let sent = self
            .link
            .call(upstream.agent, PeerRequest::Order(order), CALL_TIMEOUT);
        if let Ok(mut stream) = sent {
            // The response is ignored, because the agent also gets the configuration.
            let _ = stream.receive(CALL_TIMEOUT);
        }
    }
}

impl IntentAnnouncer for OrderAnnouncer {
    fn announce(&self, before: &ConfigSnapshot, after: &ConfigSnapshot) {
        let affected: Vec<(&UpstreamRecord, ZoneState)> = after
            .upstreams
            .iter()
            .filter(|upstream| upstream.removed_ms.is_none())
            .filter_map(|upstream| {
                let state = after.zone(&upstream.zone)?.state;
                let former = before.zone(&upstream.zone)?.state;
                (state != former).then_some((upstream, state))
            })
            .collect();
        let next = AtomicUsize::new(0);
        let notify_next = || {
            while let Some((upstream, state)) = affected.get(next.fetch_add(1, Ordering::Relaxed)) {
                self.notify(upstream, after.revision, *state);
            }
        };
        thread::scope(|scope| {
            for _ in 0..SEND_THREADS.min(affected.len()) {
                scope.spawn(notify_next);
            }
        });
    }
}
