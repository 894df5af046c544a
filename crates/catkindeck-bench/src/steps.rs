//! A training step of the load model.

use {
    crate::{
        deployment::Deployment,
        random::ModelRandom,
        trainer::{BATCHES, ROLLOUT_LOAD, TRAINING_MS},
    },
    catkindeck::{Moment, id::RequestId},
    catkindeck_policy::{SampleKey, StragglerPolicy, StragglerSettings},
    std::collections::BTreeMap,
};

/// The members of a group.
const GROUP_SIZE: u32 = 8;

/// The mean tokens of a sample that is not long.
const MEAN_TOKENS: f64 = 400.0;

/// The part of samples that are long, and by how much (`docs/design.md`, decision 16).
const LONG_SHARE: f64 = 0.01;
const LONG_FACTOR: f64 = 10.0;

/// The state of a sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SampleState {
    /// No attempt is under way.
    Unsent,
    /// At least one attempt is under way.
    Sent,
    /// A result was accepted, begun under this version.
    Accepted {
        /// The weight version.
        version: usize,
    },
}

/// The samples of one step.
#[derive(Debug)]
pub struct ModelStep {
    /// The policy for its last samples.
    pub policy: StragglerPolicy,
    groups: u32,
    tokens: Vec<f64>,
    states: Vec<SampleState>,
    versions: BTreeMap<u32, usize>,
    unsent: Vec<usize>,
    open_members: Vec<u32>,
    whole: Vec<u32>,
    handed_out: u32,
}

impl ModelStep {
    /// Opens a step whose samples take the rollouts' part of the capacity for one training time.
    pub fn open(deployment: &Deployment, random: &mut ModelRandom) -> Self {
        let mean = MEAN_TOKENS * (1.0 + LONG_SHARE * (LONG_FACTOR - 1.0));
        let tokens = deployment.capacity() * ROLLOUT_LOAD * TRAINING_MS as f64;
        let per_group = mean * f64::from(GROUP_SIZE);
        // A whole number of groups in each batch.
        let in_batch = (tokens / per_group / BATCHES as f64).round().max(1.0) as u32;
        let groups = in_batch * BATCHES as u32;
        let count = (groups * GROUP_SIZE) as usize;
        let draw = |random: &mut ModelRandom| {
            let factor = if random.unit() < LONG_SHARE {
                LONG_FACTOR
            } else {
                1.0
            };
            random.between(0.5, 1.5) * MEAN_TOKENS * factor
        };
        Self {
            policy: StragglerPolicy::new(StragglerSettings::default(), groups, GROUP_SIZE),
            groups,
            tokens: (0..count).map(|_| draw(random)).collect(),
            states: vec![SampleState::Unsent; count],
            versions: BTreeMap::new(),
            unsent: (0..count).rev().collect(),
            open_members: vec![GROUP_SIZE; groups as usize],
            whole: Vec::new(),
            handed_out: 0,
        }
    }

    /// Takes the next sample that has no attempt under way.
    pub fn next_unsent(&mut self) -> Option<SampleKey> {
        let index = self.unsent.pop()?;
        let index = index as u32;
        Some(SampleKey {
            group: index / GROUP_SIZE,
            index: index % GROUP_SIZE,
        })
    }

    /// Returns the tokens of a sample.
    pub fn tokens(&self, member: SampleKey) -> f64 {
        self.tokens[place(member)]
    }

    /// Returns the state of a sample.
    pub fn state(&self, member: SampleKey) -> SampleState {
        self.states[place(member)]
    }

    /// Learns that an attempt was sent under a version.
    pub fn sent(&mut self, now: Moment, member: SampleKey, id: u32, version: usize) {
        self.policy.record_sent(now, member, request_id(id));
        self.states[place(member)] = SampleState::Sent;
        self.versions.insert(id, version);
    }

    /// Learns how many tokens an attempt has made.
    pub fn progressed(&mut self, member: SampleKey, id: u32, tokens: u64) {
        self.policy.record_progress(member, &request_id(id), tokens);
    }

    /// Learns that an attempt ended without a result.
    pub fn refused(&mut self, member: SampleKey, id: u32) {
        self.versions.remove(&id);
        let last = self.policy.record_failure(member, &request_id(id));
        if last && self.state(member) == SampleState::Sent {
            self.states[place(member)] = SampleState::Unsent;
            self.unsent.push(place(member));
        }
    }

    /// Accepts a result and returns the attempts to cancel.
    pub fn accept(&mut self, now: Moment, member: SampleKey, id: u32) -> Vec<u32> {
        let version = self.versions.get(&id).copied().unwrap_or(0);
        self.states[place(member)] = SampleState::Accepted { version };
        let open = &mut self.open_members[member.group as usize];
        *open -= 1;
        if *open == 0 {
            self.whole.push(member.group);
        }
        let losers = self.policy.record_accepted(now, member, &request_id(id));
        losers.iter().map(number_of).collect()
    }

    /// Hands out batch `number` as versions and tokens, if its groups are whole.
    ///
    /// In arrival order a batch takes the groups that are whole first; otherwise its groups are
    /// fixed by their numbers.
    pub fn batch(&mut self, number: usize, arrival_order: bool) -> Option<Vec<(usize, f64)>> {
        let size = self.groups / BATCHES as u32;
        let groups: Vec<u32> = match arrival_order {
            true => {
                let from = self.handed_out as usize;
                self.whole.get(from..from + size as usize)?.to_vec()
            }
            false => (number as u32 * size..(number as u32 + 1) * size).collect(),
        };
        let is_whole = |group: &u32| self.open_members[*group as usize] == 0;
        if !groups.iter().all(is_whole) {
            return None;
        }
        self.handed_out += size;
        let places = groups
            .iter()
            .flat_map(|group| group * GROUP_SIZE..(group + 1) * GROUP_SIZE);
        let samples = places.map(|place| {
            let version = match self.states[place as usize] {
                SampleState::Accepted { version } => version,
                SampleState::Unsent | SampleState::Sent => 0,
            };
            (version, self.tokens[place as usize])
        });
        Some(samples.collect())
    }
}

fn place(member: SampleKey) -> usize {
    (member.group * GROUP_SIZE + member.index) as usize
}

fn request_id(id: u32) -> RequestId {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&id.to_be_bytes());
    RequestId(bytes)
}

fn number_of(id: &RequestId) -> u32 {
    u32::from_be_bytes([id.0[0], id.0[1], id.0[2], id.0[3]])
}
