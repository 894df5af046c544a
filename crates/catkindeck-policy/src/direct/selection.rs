//! Selection of an upstream for a request.

use {
    super::{
        engine_search::{GroupSearch, engine_cost},
        plain_load::PlainPace,
        upstream::{SoftwareVersion, UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
    },
    crate::hash,
    catkindeck::{Moment, id::ObjectName, key, token::WeightVersion},
    std::net::SocketAddr,
};

/// The cost added when all slots of an upstream are in use, in percent of the cost of an idle one;
/// it grows linearly with the requests in progress.
const LOAD_COST_PERCENT: u64 = 150;

/// The discount for a plain upstream with an open connection, in percent. Opening a connection
/// costs more than the difference between two idle upstreams.
const CONNECTED_PLAIN_DISCOUNT_PERCENT: u64 = 50;

/// The discount for an upstream in the same availability zone, in percent.
pub(super) const ZONE_DISCOUNT_PERCENT: u64 = 5;

/// A run is slow if its mean time between events exceeds this percentage of the typical one.
const SLOW_PERCENT: u64 = 150;

/// The number of events from which the speed of a run is judged.
const SLOW_CHECK_MIN_EVENTS: u64 = 4;

/// The criteria for selecting an engine.
#[derive(Clone, Copy)]
pub struct EngineQuery<'a> {
    pub service: &'a ObjectName,
    pub model: &'a ObjectName,
    /// The oldest weight version that may run the request.
    pub least_version: WeightVersion,
    /// The software version that must run the request, if it goes on with a stream.
    pub software: Option<&'a SoftwareVersion>,
    /// The digest of the prompt's shared parts.
    pub part: Option<u64>,
    /// The instances that must not be used again for this request.
    pub excluded: &'a [UpstreamKey],
    /// The availability zone of this process.
    pub zone: &'a ObjectName,
    /// Whether an engine that is in backoff may be used, because the request cannot wait.
    pub last_resort: bool,
    /// Returns whether an idle connection to an address is open.
    pub connected: &'a dyn Fn(SocketAddr) -> bool,
}

/// The criteria for selecting a plain upstream.
#[derive(Clone, Copy)]
pub struct PlainQuery<'a> {
    pub service: &'a ObjectName,
    /// Whether slow upstreams are used only if there is no other.
    pub avoids_slow: bool,
    /// Whether upstreams with no free place are used only if there is no other, so that the overflow of an
    /// availability zone goes to another one before callers wait.
    pub avoids_full: bool,
    /// The software version that must run the request, if it goes on with a stream.
    pub software: Option<&'a SoftwareVersion>,
    /// The instances that must not be used again for this request.
    pub excluded: &'a [UpstreamKey],
    /// The availability zone of this process.
    pub zone: &'a ObjectName,
    /// Returns whether an idle connection to an address is open.
    pub connected: &'a dyn Fn(SocketAddr) -> bool,
}

/// How many requests this process may send to one upstream within one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimits {
    /// The limit for an upstream last known to be warm, which may have become cold since.
    pub warm: usize,
    /// The limit for a cold upstream.
    pub cold: usize,
}

impl RateLimits {
    /// The limits for services without a cold start.
    pub const NONE: Self = Self {
        warm: usize::MAX,
        cold: usize::MAX,
    };

    fn allows(self, now: Moment, state: &UpstreamState) -> bool {
        let limit = match state.is_cold(now) {
            true => self.cold,
            false => self.warm,
        };
        limit == usize::MAX || state.rate.allows(now, limit)
    }
}

/// The order in which engines are preferred, lowest first.
#[key]
pub(super) struct EngineCost {
    pub in_backoff: bool,
    pub is_cold: bool,
    /// Whether the free slots are kept for other requests while another engine has some.
    pub is_kept: bool,
    pub cost: u64,
}

impl UpstreamTable {
    /// Selects the engine with a free slot that will probably finish a request first.
    pub fn select_engine(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        limits: RateLimits,
    ) -> Option<UpstreamKey> {
        self.best_engine(now, query, limits, |state| state.is_permitted(now))
    }

    /// Selects the engine for which a permit should be requested, if only permits are missing.
    pub fn select_limited_engine(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        limits: RateLimits,
    ) -> Option<UpstreamKey> {
        self.best_engine(now, query, limits, |state| state.awaits_permit(now))
    }

    /// Selects the plain upstream that will probably answer first.
    pub fn select_plain(
        &self,
        now: Moment,
        query: &PlainQuery<'_>,
        limits: RateLimits,
    ) -> Option<UpstreamKey> {
        self.best_plain(now, query, limits, |state| state.is_permitted(now))
    }

