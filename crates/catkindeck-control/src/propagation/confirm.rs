//! Decides when a committed configuration is in force everywhere. Free of clocks, threads and
//! sockets.

use {
    crate::{intent::PropagationState, source::FRESHNESS_BOUND_MS},
    catkindeck::{Moment, config::ConfigRevision, id::ObjectName},
};

/// Compensates for clocks whose rates differ by up to 5 % over the freshness bound, in milliseconds.
const CLOCK_MARGIN: u64 = FRESHNESS_BOUND_MS / 20;

/// A node that must confirm a revision.
#[derive(Debug, Clone)]
pub struct ConfirmNode {
    pub host: ObjectName,
    pub zone: ObjectName,
    /// The time of its confirmation.
    pub confirmed: Option<Moment>,
}

/// Collects the confirmations of one revision.
///
/// An unreachable node counts as lapsed only [`FRESHNESS_BOUND_MS`] after all nodes of a majority
/// of the zones confirmed: from then on neither the store nor a majority of the zones gives it
/// evidence for an older revision.
#[derive(Debug, Clone)]
pub struct ConfirmTally {
    revision: ConfigRevision,
    committed: Moment,
    zone_lists: [Vec<ObjectName>; 2],
    nodes: Vec<ConfirmNode>,
}

impl ConfirmTally {
    /// Creates a tally for a revision that is known to be committed at `committed`. `zone_lists`
    /// are the zones of the previous configuration and of this one.
    pub fn new(
        revision: ConfigRevision,
        committed: Moment,
        zone_lists: [Vec<ObjectName>; 2],
    ) -> Self {
        Self {
            revision,
            committed,
            zone_lists,
            nodes: Vec::new(),
        }
    }

    /// Sets the nodes to those of the host list, live and leaving. The confirmations of nodes that
    /// remain are kept.
    pub fn set_nodes(&mut self, nodes: impl Iterator<Item = (ObjectName, ObjectName)>) {
        let former = std::mem::take(&mut self.nodes);
        self.nodes = nodes
            .map(|(host, zone)| {
                let known = former.iter().find(|node| node.host == host);
                ConfirmNode {
                    confirmed: known.and_then(|node| node.confirmed),
                    host,
                    zone,
                }
            })
            .collect();
    }

    /// Returns whether no nodes have been set yet.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    pub fn unconfirmed_nodes(&self) -> Vec<ObjectName> {
        let unconfirmed = self.nodes.iter().filter(|node| node.confirmed.is_none());
        unconfirmed.map(|node| node.host.clone()).collect()
    }

    /// Records the revision that a node uses.
    pub fn on_revision_in_use(&mut self, host: &ObjectName, used: ConfigRevision, now: Moment) {
        if used < self.revision {
            return;
        }
        if let Some(node) = self.nodes.iter_mut().find(|node| node.host == *host) {
            node.confirmed.get_or_insert(now);
        }
    }

    /// Returns how far the revision has propagated.
    pub fn state(&self, now: Moment) -> PropagationState {
        let unconfirmed = self.unconfirmed_nodes().len();
        let lapsed = self.majority_at().is_some_and(|at| {
            now.since(at.max(self.committed)) > FRESHNESS_BOUND_MS + CLOCK_MARGIN
        });
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        PropagationState {
            confirmed: count(self.nodes.len() - unconfirmed),
            lapsed: if lapsed { count(unconfirmed) } else { 0 },
            waiting: if lapsed { 0 } else { count(unconfirmed) },
        }
    }

    /// Returns when all nodes of a majority of the zones had confirmed, both among the zones before
    /// the change and among those after it.
    fn majority_at(&self) -> Option<Moment> {
        let [before, after] = &self.zone_lists;
        let before = if before.is_empty() { after } else { before };
        Some(self.majority_of(before)?.max(self.majority_of(after)?))
    }

    fn majority_of(&self, zones: &[ObjectName]) -> Option<Moment> {
        let mut moments: Vec<Moment> = zones.iter().filter_map(|zone| self.zone_at(zone)).collect();
        moments.sort_unstable();
        moments.get(zones.len() / 2).copied()
    }

    /// Returns when the last node of a zone confirmed, or `None` while one has not or if the zone
    /// has no nodes.
    fn zone_at(&self, zone: &ObjectName) -> Option<Moment> {
        let nodes = self.nodes.iter().filter(|node| node.zone == *zone);
        let moments: Option<Vec<Moment>> = nodes.map(|node| node.confirmed).collect();
        moments?.into_iter().max()
    }
}
