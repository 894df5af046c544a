//! The state of one upstream in a gateway.

use {
    super::{
        engine_speed::EngineSpeed, permits::PermitPool, place_share::PlaceLimit,
        plain_load::PlainLoad, rate::RateWindow, upstream_limit::UpstreamLimit,
    },
    catkindeck::{
        ErrorKind, Moment, ServiceError, SortedMap, arena_key, id::ObjectName, message,
        token::WeightVersion,
    },
    std::{collections::VecDeque, fmt, net::SocketAddr},
};

arena_key! {
    /// One instance of an upstream in the upstream table; a restart gets a new key.
    UpstreamKey
}

/// The backoff after a first failure, in milliseconds; it doubles with each further failure. The
/// first backoff lasts as long as a few of the shortest requests, so one lost response costs
/// little.
const FAILURE_BACKOFF_MS: u64 = 250;

/// The maximum backoff after failures, in milliseconds. A crashed upstream restarts within a few
/// seconds, and its next entry in the list starts a new instance without backoff.
const MAX_BACKOFF_MS: u64 = 4_000;

/// The number of recently sent prompt parts that are remembered.
const PROMPT_PART_LIMIT: usize = 256;

/// The weight of a new sample in the moving averages, in percent.
const SAMPLE_WEIGHT_PERCENT: u64 = 20;

/// The longest software version, in bytes.
const SOFTWARE_VERSION_LIMIT: usize = 200;

/// A model and the version that an upstream reports for it.
#[message]
pub struct ModelWeights {
    pub model: ObjectName,
    pub version: WeightVersion,
}

/// The software version of an upstream. The events of one stream must all come from one version.
#[message]
#[derive(PartialOrd, Ord)]
pub struct SoftwareVersion(String);

impl TryFrom<&str> for SoftwareVersion {
    type Error = ServiceError;

