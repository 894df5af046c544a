//! Announcements of zones that go out or come back, ahead of the configuration.

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

/// The name under which revisions fence announcements.
///
/// A revision only grows, as a lease's number does, so an announcement that arrives late cannot
/// undo a newer one.
const REVISION_FENCE: &str = "config-revision";

/// The number of agents that are told at once.
///
/// Entries stop choosing the zone by themselves, so its agents hear of the change from nobody else;
/// all of a zone with several hundred are to know within 2 s (`docs/design.md`, G10).
const SEND_THREADS: usize = 64;

/// The longest time for one agent.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells agents of a committed change of their zone's state.
pub trait IntentAnnouncer: Send + Sync {
    /// Announces what changed from `before` to `after`; agents that are not reached learn of it by
    /// the configuration.
    fn announce(&self, before: &ConfigSnapshot, after: &ConfigSnapshot);
}

/// Announces by orders to the agents.
pub struct OrderAnnouncer {
    link: Arc<dyn PeerLink>,
}

impl OrderAnnouncer {
    /// Makes the announcer.
    pub fn new(link: Arc<dyn PeerLink>) -> Self {
        Self { link }
    }

    fn notify(&self, upstream: &UpstreamRecord, revision: ConfigRevision, state: ZoneState) {
        let Ok(lease) = ObjectName::try_from(REVISION_FENCE) else {
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
            // Whatever the agent answers, the configuration follows.
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