    /// Selects the plain upstream for which a permit should be requested, if only permits are missing.
    pub fn select_limited_plain(
        &self,
        now: Moment,
        query: &PlainQuery<'_>,
        limits: RateLimits,
    ) -> Option<UpstreamKey> {
        self.best_plain(now, query, limits, |state| state.awaits_permit(now))
    }

    /// Returns the moment at which a limited upstream of a service gets its next permit, if upstreams
    /// are unavailable only because of their limits.
    pub fn next_permit(&self, now: Moment, service: &ObjectName) -> Option<Moment> {
        let limited = self.iter().filter(|(key, state)| {
            state.record.service == *service
                && self.accepts_work(*key)
                && !state.is_permitted(now)
                && now < state.permits.denied_until()
        });
        limited.map(|(_, state)| state.permits.denied_until()).min()
    }

    fn best_engine(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        limits: RateLimits,
        admits: impl Fn(&UpstreamState) -> bool,
    ) -> Option<UpstreamKey> {
        let index = self.index();
        let shortest = index.gaps(query.service).first().map_or(1, |(gap, _)| *gap);
        let look = |key: UpstreamKey| {
            self.count_look();
            let state = self.get(key);
            let is_usable = self.is_usable(now, query, limits, (key, state)) && admits(state);
            is_usable.then(|| (engine_cost(now, query, state, shortest), key))
        };
        // The engines with the prompt have a discount that the order of the others does not contain.
        let cached = query.part.map(|part| index.cached(query.service, part));
        let cached = cached.into_iter().flatten();
        let mut best = cached.filter_map(look).min();
        let mut searches: Vec<GroupSearch<'_>> = index
            .groups(query.service, query.model, query.least_version)
            .filter(|group| !self.is_zone_closed(&group.zone))
            .map(|group| GroupSearch::new(group, query, shortest))
            .collect();
        loop {
            searches.retain_mut(|search| search.skip_beaten(best.as_ref()));
            let next = searches.iter_mut().min_by_key(|search| search.bound());
            let Some(key) = next.and_then(GroupSearch::take) else {
                return best.map(|(_, key)| key);
            };
            best = best.into_iter().chain(look(key)).min();
        }
    }

    /// Returns the engine with the lowest cost of those that may run a request now.
    pub(super) fn cheapest_engine(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        limits: RateLimits,
        admits: &dyn Fn(&UpstreamState) -> bool,
        cost: &dyn Fn(&UpstreamState) -> EngineCost,
    ) -> Option<UpstreamKey> {
        let index = self.index();
        let groups = index.groups(query.service, query.model, query.least_version);
        let keys = groups.flat_map(|group| group.engines.iter().map(|(_, key)| *key));
        let states = keys.map(|key| (key, self.get(key)));
        let usable = states
            .inspect(|_| self.count_look())
            .filter(|(key, state)| {
                self.is_usable(now, query, limits, (*key, *state)) && admits(state)
            });
        usable
            .min_by_key(|(key, state)| (cost(state), *key))
            .map(|(key, _)| key)
    }

    fn is_usable(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        limits: RateLimits,
        (key, state): (UpstreamKey, &UpstreamState),
    ) -> bool {
        state.record.service == *query.service
            && query
                .software
                .is_none_or(|software| state.record.software == *software)
            && self.accepts_work(key)
            && !query.excluded.contains(&key)
            && (query.last_resort || !state.in_backoff(now))
            && !state.is_loading(now, query.model)
            && state.version(query.model) >= Some(query.least_version)
            && state.in_flight < state.places(now)
            && limits.allows(now, state)
    }

    fn best_plain(
        &self,
        now: Moment,
        query: &PlainQuery<'_>,
        limits: RateLimits,
        admits: impl Fn(&UpstreamState) -> bool,
    ) -> Option<UpstreamKey> {
        let usable = |key: &UpstreamKey, state: &UpstreamState| {
            state.record.service == *query.service
                && query
                    .software
                    .is_none_or(|software| state.record.software == *software)
                && self.accepts_work(*key)
                && !query.excluded.contains(key)
                && limits.allows(now, state)
                && admits(state)
        };
        let shortest = self.shortest_latency(query.service);
        let typical = self.typical_latency_us(query.service);
        let speed = |state: &UpstreamState| match query.avoids_slow {
            true => (
                state.plain.pace(now, typical) == PlainPace::Slow,
                state.plain.expected_us(now, typical).max(1),
            ),
            false => (false, state.latency_us.max(shortest)),
        };
        let cost = |state: &UpstreamState| {
            let (is_slow, latency) = speed(state);
            let cost = loaded_cost(state, latency, state.places(now));
            let cost = discount(
                cost,
                ZONE_DISCOUNT_PERCENT,
                state.record.zone == *query.zone,
            );
            let connected = (query.connected)(state.record.address);
            let cost = discount(cost, CONNECTED_PLAIN_DISCOUNT_PERCENT, connected);
            let is_full = query.avoids_full && state.in_flight >= state.record.slots;
            // An upstream in backoff is used only if there is no other.
            (
                state.in_backoff(now),
                state.is_cold(now),
                is_slow,
                is_full,
                cost,
            )
        };
        self.iter()
            .filter(|(key, state)| usable(key, state))
            .min_by_key(|(key, state)| (cost(state), *key))
            .map(|(key, _)| key)
    }

