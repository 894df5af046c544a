//! What one owner of jobs may use at each engine, for the load of several owners that start items at the same
//! engines (`docs/design/ownership.md`).

use {
    super::{selection::rendezvous_score, upstream_table::UpstreamTable},
    catkindeck::{Moment, SortedMap, id::ObjectName, message},
};

/// How long granted places may be used after the request for them was sent, in milliseconds. It covers a lost
/// request and its repetition.
pub const PLACE_TERM_MS: u64 = 2_000;

/// The places of an engine that this process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceLimit {
    /// The places that the leader granted.
    pub granted: u32,
    /// When the grant ends.
    pub until: Moment,
    /// The places without a grant.
    pub even: u32,
    /// The slots of which `even` is a part.
    pub slots: u32,
}

impl PlaceLimit {
    /// Returns the places that may be used now.
    pub fn usable(&self, now: Moment) -> u32 {
        match now < self.until {
            true => self.granted,
            false => self.even,
        }
    }
}

/// Grants of the leader to one owner.
#[message]
pub struct PlaceUpdate {
    /// Names the state of the leader's grants after this update.
    pub sequence: u64,
    /// The places at each engine whose grant changed since the state that the owner knows.
    pub places: Vec<(ObjectName, u32)>,
}

/// The sums of an owner's places over all engines, as shown to operators.
#[message]
#[derive(Copy, Default)]
pub struct PlaceCounts {
    /// The requests in progress.
    pub used: u32,
    /// The places that may be used now.
    pub usable: u32,
    /// The places that may be used without a grant.
    pub even: u32,
    /// The slots of the engines.
    pub slots: u32,
    /// The remaining time of the grants, in milliseconds; zero without grants.
    pub remaining_ms: u64,
}

/// The grants that this process has as an owner.
#[derive(Debug, Clone, Default)]
pub struct PlaceShare {
    /// All owners, of which this process is one; empty while it may use all slots.
    owners: Vec<ObjectName>,
    /// The granted places by the name of the engine.
    granted: SortedMap<ObjectName, u32>,
    sequence: u64,
    until: Moment,
}

impl PlaceShare {
    /// Returns the latest state of the leader's grants that this process knows; zero if it knows none.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Forgets what the former leader's grants were relative to. They stay in use until their end.
    pub fn change_leader(&mut self) {
        self.sequence = 0;
    }

    /// Returns the owners that share the engines.
    pub fn owners(&self) -> &[ObjectName] {
        &self.owners
    }

    /// Applies the leader's answer to a request that was sent at `sent`. The term runs from then, because the
    /// leader cannot have counted it from an earlier moment.
    ///
    /// Returns whether places were taken from this process. Others get them once the leader knows that.
    pub fn apply(&mut self, sent: Moment, update: PlaceUpdate) -> bool {
        if self.sequence == 0 {
            self.granted.clear();
        }
        let mut has_shrunk = false;
        for (upstream, places) in update.places {
            let former = self.granted.insert(upstream, places);
            has_shrunk |= former.is_none_or(|former| places < former);
        }
        self.sequence = update.sequence;
        self.until = self.until.max(sent + PLACE_TERM_MS);
        has_shrunk
    }

    /// Returns the engines at which more requests run than places are granted, with the excess.
    pub fn excess(&self, table: &UpstreamTable) -> Vec<(ObjectName, u32)> {
        let granted = self.granted.iter();
        let excess = granted.filter_map(|(upstream, places)| {
            let state = table.get(table.current(upstream)?);
            let excess = state.in_flight.saturating_sub(*places);
            (excess > 0).then(|| (upstream.clone(), excess))
        });
        excess.collect()
    }

    /// Sets the places of this process, `own`, at each engine. With fewer than two owners it may use all slots.
    pub fn limit(&mut self, table: &mut UpstreamTable, own: &ObjectName, owners: &[ObjectName]) {
        let is_changed = self.owners != owners;
        if is_changed {
            self.owners = owners.to_vec();
        }
        if self.owners.len() < 2 {
            self.granted.clear();
            self.sequence = 0;
            self.until = Moment(0);
            if is_changed {
                table.for_each_mut(|state| state.place_limit = None);
            }
            return;
        }
        table.for_each_mut(|state| {
            let slots = state.record.slots;
            if state.record.weights.is_empty() {
                return;
            }
            let known = state
                .place_limit
                .filter(|limit| !is_changed && limit.slots == slots);
            let even = match known {
                Some(limit) => limit.even,
                None => even_part(&state.record.id, slots, &self.owners, own),
            };
            state.place_limit = Some(PlaceLimit {
                granted: self.granted.get(&state.record.id).copied().unwrap_or(even),
                until: self.until,
                even,
                slots,
            });
        });
        if self.granted.len() > table.len() {
            self.granted
                .retain(|upstream, _| table.current(upstream).is_some());
        }
    }

    /// Returns the sums over all engines.
    pub fn counts(&self, now: Moment, table: &UpstreamTable) -> PlaceCounts {
        let mut counts = PlaceCounts {
            remaining_ms: self.until.since(now),
            ..PlaceCounts::default()
        };
        for (_, state) in table.iter().filter(|(_, state)| is_engine(state)) {
            counts.used += state.in_flight;
            counts.usable += state.places(now);
            counts.slots += state.record.slots;
            counts.even += match state.place_limit {
                Some(limit) => limit.even,
                None => state.record.slots,
            };
        }
        counts
    }
}

/// Returns the part of an engine's slots that an owner may use without a grant. The parts of all owners add up to the
/// slots, and the owners that get one more differ from engine to engine.
pub fn even_part(
    upstream: &ObjectName,
    slots: u32,
    owners: &[ObjectName],
    own: &ObjectName,
) -> u32 {
    let count = u32::try_from(owners.len().max(1)).unwrap_or(u32::MAX);
    let score = |owner: &ObjectName| {
        rendezvous_score(&[upstream.as_str().as_bytes(), owner.as_str().as_bytes()])
    };
    let rest = slots % count;
    if rest == 0 {
        return slots / count;
    }
    let own_score = (score(own), own);
    let before = owners
        .iter()
        .filter(|owner| (score(owner), *owner) > own_score);
    let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
    slots / count + u32::from(rank < rest)
}

fn is_engine(state: &super::upstream::UpstreamState) -> bool {
    !state.record.weights.is_empty()
}
