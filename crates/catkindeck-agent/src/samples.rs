//! Finished samples that the owner of their step has not acknowledged.

use {
    catkindeck::{
        id::ObjectName,
        message::{SampleId, SampleRecord},
    },
    std::collections::{BTreeMap, VecDeque},
};

/// The memory that a sample takes besides its text, in bytes.
const SAMPLE_OVERHEAD: u64 = 256;

/// Keeps finished samples until they are released, so that a successor of the step's owner can
/// collect them again (`docs/design.md`, decision 11).
#[derive(Debug, Clone)]
pub struct SampleBuffer {
    limit: u64,
    bytes: u64,
    samples: BTreeMap<SampleId, SampleRecord>,
    order: VecDeque<SampleId>,
}

impl SampleBuffer {
    /// Makes an empty buffer that keeps at most `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            bytes: 0,
            samples: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Keeps a sample and returns the oldest ones that had to be dropped for it.
    ///
    /// A second completion of the same identity is ignored, because the owner may have recorded the
    /// first.
    pub fn keep(&mut self, sample: SampleRecord) -> Vec<SampleId> {
        if self.samples.contains_key(&sample.id) {
            return Vec::new();
        }
        self.bytes += size(&sample);
        self.order.push_back(sample.id.clone());
        self.samples.insert(sample.id.clone(), sample);
        let mut dropped = Vec::new();
        while self.bytes > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            if self.remove(&oldest) {
                dropped.push(oldest);
            }
        }
        dropped
    }

    /// Returns the samples of a step.
    pub fn collect(&self, run: &ObjectName, step: u64) -> Vec<SampleRecord> {
        let of_step = self
            .samples
            .values()
            .filter(|sample| sample.id.run == *run && sample.id.step == step);
        of_step.cloned().collect()
    }

    /// Forgets samples that the owner acknowledged.
    pub fn release(&mut self, samples: &[SampleId]) {
        for sample in samples {
            self.remove(sample);
        }
        self.order.retain(|id| self.samples.contains_key(id));
    }

    /// Returns the number of samples.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Tells whether no sample is kept.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    fn remove(&mut self, id: &SampleId) -> bool {
        let removed = self.samples.remove(id);
        if let Some(sample) = &removed {
            self.bytes -= size(sample);
        }
        removed.is_some()
    }
}

fn size(sample: &SampleRecord) -> u64 {
    let text = u64::try_from(sample.text.len()).unwrap_or(u64::MAX);
    text.saturating_add(SAMPLE_OVERHEAD)
}
