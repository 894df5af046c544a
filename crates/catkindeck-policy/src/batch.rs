//! Batches of samples: their stored composition and the owner's actions for a fetch.

use catkindeck::{
    ServiceError,
    id::ObjectName,
    message,
    message::{SampleId, SampleRecord},
};

/// The maximum number of samples in a step.
pub const STEP_SAMPLE_LIMIT: u32 = 65_536;

/// The maximum number of samples in a batch, which keeps a batch well below the message limit.
pub const BATCH_SAMPLE_LIMIT: usize = 128;

/// The maximum total size of the texts of a batch, in bytes; half of the message limit.
pub const BATCH_BYTE_LIMIT: usize = 2 << 20;

/// A sample in the stored composition of a batch.
#[message]
pub struct BatchSample {
    pub id: SampleId,
    /// The digest of text and labels. Two runs of one sample may both have finished, and a new
    /// owner must offer the one that was offered before.
    pub digest: [u8; 32],
}

/// The composition of a batch.
#[message]
pub struct BatchRecord {
    /// The index of the batch, counted from zero.
    pub cursor: u32,
    pub samples: Vec<BatchSample>,
}

/// An entry of a step's log in the store.
///
/// Every change of a step is appended by creating the key of the next position, which fails if
/// another owner has appended there. A former owner with an outdated view therefore cannot append
/// after its successor.
#[message]
pub enum StepEntry {
    /// The batch may be offered from now on.
    Offer(BatchRecord),
    /// The batch at this cursor must no longer be offered.
    Lost(u32),
}

/// The fixed properties of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepConfig {
    pub run: ObjectName,
    /// The maximum lag of a delivered sample's oldest token behind the current version.
    pub staleness_bound: u64,
    /// Whether the staleness and labels of samples are checked. Only tests disable this, to show
    /// that the guarantees depend on the checks.
    pub checks_enabled: bool,
}

/// A sample to generate now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SampleTask {
    pub id: SampleId,
    pub prompt: String,
    /// The maximum number of tokens.
    pub max_tokens: u32,
    /// The priority; members of nearly complete groups have the highest.
    pub priority: u8,
}

/// Why a finished sample was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscardReason {
    /// The sample is not part of this step, or its generation is outdated.
    NotExpected,
    /// Another run of the sample was accepted first.
    AlreadyAccepted,
    /// A token's weight version is unknown.
    UnknownVersion,
    /// The oldest token exceeds the staleness bound.
    Stale,
}

/// How the owner of a step handles a fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchAction {
    /// Responds that no batch is ready.
    Pending,
    /// Appends this entry to the step's log in the store, then calls
    /// [`StepLedger::confirm`](crate::ledger::StepLedger::confirm).
    Persist(StepEntry),
    /// Responds with this batch.
    Offer {
        samples: Vec<SampleRecord>,
        /// Whether no samples remain to be offered.
        last: bool,
    },
    /// Responds that the batch is lost.
    Lost(Vec<SampleId>),
    /// Rejects the fetch.
    Refuse(ServiceError),
}

/// Returns the digest of a sample's text and labels.
pub fn sample_digest(record: &SampleRecord) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.text.as_bytes());
    for range in &record.labels.ranges {
        hasher.update(&range.end.to_le_bytes());
        hasher.update(
            &range
                .version
                .map_or(u64::MAX, |version| version.0)
                .to_le_bytes(),
        );
    }
    *hasher.finalize().as_bytes()
}