    /// Returns whether any upstream of a service accepts work, even if it is busy or in backoff.
    pub fn has_upstream(&self, service: &ObjectName) -> bool {
        self.iter()
            .any(|(key, state)| state.record.service == *service && self.accepts_work(key))
    }

    /// Returns whether any upstream of a service with a software version accepts work.
    pub fn has_version(&self, service: &ObjectName, software: &SoftwareVersion) -> bool {
        self.iter().any(|(key, state)| {
            state.record.service == *service
                && state.record.software == *software
                && self.accepts_work(key)
        })
    }

    /// Returns the median of the mean times between events of the engines of a service, in
    /// microseconds; 1 if nothing was measured.
    ///
    /// Engines generate more slowly the more requests they run, so under load even a sound engine is
    /// much slower than one that happens to be idle. The median moves with the load of the service.
    pub fn typical_event_gap(&self, service: &ObjectName) -> u64 {
        let index = self.index();
        let gaps = index.gaps(service);
        gaps.get(gaps.len() / 2).map_or(1, |(gap, _)| *gap)
    }

    /// Returns whether a run that is slow in the sense of [`Self::is_slow_run`] should move to another engine:
    /// there must be one that can take its item now. `query` excludes the current engine.
    pub fn should_move_run(
        &self,
        now: Moment,
        query: &EngineQuery<'_>,
        limits: RateLimits,
        (typical_gap_us, events, elapsed_us): (u64, u64, u64),
    ) -> bool {
        Self::is_slow_run(typical_gap_us, events, elapsed_us)
            && self.select_engine(now, query, limits).is_some()
    }

    /// Returns whether a run that took `elapsed_us` for `events` events is so slow that its item should
    /// move to another engine; `typical_gap_us` is the result of [`Self::typical_event_gap`].
    pub fn is_slow_run(typical_gap_us: u64, events: u64, elapsed_us: u64) -> bool {
        if events < SLOW_CHECK_MIN_EVENTS || typical_gap_us <= 1 {
            return false;
        }
        elapsed_us / events > typical_gap_us.saturating_mul(SLOW_PERCENT) / 100
    }

    /// Returns the shortest mean time between events of any engine of a service, in microseconds.
    pub fn shortest_event_gap(&self, service: &ObjectName) -> u64 {
        let index = self.index();
        index.gaps(service).first().map_or(1, |(gap, _)| *gap)
    }

    fn shortest_latency(&self, service: &ObjectName) -> u64 {
        self.min_measured(service, |state| state.latency_us)
    }

    fn min_measured(&self, service: &ObjectName, measure: fn(&UpstreamState) -> u64) -> u64 {
        self.iter()
            .filter(|(_, state)| state.record.service == *service)
            .map(|(_, state)| measure(state))
            .filter(|measured| *measured > 0)
            .min()
            .unwrap_or(1)
    }
}

/// Hashes the names of a prompt's shared parts; the hash identifies them in prompt caches.
pub fn part_digest(parts: &str) -> u64 {
    hash::digest64(&[parts.as_bytes()])
}

/// Returns a rendezvous hashing score, by which all processes make the same choice.
pub fn rendezvous_score(parts: &[&[u8]]) -> u64 {
    hash::digest64(parts)
}

/// Returns the cost of an upstream with its load, where `places` requests would use all that this process may send.
pub(super) fn loaded_cost(state: &UpstreamState, base: u64, places: u32) -> u64 {
    let load = u64::from(state.in_flight) * LOAD_COST_PERCENT / u64::from(places.max(1));
    base.saturating_mul(100 + load)
}

pub(super) fn discount(cost: u64, percent: u64, applies: bool) -> u64 {
    match applies {
        true => cost / 100 * (100 - percent),
        false => cost,
    }
}
