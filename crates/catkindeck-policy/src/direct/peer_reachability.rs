//! Reachability of other gateway processes.

use catkindeck::{Moment, SortedMap, id::IncarnationId};

/// How long a process that did not answer is skipped, in milliseconds.
///
/// A crashed process disappears from the member list within this time; a process that only this one
/// cannot reach stays in it.
const UNREACHABLE_BACKOFF_MS: u64 = 5_000;

/// The number of processes that are asked to relay one call.
pub const RELAY_LIMIT: usize = 2;

/// Tracks the processes that recently did not answer.
#[derive(Debug, Default)]
pub struct PeerReachability {
    failed: SortedMap<IncarnationId, Moment>,
    /// The process that relayed the last call.
    last_relay: Option<IncarnationId>,
}

impl PeerReachability {
    /// Returns whether a process recently did not answer.
    pub fn in_backoff(&mut self, now: Moment, peer: IncarnationId) -> bool {
        self.failed
            .retain(|_, at| now.since(*at) < UNREACHABLE_BACKOFF_MS);
        self.failed.get(&peer).is_some()
    }

    /// Returns the first of `ranked` that is not known to be unreachable.
    ///
    /// An unreachable process cannot keep a copy, so a reachable one is preferred even if it is
    /// ranked lower.
    pub fn choose(&mut self, now: Moment, ranked: &[IncarnationId]) -> Option<IncarnationId> {
        let mut ranked = ranked.iter().copied();
        ranked.find(|peer| !self.in_backoff(now, *peer))
    }

    /// Returns the processes to ask to relay a call to `target`: the one that relayed last, then
    /// other reachable ones of `ranked`.
    pub fn relays(
        &mut self,
        now: Moment,
        target: IncarnationId,
        ranked: &[IncarnationId],
    ) -> Vec<IncarnationId> {
        self.relays_up_to(now, target, ranked, RELAY_LIMIT)
    }

    /// As [`Self::relays`], but with at most `limit` processes, because some may refuse relayed work.
    pub fn relays_up_to(
        &mut self,
        now: Moment,
        target: IncarnationId,
        ranked: &[IncarnationId],
        limit: usize,
    ) -> Vec<IncarnationId> {
        let last = self.last_relay.filter(|relay| ranked.contains(relay));
        let mut relays: Vec<IncarnationId> = Vec::new();
        for peer in last.into_iter().chain(ranked.iter().copied()) {
            let is_new = peer != target && !relays.contains(&peer);
            if is_new && relays.len() < limit && !self.in_backoff(now, peer) {
                relays.push(peer);
            }
        }
        relays
    }

    /// Records that a process relayed a call.
    pub fn record_relay(&mut self, relay: IncarnationId) {
        self.last_relay = Some(relay);
    }

    /// Records that a process refused to relay a call, because it has no room.
    pub fn record_refused_relay(&mut self, relay: IncarnationId) {
        if self.last_relay == Some(relay) {
            self.last_relay = None;
        }
    }

    /// Records that a process did not answer.
    pub fn record_failure(&mut self, now: Moment, peer: IncarnationId) {
        self.failed.insert(peer, now);
    }
}
