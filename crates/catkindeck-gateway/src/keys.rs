//! The keys of the gateway in the platform's key-value store, and the values stored under them.

use {
    crate::port::{LeaseId, StoreItem},
    catkindeck::{
        ErrorKind, ServiceError,
        id::{IncarnationId, ObjectName},
        key, message,
        token::WeightVersion,
    },
    catkindeck_policy::direct::{
        HostCapacity, ItemProgress, TrainerId, TrainerPace, rendezvous_score,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
};

/// The prefix of the registrations of gateway processes: one key each, bound to the lease of the process.
pub const MEMBER_PREFIX: &str = "ckd/members/";
/// The key of the leader's registration, bound to the leader's lease.
pub const LEADER_KEY: &str = "ckd/control";
/// The prefix of the records that name the owner of each job: one key each.
pub const JOB_RECORD_PREFIX: &str = "ckd/open/";
/// The prefix of the submissions, results and partial texts of jobs.
const JOB_PREFIX: &str = "ckd/jobs/";
/// The key of the limits that upstreams name, as last written by the leader.
pub const LIMITS_KEY: &str = "ckd/limits";
/// The key of the counts of usage windows that are not sealed yet.
pub const UNSEALED_USAGE_KEY: &str = "ckd/open-usage";
/// Present once a configuration with customers was in use.
pub const CUSTOMER_MARK_KEY: &str = "ckd/customers";
/// The prefix of the paces of trainers: one key each.
pub const PACE_PREFIX: &str = "ckd/pace/";

/// The prefix of the groups that trainers will ask for again: [`CARRY_SLOTS`] keys each.
pub const CARRY_PREFIX: &str = "ckd/carry/";

/// The number of steps of a trainer whose incomplete groups are stored. A trainer with two open steps may end both
/// before it asks for the groups of the first.
pub const CARRY_SLOTS: u64 = 2;
/// The prefix of the sealed usage windows: one key each.
pub const USAGE_PREFIX: &str = "ckd/usage/";

/// The longest identifier of a job, in bytes. The store's keys are limited to 200 bytes.
const JOB_ID_LIMIT: usize = 96;

/// The registration of a gateway process.
#[message]
pub struct MemberRecord {
    pub host: ObjectName,
    /// Identifies the run of the process.
    pub incarnation: IncarnationId,
    pub zone: ObjectName,
    /// The address for calls from other gateway processes.
    pub peer: SocketAddr,
    pub serves_callers: bool,
    /// The CPU time available to the process, in thousandths of a core.
    #[serde(rename = "processor")]
    pub cpu_millicores: u32,
    /// The lease under which the process was registered when this record was written, if any.
    pub lease: Option<LeaseId>,
}

#[key]
pub enum JobState {
    /// The owner runs the items.
    Running,
    /// The results of all items are listed.
    #[serde(rename = "Whole")]
    Complete,
    /// The job was cancelled by its caller.
    #[serde(rename = "Ended")]
    Cancelled,
}

/// Names the owner and the state of a job.
///
/// All writes of results are conditional on the revision of this record, so a change of the record makes
/// later writes of a previous owner fail.
#[message]
pub struct JobRecord {
    pub job: String,
    pub owner: MemberRecord,
    pub state: JobState,
    /// The customer to whom the job belongs; `None` if no key was needed when it was accepted.
    pub customer: Option<ObjectName>,
    /// When the job was first submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
}

/// The pace of a trainer, from which a new owner of its steps knows how late it is.
#[message]
pub struct PaceRecord {
    pub trainer: TrainerId,
    pub pace: TrainerPace,
}

/// The incomplete groups of an ended step, from which a new owner knows what the trainer asks for again.
#[message]
pub struct CarryRecord {
    pub trainer: TrainerId,
    /// The oldest weight version that the step allowed.
    pub least_version: WeightVersion,
    /// The items of these groups, by their ids.
    pub items: Vec<String>,
    /// The texts that the trainer's next step can probably use, by the id of the item.
    pub texts: Vec<(String, ItemProgress)>,
}

/// Checks that an identifier may be part of a key.
///
/// # Errors
///
/// Returns `bad_request` if the identifier is empty, too long or has characters that are not allowed.
pub fn check_job_id(id: &str) -> Result<(), ServiceError> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if id.is_empty() || id.len() > JOB_ID_LIMIT || !id.chars().all(allowed) {
        let detail = format!(
            "invalid job id `{id}`: expected 1 to {JOB_ID_LIMIT} ASCII letters, digits, '-', '_' or '.'"
        );
        return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
    }
    Ok(())
}

pub fn member_key(host: &ObjectName) -> String {
    format!("{MEMBER_PREFIX}{host}")
}

pub fn job_record_key(job: &str) -> String {
    format!("{JOB_RECORD_PREFIX}{job}")
}

/// Returns the prefix of all keys of a job, except the key of its [`JobRecord`].
pub fn job_prefix(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/")
}

/// Returns the key of one part of a job's submission.
pub fn spec_key(job: &str, part: usize) -> String {
    format!("{JOB_PREFIX}{job}/spec/{part:03}")
}

