//! Selection of an upstream by an entry.

use {
    crate::{
        candidate::{RouteCandidate, UpstreamLoad},
        hash::{SplitMix, mix},
        subset,
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError, SortedMap,
        config::{UpstreamRecord, ZoneRecord, ZoneState},
        id::{IncarnationId, ObjectName},
        message::LoadReport,
    },
};

/// The parameters of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterSettings {
    /// The mean number of upstreams per service that one entry uses.
    pub subset_size: usize,
    /// The maximum load of an upstream that is chosen by prefix, in percent of the subset's mean.
    pub load_bound_percent: u64,
    /// The age up to which a load report is used unchanged, in milliseconds.
    pub report_lifetime_ms: u64,
    /// The backoff from an upstream that reported itself closed, unless a newer report arrives, in
    /// milliseconds.
    pub closed_backoff_ms: u64,
    /// The backoff after a first failure, in milliseconds; doubles with each further failure.
    pub failure_backoff_ms: u64,
    /// The maximum backoff after failures, in milliseconds.
    pub max_backoff_ms: u64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            subset_size: 24,
            load_bound_percent: 125,
            report_lifetime_ms: 1_000,
            closed_backoff_ms: 5_000,
            failure_backoff_ms: 2_000,
            max_backoff_ms: 10_000,
        }
    }
}

/// The criteria for selecting an upstream.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    pub service: &'a ObjectName,
    /// The digest of the prompt's prefix, as in [`LoadReport::prefixes`].
    pub prefix: Option<u64>,
    /// Upstreams that this request must not use again.
    pub excluded: &'a [ObjectName],
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteChoice {
    pub upstream: ObjectName,
    /// The agent's incarnation, if a report stated it.
    pub incarnation: Option<IncarnationId>,
    /// Whether the upstream was chosen by prefix.
    pub by_prefix: bool,
}

/// Selects upstreams by power of two choices over a bounded subset (`docs/design.md`, decisions 1
/// and 15).
///
/// The router's view is outdated, so it only distributes the load; the agent's limit protects the
/// upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRouter {
    settings: RouterSettings,
    entry: ObjectName,
    random: SplitMix,
    candidates: Vec<RouteCandidate>,
    pools: SortedMap<ObjectName, Vec<usize>>,
}

impl UpstreamRouter {
    /// Creates a router without members; `seed` determines its random choices.
    pub fn new(settings: RouterSettings, entry: ObjectName, seed: u64) -> Self {
        Self {
            settings,
            entry,
            random: SplitMix::new(seed),
            candidates: Vec::new(),
            pools: SortedMap::new(),
        }
    }

    /// Replaces members and zones, and keeps the state of remaining members.
    ///
    /// `entries` must contain all live entries, which determine this entry's subset.
    pub fn set_members(
        &mut self,
        upstreams: &[UpstreamRecord],
        zones: &[ZoneRecord],
        entries: &[ObjectName],
    ) {
        let size = self.settings.subset_size;
        let chosen = subset::choose(&self.entry, entries, upstreams, size);
        let mut candidates: Vec<RouteCandidate> = Vec::with_capacity(chosen.len());
        for upstream in chosen {
            let out =
                |zone: &ZoneRecord| zone.name == upstream.zone && zone.state == ZoneState::Out;
            let out = zones.iter().any(out);
            let mut candidate = match self.position(&upstream.name) {
                Some(position) => self.candidates[position].clone(),
                None => RouteCandidate::new(upstream),
            };
            candidate.set_zone(upstream, out);
            candidates.push(candidate);
        }
        candidates.sort_by(|left, right| left.name.cmp(&right.name));
        self.pools.clear();
        for (position, candidate) in candidates.iter().enumerate() {
            self.pools
                .get_or_insert_with(candidate.service.clone(), Vec::new)
                .push(position);
        }
        self.candidates = candidates;
    }

    /// Sets whether an upstream is draining, according to the platform's host list.
    pub fn set_draining(&mut self, upstream: &ObjectName, draining: bool) {
        if let Some(position) = self.position(upstream) {
            self.candidates[position].draining = draining;
        }
    }

    /// Selects an upstream for a request; the caller must then call [`Self::record_sent`].
    ///
    /// # Errors
    ///
    /// Returns `no_upstream` with `not_run` if no upstream of the service accepts work.
    pub fn route(
        &mut self,
        now: Moment,
        query: &RouteQuery<'_>,
    ) -> Result<RouteChoice, ServiceError> {
        let mut available = self.candidates_for(now, query, RouteCandidate::accepts_work);
        if available.is_empty() {
            // An attempt that may fail is better than a certain rejection.
            available = self.candidates_for(now, query, RouteCandidate::is_available);
        }
        let Some(first) = available.first() else {
            return Err(ServiceError::not_run(
                ErrorKind::NoUpstream,
                "no upstream of the service accepts work",
            ));
        };
        let first = first.0;
        let by_prefix = query
            .prefix
            .and_then(|prefix| self.by_prefix(prefix, &available));
        let position = match by_prefix {
            Some(position) => position,
            None => self.two_choices(&available).unwrap_or(first),
        };
        let candidate = &self.candidates[position];
        Ok(RouteChoice {
            upstream: candidate.name.clone(),
            incarnation: candidate.incarnation(),
            by_prefix: by_prefix.is_some(),
        })
    }

