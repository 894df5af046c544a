//! A run's state in the platform's key-value service.
//!
//! The service cannot remove keys, so a run alternates between two slots of keys. Step N overwrites
//! the keys of step N - 2 or an earlier one, and each value contains the number of its step.

use {
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        id::ObjectName,
        message,
        message::StepPlan,
        platform::{StoreClient, StoreValue, SwapOutcome},
        token::WeightVersion,
    },
    catkindeck_policy::batch::StepEntry,
    serde::{Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// The maximum size of a plan part, in bytes. The store limits values to 1 MB, and encoding a part
/// as a JSON string at most doubles the size of ordinary text.
const PLAN_PART_BYTES: usize = 400_000;

/// The maximum number of plan parts. It keeps a plan small enough for a message between processes.
const PLAN_PART_LIMIT: usize = 10;

#[message]
pub struct RunHead {
    /// The open step, or `None` before the first one.
    pub step: Option<u64>,
    /// The slot that contains the step, 0 or 1.
    pub slot: u8,
    /// The digest of the step's plan. Two competing owners may overwrite each other's plan; the
    /// digest then shows the mismatch, and the trainer must open the step again.
    pub plan_digest: [u8; 32],
    /// When the step was opened, in milliseconds since the Unix epoch. The deadline is relative to
    /// this time, also after a change of owner.
    pub opened_ms: u64,
    pub version: WeightVersion,
}

#[message]
struct PlanPart {
    step: u64,
    parts: usize,
    text: String,
}

#[message]
struct StepLogRecord {
    step: u64,
    entry: StepEntry,
}

/// The outcome of appending an entry to a step's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    Stored,
    /// The log already has another entry at this position, so the owner's state is outdated.
    Conflict,
}

/// Reads and writes the keys of one run.
pub struct RunStorage {
    run: ObjectName,
    store: Arc<dyn StoreClient>,
}

impl Default for RunHead {
    fn default() -> Self {
        Self {
            step: None,
            slot: 0,
            plan_digest: [0; 32],
            opened_ms: 0,
            version: WeightVersion(0),
        }
    }
}

impl RunStorage {
    pub fn new(run: ObjectName, store: Arc<dyn StoreClient>) -> Self {
        Self { run, store }
    }

    /// Returns the head and its version in the store. If there is no head yet, the version is zero.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be read.
    pub fn read_head(&self) -> Result<(RunHead, u64), ServiceError> {
        match self.store.read(&self.head_key())? {
            Some(value) => Ok((decode(&value)?, value.version)),
            None => Ok((RunHead::default(), 0)),
        }
    }

    /// Replaces the head if its version is `expected`, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns `conflict` if another owner changed the head, and `store_unavailable` if the store
    /// cannot be written.
    pub fn write_head(&self, head: &RunHead, expected: u64) -> Result<u64, ServiceError> {
        match self
            .store
            .swap(&self.head_key(), expected, &encode(head)?)?
        {
            SwapOutcome::Written(version) => Ok(version),
            SwapOutcome::Conflict(_) => Err(ServiceError::not_run(
                ErrorKind::Conflict,
                format!("another owner changed run {}", self.run),
            )),
        }
    }

    /// Writes the plan of a step to a slot.
    ///
    /// # Errors
    ///
    /// Returns `too_large` if the plan is too large, and `store_unavailable` if the store cannot be
    /// written.
    pub fn write_plan(&self, slot: u8, plan: &StepPlan) -> Result<(), ServiceError> {
        let text = serde_json::to_string(plan).map_err(encode_error)?;
        let parts = split_text(&text, PLAN_PART_BYTES);
        if parts.len() > PLAN_PART_LIMIT {
            let limit = PLAN_PART_LIMIT * PLAN_PART_BYTES;
            return Err(ServiceError::not_run(
                ErrorKind::TooLarge,
                format!("the plan of a step exceeds {limit} bytes"),
            ));
        }
        for (index, part) in parts.iter().enumerate() {
            let part = PlanPart {
                step: plan.step,
                parts: parts.len(),
                text: (*part).to_owned(),
            };
            self.overwrite(&self.plan_key(slot, index), &encode(&part)?)?;
        }
        Ok(())
    }