/// Returns the key of the results that start at position `first`.
pub fn result_key(job: &str, first: u32) -> String {
    format!("{JOB_PREFIX}{job}/results/{first:06}")
}

/// Returns the key of the partial texts of a job.
pub fn texts_key(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/texts")
}

/// The kind of value that is stored under a key below [`job_prefix`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKeyKind {
    /// A part of the submission.
    Spec,
    /// A block of consecutive results, stored under one key.
    Results,
    /// The partial texts of items that are not listed yet.
    Texts,
}

pub fn job_key_kind(key: &str) -> JobKeyKind {
    match () {
        () if key.contains("/spec/") => JobKeyKind::Spec,
        () if key.ends_with("/texts") => JobKeyKind::Texts,
        () => JobKeyKind::Results,
    }
}

/// Returns the key of a trainer's pace. It holds a digest, because the names together may be too long for a key.
pub fn pace_key(trainer: &TrainerId) -> String {
    format!("{PACE_PREFIX}{:016x}", trainer_digest(trainer))
}

/// Returns the prefix of the keys with a trainer's incomplete groups.
pub fn carry_prefix(trainer: &TrainerId) -> String {
    format!("{CARRY_PREFIX}{:016x}/", trainer_digest(trainer))
}

/// Returns the key of the incomplete groups of a step. Steps in a row have different keys, as their oldest versions
/// differ by one.
pub fn carry_key(trainer: &TrainerId, least_version: WeightVersion) -> String {
    format!("{}{}", carry_prefix(trainer), least_version.0 % CARRY_SLOTS)
}

fn trainer_digest(trainer: &TrainerId) -> u64 {
    let customer = trainer.customer.as_ref().map_or("", ObjectName::as_str);
    let names = [customer, trainer.route.as_str(), trainer.model.as_str()];
    rendezvous_score(&names.map(str::as_bytes))
}

pub fn usage_key(window: u64) -> String {
    format!("{USAGE_PREFIX}{window:012}")
}

/// Encodes a value for the store or for a peer.
///
/// # Errors
///
/// Returns `internal` if the value cannot be encoded, which is a bug.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, ServiceError> {
    postcard::to_stdvec(value)
        .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))
}

/// Decodes a value from the store or from a peer.
///
/// # Errors
///
/// Returns `internal` if the bytes are not a valid encoding, for example because another version wrote
/// them.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, ServiceError> {
    postcard::from_bytes(value).map_err(decoding_error)
}

fn decoding_error(error: postcard::Error) -> ServiceError {
    let detail = format!("cannot decode a stored or received value: {error}");
    ServiceError::unknown(ErrorKind::Internal, detail)
}

/// Encodes a registration, followed by what its host can carry. Builds that do not know the latter ignore bytes after
/// the record.
///
/// # Errors
///
/// As [`encode`].
pub fn encode_member(
    record: &MemberRecord,
    capacity: Option<HostCapacity>,
) -> Result<Vec<u8>, ServiceError> {
    let mut value = encode(record)?;
    if let Some(capacity) = capacity {
        value.extend(encode(&capacity)?);
    }
    Ok(value)
}

/// Decodes a registration with what its host can carry, if it was written by a build that says so.
///
/// # Errors
///
/// As [`decode`].
pub fn decode_member(
    item: &StoreItem,
) -> Result<(MemberRecord, Option<HostCapacity>), ServiceError> {
    decode_with_trailer(&item.value)
}

/// Decodes a value and what may follow it. A trailer that cannot be decoded counts as missing, because a later build
/// may have written another one.
///
/// # Errors
///
/// As [`decode`].
pub fn decode_with_trailer<T: DeserializeOwned, E: DeserializeOwned>(
    value: &[u8],
) -> Result<(T, Option<E>), ServiceError> {
    let (value, rest) = postcard::take_from_bytes(value).map_err(decoding_error)?;
    Ok((value, postcard::from_bytes(rest).ok()))
}

/// Precedes stored texts. Earlier builds stored texts without software versions, which must not be taken for ones
/// of this form or the other way round: as a length, these bytes exceed any value.
const TEXTS_FORMAT: [u8; 6] = [0xff, 0xff, 0xff, 0xff, 0x0f, 2];

/// Encodes the partial texts of a job.
///
/// # Errors
///
/// As [`encode`].
pub fn encode_texts(texts: &impl Serialize) -> Result<Vec<u8>, ServiceError> {
    let mut value = TEXTS_FORMAT.to_vec();
    value.extend(encode(texts)?);
    Ok(value)
}

/// Decodes the partial texts of a job.
///
/// # Errors
///
/// As [`decode`].
pub fn decode_texts<T: DeserializeOwned>(value: &[u8]) -> Result<T, ServiceError> {
    match value.strip_prefix(&TEXTS_FORMAT) {
        Some(value) => decode(value),
        None => Err(ServiceError::unknown(
            ErrorKind::Internal,
            "the texts were stored by a build that does not know software versions",
        )),
    }
}

/// Decodes the value of an item.
///
/// # Errors
///
/// As [`decode`].
pub fn decode_item<T: DeserializeOwned>(item: &StoreItem) -> Result<T, ServiceError> {
    decode(&item.value)
}
