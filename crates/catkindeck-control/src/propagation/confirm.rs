//! Decides when a committed configuration is in force everywhere. Uses no clocks, threads or
//! sockets.

use {
    crate::{intent::PropagationState, source::FRESHNESS_BOUND_MS},
    catkindeck::{Moment, config::ConfigRevision, id::ObjectName},
};

/// The margin for clocks whose rates differ by up to 5 % over the freshness bound, in milliseconds.
const CLOCK_DRIFT_MARGIN_MS: u64 = FRESHNESS_BOUND_MS / 20;

/// A node that must confirm a revision.
#[derive(Debug, Clone)]
pub struct ConfirmNode {
    pub host: ObjectName,
    pub zone: ObjectName,
    /// When the node confirmed, or `None` if it has not.
    pub confirmed: Option<Moment>,
}

/// Counts the confirmations of one revision.
///
/// A node that does not confirm counts as lapsed [`FRESHNESS_BOUND_MS`] after all nodes in a
/// majority of the zones confirmed. From that confirmation on, it gets no evidence for an older
/// revision, neither from the store nor from a majority of the zones, so its configuration has
/// expired.
#[derive(Debug, Clone)]
pub struct ConfirmTally {
    revision: ConfigRevision,
    committed: Moment,
    zone_lists: [Vec<ObjectName>; 2],
    nodes: Vec<ConfirmNode>,
}

impl ConfirmTally {
    /// Creates a tally for a revision that was committed at `committed` or before. `zone_lists`
    /// contains the zones of the previous configuration and of this one.
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

    /// Replaces the nodes by the current ones of the host list. The confirmations of nodes that are
    /// still listed are kept.
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

    /// Records that a node uses the revision `used`, which confirms this revision and all lower
    /// ones.
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
        let lapsed = self.majority_confirmed_at().is_some_and(|at| {
            now.since(at.max(self.committed)) > FRESHNESS_BOUND_MS + CLOCK_DRIFT_MARGIN_MS
        });
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        PropagationState {
            confirmed: count(self.nodes.len() - unconfirmed),
            lapsed: if lapsed { count(unconfirmed) } else { 0 },
            waiting: if lapsed { 0 } else { count(unconfirmed) },
        }
    }

    /// Returns when all nodes in a majority of the zones had confirmed, for the zones before the
    /// change as well as for those after it.
    fn majority_confirmed_at(&self) -> Option<Moment> {
        let [before, after] = &self.zone_lists;
        let before = if before.is_empty() { after } else { before };
        Some(self.majority_of(before)?.max(self.majority_of(after)?))
    }

    fn majority_of(&self, zones: &[ObjectName]) -> Option<Moment> {
        let mut moments: Vec<Moment> = zones
            .iter()
            .filter_map(|zone| self.zone_confirmed_at(zone))
            .collect();
        moments.sort_unstable();
        moments.get(zones.len() / 2).copied()
    }

    /// Returns when the last node of a zone confirmed, or `None` if a node has not confirmed yet or
    /// the zone has no nodes.
    fn zone_confirmed_at(&self, zone: &ObjectName) -> Option<Moment> {
        let nodes = self.nodes.iter().filter(|node| node.zone == *zone);
        let moments: Option<Vec<Moment>> = nodes.map(|node| node.confirmed).collect();
        moments?.into_iter().max()
    }
}
