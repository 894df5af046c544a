//! Which other processes are in reach of this one.

use catkindeck::{Moment, SortedMap, id::IncarnationId};

/// How long a process that did not answer is passed over, in milliseconds. A lost process leaves the
/// list within this time; one that is cut off from this process alone does not.
const UNREACHABLE_BACKOFF_MS: u64 = 5_000;

/// The processes that are asked to pass one call on.
const RELAY_LIMIT: usize = 2;

/// The processes that did not answer lately.
#[derive(Debug, Default)]
pub struct PeerReachability {
    failed: SortedMap<IncarnationId, Moment>,
    /// The process that passed a call on last.
    last_relay: Option<IncarnationId>,
}

impl PeerReachability {
    /// Tells whether a process did not answer lately.
    pub fn in_backoff(&mut self, now: Moment, peer: IncarnationId) -> bool {
        self.failed
            .retain(|_, at| now.since(*at) < UNREACHABLE_BACKOFF_MS);
        self.failed.get(&peer).is_some()
    }

    /// Returns the first of `ranked` that is not known to be out of reach.
    ///
    /// A copy that goes nowhere is worth nothing, so a worse rank that answers goes before a better
    /// one that does not.
    pub fn choose(&mut self, now: Moment, ranked: &[IncarnationId]) -> Option<IncarnationId> {
        let mut ranked = ranked.iter().copied();
        ranked.find(|peer| !self.in_backoff(now, *peer))
    }

    /// Returns the processes to ask for passing a call on to `target`: the one that did so last, then
    /// others of `ranked` in reach.
    pub fn relays(
        &mut self,
        now: Moment,
        target: IncarnationId,
        ranked: &[IncarnationId],
    ) -> Vec<IncarnationId> {
        let last = self
            .last_relay
            .filter(|last_relay| ranked.contains(last_relay));
        let mut relays: Vec<IncarnationId> = Vec::new();
        for peer in last.into_iter().chain(ranked.iter().copied()) {
            let is_new = peer != target && !relays.contains(&peer);
            if is_new && relays.len() < RELAY_LIMIT && !self.in_backoff(now, peer) {
                relays.push(peer);
            }
        }
        relays
    }

    /// Notes that a process passed a call on.
    pub fn relay_succeeded(&mut self, last_relay: IncarnationId) {
        self.last_relay = Some(last_relay);
    }

    /// Notes that a process did not answer.
    pub fn failed(&mut self, now: Moment, peer: IncarnationId) {
        self.failed.insert(peer, now);
    }
}