    /// Reads the plan of a step from a slot.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be read, and `internal` if the plan is
    /// incomplete or malformed.
    pub fn read_plan(&self, slot: u8, step: u64) -> Result<StepPlan, ServiceError> {
        let mut text = String::new();
        let mut index = 0;
        loop {
            let value = self.store.read(&self.plan_key(slot, index))?;
            let part: Option<PlanPart> = value.as_ref().map(decode).transpose()?;
            let part = part.filter(|part| part.step == step).ok_or_else(|| {
                let detail = format!("part {index} of the plan of step {step} is missing");
                ServiceError::unknown(ErrorKind::Internal, detail)
            })?;
            text.push_str(&part.text);
            index += 1;
            if index >= part.parts {
                return serde_json::from_str(&text).map_err(decode_error);
            }
        }
    }

    /// Reads the log of a step from a slot.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be read.
    pub fn read_log(&self, slot: u8, step: u64) -> Result<Vec<StepEntry>, ServiceError> {
        let mut records = SortedMap::new();
        for (key, value) in self.store.list(&self.log_prefix(slot))? {
            let record: StepLogRecord = decode(&value)?;
            if record.step == step {
                records.insert(key, record.entry);
            }
        }
        Ok(records.values().cloned().collect())
    }

    /// Appends an entry to the log of a step.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the outcome of the write is unknown. The same entry may then
    /// be appended again.
    pub fn append(
        &self,
        slot: u8,
        step: u64,
        position: u32,
        entry: &StepEntry,
    ) -> Result<AppendOutcome, ServiceError> {
        let key = self.log_key(slot, position);
        let record = StepLogRecord {
            step,
            entry: entry.clone(),
        };
        let bytes = encode(&record)?;
        let mut expected = 0;
        loop {
            let stored = match self.store.swap(&key, expected, &bytes)? {
                SwapOutcome::Written(_) => return Ok(AppendOutcome::Stored),
                SwapOutcome::Conflict(None) => {
                    expected = 0;
                    continue;
                }
                SwapOutcome::Conflict(Some(stored)) => stored,
            };
            let present: StepLogRecord = decode(&stored)?;
            if present == record {
                return Ok(AppendOutcome::Stored);
            }
            if present.step >= step {
                return Ok(AppendOutcome::Conflict);
            }
            // The key still has the entry of an earlier step, which may be overwritten.
            expected = stored.version;
        }
    }

    fn overwrite(&self, key: &str, bytes: &[u8]) -> Result<(), ServiceError> {
        let mut expected = 0;
        loop {
            match self.store.swap(key, expected, bytes)? {
                SwapOutcome::Written(_) => return Ok(()),
                SwapOutcome::Conflict(None) => expected = 0,
                SwapOutcome::Conflict(Some(stored)) if stored.value == bytes => return Ok(()),
                SwapOutcome::Conflict(Some(stored)) => expected = stored.version,
            }
        }
    }

    fn head_key(&self) -> String {
        format!("run/{}/head", self.run)
    }

    fn plan_key(&self, slot: u8, part: usize) -> String {
        format!("run/{}/slot/{slot}/plan/{part:04}", self.run)
    }

    fn log_prefix(&self, slot: u8) -> String {
        format!("run/{}/slot/{slot}/log/", self.run)
    }

    fn log_key(&self, slot: u8, position: u32) -> String {
        format!("{}{position:08}", self.log_prefix(slot))
    }
}

/// Returns the digest of a plan.
///
/// # Errors
///
/// Returns `internal` if the plan cannot be encoded.
pub fn plan_digest(plan: &StepPlan) -> Result<[u8; 32], ServiceError> {
    Ok(*blake3::hash(&encode(plan)?).as_bytes())
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, ServiceError> {
    serde_json::to_vec(value).map_err(encode_error)
}

fn decode<T: DeserializeOwned>(stored: &StoreValue) -> Result<T, ServiceError> {
    serde_json::from_slice(&stored.value).map_err(decode_error)
}

fn encode_error(error: serde_json::Error) -> ServiceError {
    let detail = format!("cannot encode the state of a run: {error}");
    ServiceError::unknown(ErrorKind::Internal, detail)
}

fn decode_error(error: serde_json::Error) -> ServiceError {
    let detail = format!("the stored state of a run is malformed: {error}");
    ServiceError::unknown(ErrorKind::Internal, detail)
}

/// Splits a text into parts of at most `limit` bytes, at character boundaries.
fn split_text(text: &str, limit: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = limit.min(rest.len());
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, remainder) = rest.split_at(end);
        parts.push(part);
        rest = remainder;
    }
    parts
}
