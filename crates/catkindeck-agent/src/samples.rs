//! Storage for finished samples that the owner of their step has not released yet.

use {
    catkindeck::{
        id::ObjectName,
        message::{SampleId, SampleRecord},
    },
    std::collections::{BTreeMap, VecDeque},
};

/// The assumed memory that a sample takes in addition to its text, in bytes.
const SAMPLE_OVERHEAD: u64 = 256;

/// Stores finished samples until they are released, so that a new owner of their step can collect
/// them (`docs/design.md`, decision 11).
#[derive(Debug, Clone)]
pub struct SampleBuffer {
    limit: u64,
    bytes: u64,
    samples: BTreeMap<SampleId, SampleRecord>,
    insertion_order: VecDeque<SampleId>,
}

impl SampleBuffer {
    /// Creates an empty buffer that stores at most `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            bytes: 0,
            samples: BTreeMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Stores a sample. Returns the oldest samples, if they had to be evicted for it.
    ///
    /// A second sample with the same ID is ignored, because the owner may have recorded the first
    /// one.
    pub fn insert(&mut self, sample: SampleRecord) -> Vec<SampleId> {
        if self.samples.contains_key(&sample.id) {
            return Vec::new();
        }
        self.bytes += sample_size(&sample);
        self.insertion_order.push_back(sample.id.clone());
        self.samples.insert(sample.id.clone(), sample);
        let mut dropped = Vec::new();
        while self.bytes > self.limit
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            if self.remove(&oldest) {
                dropped.push(oldest);
            }
        }
        dropped
    }

    pub fn collect(&self, run: &ObjectName, step: u64) -> Vec<SampleRecord> {
        let of_step = self
            .samples
            .values()
            .filter(|sample| sample.id.run == *run && sample.id.step == step);
        of_step.cloned().collect()
    }

    /// Removes samples that the owner acknowledged.
    pub fn release(&mut self, samples: &[SampleId]) {
        for sample in samples {
            self.remove(sample);
        }
        self.insertion_order
            .retain(|id| self.samples.contains_key(id));
    }

    pub fn len(&self) -> usize {
        self.samples.len()
    }

    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    fn remove(&mut self, id: &SampleId) -> bool {
        let removed = self.samples.remove(id);
        if let Some(sample) = &removed {
            self.bytes -= sample_size(sample);
        }
        removed.is_some()
    }
}

fn sample_size(sample: &SampleRecord) -> u64 {
    let text = u64::try_from(sample.text.len()).unwrap_or(u64::MAX);
    text.saturating_add(SAMPLE_OVERHEAD)
}
