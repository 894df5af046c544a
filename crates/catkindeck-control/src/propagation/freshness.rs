//! Decides whether a node's configuration is the newest one. Uses no clocks, threads or sockets.

use {
    crate::source::FRESHNESS_BOUND_MS,
    catkindeck::{
        Moment, SortedMap, config::ConfigRevision, id::ObjectName, message::PropagationReport,
    },
};

/// Tracks the evidence that the configuration in use is the newest one.
///
/// Evidence is a moment at which no higher revision existed. A node gets it from the store, or from
/// peers, which report the age of their own evidence. While no node reaches the store, it also
/// counts as evidence if a majority of the availability zones knows of no higher revision. This is
/// safe because a change is accepted only once it is in force in a majority of the zones or at
/// every live node, so a partition of the fleet cannot keep itself fresh. A node without evidence
/// since its start does not count for its zone, because it may have lost a revision that it
/// confirmed before the restart.
#[derive(Debug, Clone)]
pub struct FreshnessTracker {
    zone: ObjectName,
    zone_count: usize,
    started: Moment,
    /// Whether this node has had evidence since its start and therefore counts for its zone.
    eligible: bool,
    in_use: ConfigRevision,
    known: ConfigRevision,
    evidence: Option<Moment>,
    votes: SortedMap<ObjectName, Moment>,
    last_peer_report: Option<Moment>,
}

impl FreshnessTracker {
    /// Creates the tracker of a node in `zone` that starts at `started` without a configuration.
    pub fn new(zone: ObjectName, started: Moment) -> Self {
        Self {
            zone,
            // Until the zones are known, no number of them is a majority.
            zone_count: usize::MAX,
            started,
            eligible: false,
            in_use: ConfigRevision::default(),
            known: ConfigRevision::default(),
            evidence: None,
            votes: SortedMap::new(),
            last_peer_report: None,
        }
    }

    pub fn revision_in_use(&self) -> ConfigRevision {
        self.in_use
    }

    /// Returns the newer revision that must be fetched before authenticated requests may be served,
    /// if there is one.
    pub fn revision_to_fetch(&self) -> Option<ConfigRevision> {
        (self.known > self.in_use).then_some(self.known)
    }

    /// Records that a read of the store, sent at `sent_at`, returned a head with `revision`.
    pub fn on_head(&mut self, revision: ConfigRevision, sent_at: Moment) {
        self.record(revision, Some(sent_at));
        self.update_eligibility();
    }

    /// Records the revision in a message of a peer.
    pub fn on_message(&mut self, revision: ConfigRevision) {
        self.known = self.known.max(revision);
    }

    /// Records the report of a peer that was polled at `sent_at`.
    pub fn on_report(&mut self, report: &PropagationReport, sent_at: Moment) {
        let evidence = report.age_ms.map(|age_ms| sent_at - age_ms);
        self.record(report.revision, evidence);
        self.update_eligibility();
        if !report.settled {
            return;
        }
        // The peer counts for its zone and knows of no higher revision than this node does now.
        if report.zone == self.zone {
            self.last_peer_report = self.last_peer_report.max(Some(sent_at));
        } else {
            let vote = self
                .votes
                .get_or_insert_with(report.zone.clone(), || sent_at);
            *vote = sent_at.max(*vote);
        }
        self.update_eligibility();
    }

    /// Records that a fetched configuration with `zone_count` zones is in use from now on.
    ///
    /// Returns false and changes nothing if the configuration in use has the same or a higher
    /// revision.
    pub fn on_fetched(&mut self, revision: ConfigRevision, zone_count: usize) -> bool {
        if revision <= self.in_use {
            return false;
        }
        self.on_message(revision);
        self.in_use = revision;
        self.zone_count = zone_count.max(1);
        true
    }

    /// Returns the age of the newest evidence for the highest known revision, in milliseconds.
    pub fn age_ms(&self, now: Moment) -> Option<u64> {
        let newest = self.evidence.max(self.majority_since());
        newest.map(|moment| now.since(moment))
    }

    /// Returns whether authenticated requests may be served.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let recent = self
            .age_ms(now)
            .is_some_and(|age| age <= FRESHNESS_BOUND_MS);
        recent && self.in_use == self.known && self.in_use > ConfigRevision::default()
    }

    /// Creates the report for peers that poll this node. `reader` tells them whether this node is
    /// one that they should prefer to poll.
    pub fn report(&self, reader: bool, now: Moment) -> PropagationReport {
        PropagationReport {
            revision: self.known,
            zone: self.zone.clone(),
            age_ms: self.age_ms(now),
            reader,
            settled: self.eligible,
            used: self.in_use == self.known,
        }
    }

    /// Records a revision that exists and a moment at which no higher one existed. Earlier evidence
    /// for a lower revision stays valid, because no higher revision existed at that moment.
    fn record(&mut self, revision: ConfigRevision, evidence: Option<Moment>) {
        self.known = self.known.max(revision);
        self.evidence = self.evidence.max(evidence);
    }

    fn update_eligibility(&mut self) {
        let newest = self.evidence.max(self.majority_since());
        self.eligible |= newest.is_some_and(|moment| moment > self.started);
    }

    /// Returns the latest moment since which a majority of the zones has reported. This zone is
    /// counted if this node is eligible.
    fn majority_since(&self) -> Option<Moment> {
        let others_needed = match (self.eligible, self.zone_count) {
            (true, 1) => return self.last_peer_report,
            (true, count) => count / 2,
            (false, count) => count / 2 + 1,
        };
        let mut votes: Vec<Moment> = self.votes.values().copied().collect();
        votes.sort_unstable_by(|left, right| right.cmp(left));
        votes.get(others_needed - 1).copied()
    }
}
