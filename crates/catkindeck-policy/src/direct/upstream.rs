//! What a gateway knows about one upstream.

use {
    super::rate::RateWindow,
    catkindeck::{Moment, SortedMap, arena_key, id::ObjectName, message, token::WeightVersion},
    std::{collections::VecDeque, net::SocketAddr},
};

arena_key! {
    /// One run of an upstream in the roster's arena; a restart gets a new key.
    UpstreamKey
}

/// How long an upstream is avoided after a first failure, in milliseconds; doubled for each further
/// one. The first pause is a few of the shortest requests long, so one lost answer costs little.
const FAILURE_BACKOFF_MS: u64 = 250;

/// The longest time that an upstream is avoided after failures, in milliseconds. An upstream that
/// crashed is back after some seconds, and its next entry in the list ends the pause anyway.
const MAX_BACKOFF_MS: u64 = 4_000;

/// The number of recently sent prompt parts that are remembered.
const PROMPT_PART_LIMIT: usize = 256;

/// The weight of a new measurement in the running means, in percent.
const SAMPLE_WEIGHT_PERCENT: u64 = 20;

/// A model with the version that an upstream says it runs.
#[message]
pub struct ModelWeights {
    /// The model.
    pub model: ObjectName,
    /// The version of its weights.
    pub version: WeightVersion,
}

/// An upstream as the platform's list describes it.
#[message]
pub struct DiscoveredUpstream {
    /// The identity, which a restart may keep.
    pub id: ObjectName,
    /// The service.
    pub service: ObjectName,
    /// The availability zone.
    pub zone: ObjectName,
    /// The address.
    pub address: SocketAddr,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// For how much longer it bears only its cold load, in milliseconds.
    pub cold_ms: u64,
    /// The number of its last heartbeat; it starts anew with each run.
    pub heartbeat: u64,
    /// When this run started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The models that it runs; empty for plain services.
    pub weights: Vec<ModelWeights>,
}

/// One run of an upstream with what this process observed of it.
#[derive(Debug, Clone)]
pub struct UpstreamState {
    /// What the list says.
    pub record: DiscoveredUpstream,
    /// Whether the list still names it.
    pub listed: bool,
    /// The requests of this process in progress there.
    pub in_flight: u32,
    /// Until when it bears only its cold load.
    pub cold_until: Moment,
    /// The requests sent within the last second.
    pub rate: RateWindow,
    /// The running mean of the time between two events of a stream, in microseconds; zero before
    /// the first measurement.
    pub event_gap_us: u64,
    /// The running mean of the time of plain requests, in microseconds; zero before the first.
    pub latency_us: u64,
    versions: SortedMap<ObjectName, WeightVersion>,
    loading: Option<(ObjectName, Moment)>,
    prompt_parts: VecDeque<u64>,
    failures: u32,
    backoff_until: Moment,
}

impl UpstreamState {
    /// Makes the state of a run that was not seen before.
    pub fn new(now: Moment, record: DiscoveredUpstream) -> Self {
        let mut state = Self {
            cold_until: now + record.cold_ms,
            listed: true,
            in_flight: 0,
            rate: RateWindow::default(),
            event_gap_us: 0,
            latency_us: 0,
            versions: SortedMap::new(),
            loading: None,
            prompt_parts: VecDeque::new(),
            failures: 0,
            backoff_until: Moment(0),
            record,
        };
        state.observe_record_versions();
        state
    }

    /// Takes a newer heartbeat of the same run.
    pub fn update(&mut self, now: Moment, record: DiscoveredUpstream) {
        // An entry that did not change was written before and its time goes on from then.
        if record.cold_ms > 0 && record != self.record {
            self.cold_until = self.cold_until.max(now + record.cold_ms);
        }
        self.record = record;
        self.listed = true;
        self.observe_record_versions();
    }

    /// Learns the version that an answer named; an older one than known is a late answer.
    pub fn observe_version(&mut self, model: &ObjectName, version: WeightVersion) {
        let known = self.versions.get_or_insert_with(model.clone(), || version);
        *known = (*known).max(version);
    }

    /// Returns the version of a model.
    pub fn version(&self, model: &ObjectName) -> Option<WeightVersion> {
        self.versions.get(model).copied()
    }

    /// Learns that new weights of a model are loaded until about `until`.
    pub fn load_started(&mut self, model: &ObjectName, until: Moment) {
        self.loading = Some((model.clone(), until));
    }

    /// Tells whether weights of a model are loaded now, so that requests for it would be refused.
    pub fn is_loading(&self, now: Moment, model: &ObjectName) -> bool {
        let loading = self.loading.as_ref();
        loading.is_some_and(|(loading, until)| loading == model && now < *until)
    }

    /// Counts a failure and avoids the upstream for a while.
    pub fn failed(&mut self, now: Moment) {
        let backoff_ms = FAILURE_BACKOFF_MS << self.failures.min(8);
        self.failures += 1;
        self.backoff_until = now + backoff_ms.min(MAX_BACKOFF_MS);
    }

    /// Avoids the upstream for a fixed time, after it refused a request without running it.
    pub fn refused(&mut self, now: Moment, backoff_ms: u64) {
        self.backoff_until = self.backoff_until.max(now + backoff_ms);
    }

    /// Learns that the upstream answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// Tells whether failures speak against the upstream now.
    pub fn in_backoff(&self, now: Moment) -> bool {
        now < self.backoff_until
    }

    /// Tells whether the upstream bears only its cold load.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Remembers a part of a prompt that was sent to the upstream.
    pub fn record_prompt_part(&mut self, part: u64) {
        if self.has_prompt_part(part) {
            return;
        }
        if self.prompt_parts.len() == PROMPT_PART_LIMIT {
            self.prompt_parts.pop_front();
        }
        self.prompt_parts.push_back(part);
    }

    /// Tells whether a part of a prompt was sent to the upstream and is probably cached there.
    pub fn has_prompt_part(&self, part: u64) -> bool {
        self.prompt_parts.contains(&part)
    }

    /// Forgets what was cached, after new weights made it useless.
    pub fn clear_prompt_parts(&mut self) {
        self.prompt_parts.clear();
    }

    /// Learns the time between two events of a stream.
    pub fn record_event_gap(&mut self, gap_us: u64) {
        self.event_gap_us = running_mean(self.event_gap_us, gap_us);
    }

    /// Learns the time that a plain request took.
    pub fn record_latency(&mut self, latency_us: u64) {
        self.latency_us = running_mean(self.latency_us, latency_us);
    }

    fn observe_record_versions(&mut self) {
        for index in 0..self.record.weights.len() {
            let weights = self.record.weights[index].clone();
            if self.version(&weights.model) < Some(weights.version) {
                self.prompt_parts.clear();
            }
            self.observe_version(&weights.model, weights.version);
        }
    }
}

fn running_mean(mean: u64, value: u64) -> u64 {
    match mean {
        0 => value,
        _ => (mean * (100 - SAMPLE_WEIGHT_PERCENT) + value * SAMPLE_WEIGHT_PERCENT) / 100,
    }
}
