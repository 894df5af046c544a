//! Weight versions of generated tokens.

use crate::{key, message};

/// The version of a model's weights; versions of one model only grow.
#[key]
pub struct WeightVersion(pub u64);

/// A range of token positions, `start` inclusive and `end` exclusive, made by one weight version.
#[message]
#[derive(Copy)]
pub struct VersionRange {
    /// The first position.
    pub start: u32,
    /// The position after the last.
    pub end: u32,
    /// The version that the engine reported, or `None` if it reported none.
    pub version: Option<WeightVersion>,
}

/// The weight versions of a whole answer as adjacent ranges in order of position.
///
/// Labels come from the engine's reply for each token, never from the version that was ordered
/// (`docs/design.md`, G1).
#[message]
#[derive(Default)]
pub struct VersionLabels {
    /// The ranges; neighbours have different versions.
    pub ranges: Vec<VersionRange>,
}

impl VersionLabels {
    /// Appends `count` tokens made by `version`.
    pub fn push(&mut self, count: u32, version: Option<WeightVersion>) {
        if count == 0 {
            return;
        }
        let start = self.token_count();
        match self.ranges.last_mut() {
            Some(last) if last.version == version => last.end += count,
            _ => self.ranges.push(VersionRange {
                start,
                end: start + count,
                version,
            }),
        }
    }

    /// Appends the labels of a continuation, for example after a resumed stream.
    pub fn append(&mut self, continuation: &Self) {
        for range in &continuation.ranges {
            self.push(range.end - range.start, range.version);
        }
    }

    /// Returns the number of labelled tokens.
    pub fn token_count(&self) -> u32 {
        self.ranges.last().map_or(0, |last| last.end)
    }

    /// Returns the oldest version, or `None` if any token's version is unknown or there is none.
    pub fn oldest(&self) -> Option<WeightVersion> {
        let versions: Option<Vec<_>> = self.ranges.iter().map(|range| range.version).collect();
        versions?.into_iter().min()
    }
}
