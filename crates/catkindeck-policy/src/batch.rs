//! Batches of samples: the stored composition and what an owner does for a fetch.

use catkindeck::{
    ServiceError,
    id::ObjectName,
    message,
    message::{SampleId, SampleRecord},
};

/// The largest number of samples in a step.
pub const STEP_SAMPLE_LIMIT: u32 = 65_536;

/// The largest number of samples in a batch, so that a batch stays well below the message limit.
pub const BATCH_SAMPLE_LIMIT: usize = 128;

/// The largest text of a batch in bytes, half of the message limit.
pub const BATCH_BYTE_LIMIT: usize = 2 << 20;

/// A sample as the stored composition names it.
#[message]
pub struct BatchSample {
    /// The identity.
    pub id: SampleId,
    /// The digest of text and labels; two runs of one sample may both have finished, and a
    /// successor must offer the one that was offered before.
    pub digest: [u8; 32],
}

/// A batch's composition.
#[message]
pub struct BatchRecord {
    /// The cursor, counted from zero.
    pub cursor: u32,
    /// The samples.
    pub samples: Vec<BatchSample>,
}

/// An entry of a step's log in the store.
///
/// Every change of a step is appended by creating the key of the next position, which fails if
/// another owner has appended there. A former owner whose view is old therefore cannot add to what
/// its successor did.
#[message]
pub enum StepEntry {
    /// This batch may be offered from now on.
    Offer(BatchRecord),
    /// The batch at this cursor is never offered any more.
    Lost(u32),
}

/// The static properties of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepConfig {
    /// The run.
    pub run: ObjectName,
    /// The largest lag of a delivered sample's oldest token behind the current version.
    pub staleness_bound: u64,
    /// Whether staleness, labels and generations are checked; only tests turn this off, to show
    /// that the checks are what keeps the guarantees.
    pub checked: bool,
}

/// A sample that should be generated now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SampleTask {
    /// The identity.
    pub id: SampleId,
    /// The prompt.
    pub prompt: String,
    /// The largest number of tokens.
    pub max_tokens: u32,
    /// The priority; members of nearly complete groups go first.
    pub priority: u8,
}

/// Why a finished sample was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscardReason {
    /// The identity is not of this step, or its generation is over.
    NotExpected,
    /// Another run of the sample was accepted first.
    AlreadyAccepted,
    /// A token's weight version is unknown.
    UnknownVersion,
    /// The oldest token is older than the staleness bound allows.
    Stale,
}

/// What the owner does for a fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchAction {
    /// Answers that no batch is ready.
    Pending,
    /// Appends this entry to the step's log in the store, then calls
    /// [`StepLedger::confirm`](crate::ledger::StepLedger::confirm).
    Persist(StepEntry),
    /// Answers with this batch.
    Offer {
        /// The samples.
        samples: Vec<SampleRecord>,
        /// Whether no more samples follow.
        last: bool,
    },
    /// Answers that the batch is lost.
    Lost(Vec<SampleId>),
    /// Refuses the fetch.
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
