//! Simulates a training step.

use {
    crate::{
        deployment::Deployment,
        rng::SimRng,
        trainer::{BATCHES_PER_STEP, ROLLOUT_LOAD, TRAINING_MS},
    },
    catkindeck::{Moment, id::RequestId},
    catkindeck_policy::{SampleKey, StragglerPolicy, StragglerSettings},
    std::collections::BTreeMap,
};

/// The number of samples in a group.
const GROUP_SIZE: u32 = 8;

/// The mean number of tokens of a normal sample.
const MEAN_TOKENS: f64 = 400.0;

/// The fraction of samples that are long (`docs/design.md`, decision 16).
const LONG_SAMPLE_FRACTION: f64 = 0.01;

/// The length of a long sample relative to a normal one.
const LONG_SAMPLE_FACTOR: f64 = 10.0;

/// The state of a sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SampleState {
    /// No attempt is in progress.
    Unsent,
    /// At least one attempt is in progress.
    Sent,
    /// A result was accepted.
    Accepted {
        /// The weight version under which the accepted attempt was sent.
        version: usize,
    },
}

/// The samples of one step.
#[derive(Debug)]
pub struct SimStep {
    /// The straggler policy of the step.
    pub policy: StragglerPolicy,
    groups: u32,
    tokens: Vec<f64>,
    states: Vec<SampleState>,
    versions: BTreeMap<u32, usize>,
    unsent: Vec<usize>,
    pending_samples: Vec<u32>,
    complete_groups: Vec<u32>,
    delivered_groups: u32,
}

impl SimStep {
    /// Opens a step with as many samples as the engines generate with the rollouts' share of their
    /// capacity while the trainer trains one step.
    pub fn open(deployment: &Deployment, rng: &mut SimRng) -> Self {
        let mean = MEAN_TOKENS * (1.0 + LONG_SAMPLE_FRACTION * (LONG_SAMPLE_FACTOR - 1.0));
        let tokens = deployment.capacity() * ROLLOUT_LOAD * TRAINING_MS as f64;
        let per_group = mean * f64::from(GROUP_SIZE);
        // Round so that every batch has the same number of groups.
        let in_batch = (tokens / per_group / BATCHES_PER_STEP as f64)
            .round()
            .max(1.0) as u32;
        let groups = in_batch * BATCHES_PER_STEP as u32;
        let count = (groups * GROUP_SIZE) as usize;
        let draw = |rng: &mut SimRng| {
            let factor = if rng.uniform() < LONG_SAMPLE_FRACTION {
                LONG_SAMPLE_FACTOR
            } else {
                1.0
            };
            rng.between(0.5, 1.5) * MEAN_TOKENS * factor
        };
        Self {
            policy: StragglerPolicy::new(StragglerSettings::default(), groups, GROUP_SIZE),
            groups,
            tokens: (0..count).map(|_| draw(rng)).collect(),
            states: vec![SampleState::Unsent; count],
            versions: BTreeMap::new(),
            unsent: (0..count).rev().collect(),
            pending_samples: vec![GROUP_SIZE; groups as usize],
            complete_groups: Vec::new(),
            delivered_groups: 0,
        }
    }

    /// Removes and returns the next sample without an attempt in progress.
    pub fn next_unsent(&mut self) -> Option<SampleKey> {
        let index = self.unsent.pop()?;
        let index = index as u32;
        Some(SampleKey {
            group: index / GROUP_SIZE,
            index: index % GROUP_SIZE,
        })
    }

    /// Returns the number of tokens of a sample.
    pub fn tokens(&self, key: SampleKey) -> f64 {
        self.tokens[sample_index(key)]
    }

    pub fn state(&self, key: SampleKey) -> SampleState {
        self.states[sample_index(key)]
    }

    /// Records that an attempt was sent under a weight version.
    pub fn record_sent(&mut self, now: Moment, key: SampleKey, id: u32, version: usize) {
        self.policy.record_sent(now, key, request_id(id));
        self.states[sample_index(key)] = SampleState::Sent;
        self.versions.insert(id, version);
    }

    /// Records how many tokens an attempt has generated.
    pub fn record_progress(&mut self, key: SampleKey, id: u32, tokens: u64) {
        self.policy.record_progress(key, &request_id(id), tokens);
    }

    /// Records that an attempt ended without a result.
    pub fn record_failure(&mut self, key: SampleKey, id: u32) {
        self.versions.remove(&id);
        let last = self.policy.record_failure(key, &request_id(id));
        if last && self.state(key) == SampleState::Sent {
            self.states[sample_index(key)] = SampleState::Unsent;
            self.unsent.push(sample_index(key));
        }
    }

    /// Accepts the result of an attempt and returns the other attempts, which must be cancelled.
    pub fn accept(&mut self, now: Moment, key: SampleKey, id: u32) -> Vec<u32> {
        let version = self.versions.get(&id).copied().unwrap_or(0);
        self.states[sample_index(key)] = SampleState::Accepted { version };
        let pending = &mut self.pending_samples[key.group as usize];
        *pending -= 1;
        if *pending == 0 {
            self.complete_groups.push(key.group);
        }
        let superseded = self.policy.record_accepted(now, key, &request_id(id));
        superseded.iter().map(numeric_id).collect()
    }

    /// Returns the weight version and the number of tokens of each sample of batch `number`, or
    /// `None` if a group of it is incomplete.
    ///
    /// With `arrival_order`, batches are filled in the order in which groups complete; otherwise in
    /// the order of the groups' numbers.
    pub fn take_batch(&mut self, number: usize, arrival_order: bool) -> Option<Vec<(usize, f64)>> {
        let size = self.groups / BATCHES_PER_STEP as u32;
        let groups: Vec<u32> = match arrival_order {
            true => {
                let from = self.delivered_groups as usize;
                self.complete_groups
                    .get(from..from + size as usize)?
                    .to_vec()
            }
            false => (number as u32 * size..(number as u32 + 1) * size).collect(),
        };
        let is_complete = |group: &u32| self.pending_samples[*group as usize] == 0;
        if !groups.iter().all(is_complete) {
            return None;
        }
        self.delivered_groups += size;
        let indices = groups
            .iter()
            .flat_map(|group| group * GROUP_SIZE..(group + 1) * GROUP_SIZE);
        let samples = indices.map(|index| {
            let version = match self.states[index as usize] {
                SampleState::Accepted { version } => version,
                SampleState::Unsent | SampleState::Sent => 0,
            };
            (version, self.tokens[index as usize])
        });
        Some(samples.collect())
    }
}

fn sample_index(key: SampleKey) -> usize {
    (key.group * GROUP_SIZE + key.index) as usize
}

fn request_id(id: u32) -> RequestId {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&id.to_be_bytes());
    RequestId(bytes)
}

fn numeric_id(id: &RequestId) -> u32 {
    u32::from_be_bytes([id.0[0], id.0[1], id.0[2], id.0[3]])
}
