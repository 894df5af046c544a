//! The search for the cheapest engine in the order of the index, which ends at the first that no other can beat.
//!
//! Load pattern: a thousand engines and as many waiting items, as in [`super::engine_index`].

use {
    super::{
        engine_index::EngineGroup,
        selection::{EngineCost, EngineQuery, ZONE_DISCOUNT_PERCENT, discount, loaded_cost},
        upstream::{UpstreamKey, UpstreamState},
    },
    catkindeck::Moment,
};

/// The discount for an upstream that probably has the prompt in its cache, in percent.
const CACHE_DISCOUNT_PERCENT: u64 = 15;

/// The discount for an engine with an open connection, in percent. It is less than the cost of a
/// few more requests in progress, because a long stream justifies a new connection.
const CONNECTED_ENGINE_DISCOUNT_PERCENT: u64 = 10;

/// The search for the cheapest engine of a group, in ascending order of the cost without discounts.
pub(super) struct GroupSearch<'a> {
    engines: &'a [(u64, UpstreamKey)],
    /// The factor of these costs, if the time between events is not measured.
    factor: u64,
    is_same_zone: bool,
}

impl<'a> GroupSearch<'a> {
    pub(super) fn new(group: &'a EngineGroup, query: &EngineQuery<'_>, shortest: u64) -> Self {
        Self {
            engines: &group.engines,
            factor: if group.is_measured { 1 } else { shortest },
            is_same_zone: group.zone == *query.zone,
        }
    }

    /// Returns the least cost that an engine with this cost without discounts may have, and its key.
    fn bound_of(&self, (cost, key): (u64, UpstreamKey)) -> (u64, UpstreamKey) {
        let cost = cost.saturating_mul(self.factor);
        (discounted(cost, false, self.is_same_zone, true), key)
    }

    pub(super) fn bound(&self) -> Option<(u64, UpstreamKey)> {
        self.engines.first().map(|engine| self.bound_of(*engine))
    }

    pub(super) fn take(&mut self) -> Option<UpstreamKey> {
        let (first, rest) = self.engines.split_first()?;
        self.engines = rest;
        Some(first.1)
    }

    /// Skips engines that can't cost less than the best one, and tells whether others are left. An engine that is ready
    /// always comes before one that is cold or in backoff.
    pub(super) fn skip_beaten(&mut self, best: Option<&(EngineCost, UpstreamKey)>) -> bool {
        let ready = best.filter(|(best, _)| !best.in_backoff && !best.is_cold);
        while let (Some((best, key)), Some(first)) = (ready, self.engines.first()) {
            let (bound, first_key) = self.bound_of(*first);
            if bound > best.cost {
                return false;
            }
            if bound < best.cost || first_key < *key {
                break;
            }
            // Engines of the same cost follow in the order of their keys, which decides between equals.
            let equal = self.engines.partition_point(|(cost, _)| *cost <= first.0);
            self.engines = &self.engines[equal..];
        }
        !self.engines.is_empty()
    }
}

pub(super) fn engine_cost(
    now: Moment,
    query: &EngineQuery<'_>,
    state: &UpstreamState,
    shortest: u64,
) -> EngineCost {
    let is_cached = query.part.is_some_and(|part| state.has_prompt_part(part));
    let is_same_zone = state.record.zone == *query.zone;
    let is_connected = (query.connected)(state.record.address);
    let cost = loaded_cost(state, state.event_gap_us.max(shortest), state.places(now));
    EngineCost {
        in_backoff: state.in_backoff(now),
        is_cold: state.is_cold(now),
        is_kept: false,
        cost: discounted(cost, is_cached, is_same_zone, is_connected),
    }
}

/// Returns the cost of an engine with the discounts that apply to it.
fn discounted(cost: u64, is_cached: bool, is_same_zone: bool, is_connected: bool) -> u64 {
    let cost = discount(cost, CACHE_DISCOUNT_PERCENT, is_cached);
    let cost = discount(cost, ZONE_DISCOUNT_PERCENT, is_same_zone);
    discount(cost, CONNECTED_ENGINE_DISCOUNT_PERCENT, is_connected)
}