    /// Checks a version as an upstream states it.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if the text is empty or too long.
    fn try_from(text: &str) -> Result<Self, ServiceError> {
        if text.is_empty() || text.len() > SOFTWARE_VERSION_LIMIT {
            let detail = format!(
                "a software version has 1 to {SOFTWARE_VERSION_LIMIT} bytes, not {}",
                text.len()
            );
            return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// An upstream as described in the platform's list.
#[message]
pub struct DiscoveredUpstream {
    /// The ID, which may stay the same after a restart.
    pub id: ObjectName,
    pub service: ObjectName,
    pub zone: ObjectName,
    pub address: SocketAddr,
    /// The number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream finishes its work and accepts no more.
    pub draining: bool,
    /// The remaining time for which the upstream can handle only its cold load, in milliseconds.
    pub cold_ms: u64,
    /// The number of its last heartbeat, counted from the start by each instance.
    pub heartbeat: u64,
    /// When this instance started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The version of its software, not of its weights.
    pub software: SoftwareVersion,
    /// The models that the upstream runs; empty for plain services.
    pub weights: Vec<ModelWeights>,
}

/// How long after an order a refusal may be due to it, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 5_000;

/// An order to load weights that an upstream has accepted.
#[derive(Debug, Clone)]
struct WeightLoad {
    model: ObjectName,
    ordered: Moment,
    /// When the load is expected to be complete.
    until: Moment,
}

/// One instance of an upstream with this process's measurements.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// The last entry in the list.
    pub record: DiscoveredUpstream,
    /// Whether the list still contains the instance.
    pub listed: bool,
    /// The number of requests from this process in progress.
    pub in_flight: u32,
    /// The part of the slots that this process may use; `None` if it may use all.
    pub place_limit: Option<PlaceLimit>,
    /// Until when the upstream can handle only its cold load.
    pub cold_until: Moment,
    /// The requests sent within the last second.
    pub rate: RateWindow,
    /// The limit that the upstream names for all processes together.
    pub limit: UpstreamLimit,
    /// This process's permits to send requests while there is a limit.
    pub permits: PermitPool,
    /// The moving average of the time between two events of a stream, in microseconds; zero before
    /// the first sample.
    pub event_gap_us: u64,
    /// The moving average of the latency of plain requests, in microseconds; zero before the first
    /// sample.
    pub latency_us: u64,
    /// The requests of a plain upstream and their latency.
    pub plain: PlainLoad,
    /// The speed at which the engine generates events.
    pub speed: EngineSpeed,
    versions: SortedMap<ObjectName, WeightVersion>,
    loading: Option<WeightLoad>,
    prompt_parts: VecDeque<u64>,
    /// The number of changes of `prompt_parts`.
    part_changes: u64,
    failures: u32,
    backoff_until: Moment,
}

impl UpstreamState {
    /// Creates the state of a new instance.
    pub fn new(now: Moment, record: DiscoveredUpstream) -> Self {
        let mut state = Self {
            cold_until: now + record.cold_ms,
            listed: true,
            in_flight: 0,
            place_limit: None,
            rate: RateWindow::default(),
            limit: UpstreamLimit::default(),
            permits: PermitPool::default(),
            event_gap_us: 0,
            latency_us: 0,
            plain: PlainLoad::default(),
            speed: EngineSpeed::default(),
            versions: SortedMap::new(),
            loading: None,
            prompt_parts: VecDeque::new(),
            part_changes: 0,
            failures: 0,
            backoff_until: Moment(0),
            record,
        };
        state.observe_record_versions();
        state
    }

    /// Applies a newer heartbeat of the same instance.
    pub fn update(&mut self, now: Moment, record: DiscoveredUpstream) {
        // An unchanged entry was written earlier, so its remaining cold time has run since then.
        if record.cold_ms > 0 && record != self.record {
            self.cold_until = self.cold_until.max(now + record.cold_ms);
        }
        self.record = record;
        self.listed = true;
        self.observe_record_versions();
    }

    /// Records the version reported in a response. A version lower than the known one comes from a
    /// late response and is ignored.
    pub fn observe_version(&mut self, model: &ObjectName, version: WeightVersion) {
        let known = self.versions.get_or_insert_with(model.clone(), || version);
        *known = (*known).max(version);
    }

    pub fn version(&self, model: &ObjectName) -> Option<WeightVersion> {
        self.versions.get(model).copied()
    }

    /// Returns the known versions by model.
    pub(super) fn versions(&self) -> &SortedMap<ObjectName, WeightVersion> {
        &self.versions
    }

    /// Returns the prompt parts that are probably cached, the oldest first.
    pub(super) fn prompt_parts(&self) -> impl Iterator<Item = u64> {
        self.prompt_parts.iter().copied()
    }

    /// Returns how often the prompt parts have changed.
    pub(super) fn part_changes(&self) -> u64 {
        self.part_changes
    }

    /// Records that new weights of a model are loaded until about `until`.
    pub fn record_weight_load(&mut self, now: Moment, model: &ObjectName, until: Moment) {
        self.loading = Some(WeightLoad {
            model: model.clone(),
            ordered: now,
            until,
        });
    }

    /// Records that the latest load takes until about `until`.
    pub fn extend_weight_load(&mut self, until: Moment) {
        if let Some(load) = &mut self.loading {
            load.until = load.until.max(until);
        }
    }

    /// Returns whether weights of a model are being loaded, so that requests for it would be
    /// rejected.
    pub fn is_loading(&self, now: Moment, model: &ObjectName) -> bool {
        let load = self.loading.as_ref();
        load.is_some_and(|load| load.model == *model && now < load.until)
    }

    /// Returns the time since a load of a model was ordered in milliseconds, if that is so recent that
    /// the load may still be in progress.
    pub fn load_age(&self, now: Moment, model: &ObjectName) -> Option<u64> {
        let load = self.loading.as_ref().filter(|load| load.model == *model)?;
        let age_ms = now.since(load.ordered);
        (age_ms < MAX_LOAD_AGE_MS).then_some(age_ms)
    }

    /// Forgets the latest load, after a request showed that it is complete.
    pub fn complete_weight_load(&mut self) {
        self.loading = None;
    }

    /// Records a failure and starts a backoff.
    pub fn record_failure(&mut self, now: Moment) {
        let backoff_ms = FAILURE_BACKOFF_MS << self.failures.min(8);
        self.failures += 1;
        self.backoff_until = now + backoff_ms.min(MAX_BACKOFF_MS);
    }

    /// Starts a backoff of fixed length, after the upstream rejected a request without running it.
    pub fn start_backoff(&mut self, now: Moment, backoff_ms: u64) {
        self.backoff_until = self.backoff_until.max(now + backoff_ms);
    }

    /// Records a response, which resets the failure count.
    pub fn record_response(&mut self) {
        self.failures = 0;
    }

    /// Returns the remaining time of the upstream's backoff, in milliseconds.
    pub fn backoff_ms(&self, now: Moment) -> u64 {
        self.backoff_until.since(now)
    }

    /// Returns whether the upstream is in backoff.
    pub fn in_backoff(&self, now: Moment) -> bool {
        now < self.backoff_until
    }

    /// Returns whether the upstream can handle only its cold load.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Returns whether this process may send a request within the limit that the upstream names.
    pub fn is_permitted(&self, now: Moment) -> bool {
        self.limit.rate().is_none() || self.permits.has_permit(now)
    }

    /// Returns whether only a permit that may be requested now is missing.
    pub fn awaits_permit(&self, now: Moment) -> bool {
        self.limit.rate().is_some() && self.permits.may_request(now)
    }

    /// Returns whether the next request may be better off at a limited upstream that is idle, so that its
    /// permit should be requested ahead.
    pub fn is_half_full(&self) -> bool {
        self.in_flight >= self.record.slots / 2
    }

    /// Returns the number of requests that this process may have in progress.
    pub fn places(&self, now: Moment) -> u32 {
        let limit = self.place_limit.as_ref();
        let usable = limit.map_or(u32::MAX, |limit| limit.usable(now));
        usable.min(self.record.slots)
    }

    /// Returns whether requests were assigned under a grant of places that has ended, and exceed what this process
    /// may use without it.
    pub fn exceeds_places(&self, now: Moment) -> bool {
        let has_ended = self.place_limit.is_some_and(|limit| now >= limit.until);
        has_ended && self.in_flight > self.places(now)
    }

    /// Returns the used part of the places if `added` more requests were in progress. Other owners are taken to use
    /// the same part of theirs.
    pub fn load_with(&self, now: Moment, added: u32) -> f64 {
        f64::from(self.in_flight + added) / f64::from(self.places(now).max(1))
    }

    /// Returns the number of slots that no request of this process uses, of which it may use only [`Self::places`].
    /// It depends on nothing but this state, so that the index of free engines follows it.
    pub fn free_places(&self) -> u32 {
        self.record.slots.saturating_sub(self.in_flight)
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Moment) {
        self.in_flight += 1;
        self.rate.count(now);
        if self.limit.rate().is_some() {
            self.permits.take(now);
        }
    }

    /// Records that a prompt part was sent to the upstream.
    pub fn record_prompt_part(&mut self, part: u64) {
        if self.has_prompt_part(part) {
            return;
        }
        if self.prompt_parts.len() == PROMPT_PART_LIMIT {
            self.prompt_parts.pop_front();
        }
        self.part_changes += 1;
        self.prompt_parts.push_back(part);
    }

    /// Returns whether a prompt part was sent to the upstream and is probably cached there.
    pub fn has_prompt_part(&self, part: u64) -> bool {
        self.prompt_parts.contains(&part)
    }

    /// Clears the cached prompt parts, which new weights invalidate.
    pub fn clear_prompt_parts(&mut self) {
        self.part_changes += 1;
        self.prompt_parts.clear();
    }

    /// Records the time between two events of a stream.
    pub fn record_event_gap(&mut self, gap_us: u64) {
        self.event_gap_us = moving_average(self.event_gap_us, gap_us);
    }

    /// Records the latency of a plain request.
    pub fn record_latency(&mut self, latency_us: u64) {
        self.latency_us = moving_average(self.latency_us, latency_us);
    }

    fn observe_record_versions(&mut self) {
        for index in 0..self.record.weights.len() {
            let weights = self.record.weights[index].clone();
            if self.version(&weights.model) < Some(weights.version) {
                self.clear_prompt_parts();
            }
            self.observe_version(&weights.model, weights.version);
        }
    }
}

fn moving_average(mean: u64, value: u64) -> u64 {
    match mean {
        0 => value,
        _ => (mean * (100 - SAMPLE_WEIGHT_PERCENT) + value * SAMPLE_WEIGHT_PERCENT) / 100,
    }
}