    /// Records that a request was sent to an upstream.
    pub fn record_sent(&mut self, upstream: &ObjectName) {
        if let Some(position) = self.position(upstream) {
            self.candidates[position].record_sent();
        }
    }

    /// Records that a request sent to an upstream ended.
    pub fn record_end(&mut self, upstream: &ObjectName) {
        if let Some(position) = self.position(upstream) {
            self.candidates[position].record_end();
        }
    }

    /// Records an upstream's load report.
    pub fn record_report(&mut self, now: Moment, upstream: &ObjectName, report: &LoadReport) {
        let closed_until = now + self.settings.closed_backoff_ms;
        if let Some(position) = self.position(upstream) {
            self.candidates[position].record_report(now, report, closed_until);
        }
    }

    /// Starts a backoff from an upstream that crashed or whose agent was unreachable.
    pub fn record_failure(&mut self, now: Moment, upstream: &ObjectName) {
        let settings = self.settings;
        if let Some(position) = self.position(upstream) {
            self.candidates[position].record_failure(now, &settings);
        }
    }

    /// Returns the upstreams of a service in this entry's subset.
    pub fn members(&self, service: &ObjectName) -> Vec<ObjectName> {
        let pool = self.pools.get(service).into_iter().flatten();
        pool.map(|position| self.candidates[*position].name.clone())
            .collect()
    }

    fn candidates_for(
        &self,
        now: Moment,
        query: &RouteQuery<'_>,
        usable: fn(&RouteCandidate, Moment) -> bool,
    ) -> Vec<(usize, UpstreamLoad)> {
        let pool = self.pools.get(query.service).into_iter().flatten();
        pool.filter(|position| {
            let candidate = &self.candidates[**position];
            usable(candidate, now) && !query.excluded.contains(&candidate.name)
        })
        .map(|position| {
            let load = self.candidates[*position].load(now, &self.settings);
            (*position, load)
        })
        .collect()
    }

    /// Selects by prefix among the upstreams within the load bound.
    ///
    /// Upstreams that report the prefix come first. If there are none, the prefix selects one by
    /// rendezvous hashing, so that later requests find it there even if cache events are lost.
    fn by_prefix(&self, prefix: u64, available: &[(usize, UpstreamLoad)]) -> Option<usize> {
        let (used, limits) = available.iter().fold((0, 0), |(used, limits), (_, load)| {
            (used + load.used, limits + load.limit)
        });
        // If all upstreams are full, waiting takes equally long everywhere, so a cache miss only
        // adds to it.
        let all_full = used >= limits;
        let within = |load: &UpstreamLoad| {
            // One request is added because every share of the mean would be zero on an idle fleet.
            let share = u128::from(used + 1) * u128::from(load.limit);
            let bound = share * u128::from(self.settings.load_bound_percent);
            let own = u128::from(load.used) * u128::from(limits) * 100;
            (load.used < load.limit || all_full) && own <= bound
        };
        available
            .iter()
            .filter(|(_, load)| within(load))
            .max_by_key(|(position, _)| {
                let candidate = &self.candidates[*position];
                let has_prefix = candidate.has_prefix(prefix);
                (has_prefix, mix(prefix ^ candidate.hash))
            })
            .map(|(position, _)| *position)
    }

    /// Draws two upstreams and returns the less loaded one.
    fn two_choices(&mut self, available: &[(usize, UpstreamLoad)]) -> Option<usize> {
        let first = self.random.below(available.len());
        // The second index is drawn from the remaining ones.
        let mut second = self.random.below(available.len().saturating_sub(1));
        second += usize::from(second >= first);
        let (first_position, first_load) = available.get(first)?;
        let Some((second_position, second_load)) = available.get(second) else {
            return Some(*first_position);
        };
        let better = match second_load.is_less_loaded(first_load) {
            true => (second_position, second_load),
            false => (first_position, first_load),
        };
        if better.1.used < better.1.limit {
            return Some(*better.0);
        }
        // Both seem full, so the least loaded of all takes the request.
        let least_loaded =
            available
                .iter()
                .reduce(|best, other| match other.1.is_less_loaded(&best.1) {
                    true => other,
                    false => best,
                })?;
        Some(least_loaded.0)
    }

    fn position(&self, upstream: &ObjectName) -> Option<usize> {
        self.candidates
            .binary_search_by(|candidate| candidate.name.cmp(upstream))
            .ok()
    }
}
