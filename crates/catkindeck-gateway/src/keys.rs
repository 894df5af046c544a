//! The keys of the product in the platform's store and their values.

use {
    crate::port::{LeaseId, StoreItem},
    catkindeck::{
        ErrorKind, ServiceError,
        id::{IncarnationId, ObjectName},
        key, message,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
};

/// The processes of the system, a key each that ends with the process's lease.
pub const MEMBER_PREFIX: &str = "ckd/members/";
/// The process that does the control work; ends with its lease.
pub const LEADER_KEY: &str = "ckd/control";
/// Who runs which job, a key each.
pub const JOB_RECORD_PREFIX: &str = "ckd/open/";
/// The submissions and results of jobs.
const JOB_PREFIX: &str = "ckd/jobs/";
/// The counts of usage windows that are not sealed yet.
pub const UNSEALED_USAGE_KEY: &str = "ckd/open-usage";
/// The sealed usage windows, a key each.
pub const USAGE_PREFIX: &str = "ckd/usage/";

/// The longest identity of a job; a key has at most 200 bytes.
const JOB_ID_LIMIT: usize = 96;

/// A process of the system.
#[message]
pub struct MemberRecord {
    /// The host.
    pub host: ObjectName,
    /// The run of the process.
    pub incarnation: IncarnationId,
    /// The availability zone.
    pub zone: ObjectName,
    /// The address for other processes of the system.
    pub peer: SocketAddr,
    /// Whether it serves callers.
    pub serves_callers: bool,
    /// The processor time that it may use, in thousandths of a core.
    #[serde(rename = "processor")]
    pub cpu_millicores: u32,
    /// The lease under which it was registered when this record was written, if it was.
    pub lease: Option<LeaseId>,
}

/// Where a job stands.
#[key]
pub enum JobState {
    /// Items are run by the owner.
    Running,
    /// All items are listed.
    #[serde(rename = "Whole")]
    Complete,
    /// The job was ended by its caller.
    #[serde(rename = "Ended")]
    Cancelled,
}

/// Who runs a job; each change of this key makes the writes of a former owner fail.
#[message]
pub struct JobRecord {
    /// The job.
    pub job: String,
    /// The owner.
    pub owner: MemberRecord,
    /// Where the job stands.
    pub state: JobState,
    /// The customer who submitted it.
    pub customer: Option<ObjectName>,
    /// When it was first submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
}

/// Checks that an identity can stand in a key.
///
/// # Errors
///
/// Returns `bad_request` if it cannot.
pub fn check_job_id(id: &str) -> Result<(), ServiceError> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if id.is_empty() || id.len() > JOB_ID_LIMIT || !id.chars().all(allowed) {
        let detail = format!(
            "the identity of a job is 1 to {JOB_ID_LIMIT} letters, digits, '-', '_' or '.'"
        );
        return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
    }
    Ok(())
}

/// Returns the key of a process.
pub fn member_key(host: &ObjectName) -> String {
    format!("{MEMBER_PREFIX}{host}")
}

/// Returns the key that says who runs a job.
pub fn job_record_key(job: &str) -> String {
    format!("{JOB_RECORD_PREFIX}{job}")
}

/// Returns the prefix of everything that is stored of a job.
pub fn job_prefix(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/")
}

/// Returns the key of a part of a submission.
pub fn spec_key(job: &str, part: usize) -> String {
    format!("{JOB_PREFIX}{job}/spec/{part:03}")
}

/// Returns the key of the results from a position onward.
pub fn result_key(job: &str, first: u32) -> String {
    format!("{JOB_PREFIX}{job}/results/{first:06}")
}

/// Returns the key of the texts that a job's runner has so far.
pub fn texts_key(job: &str) -> String {
    format!("{JOB_PREFIX}{job}/texts")
}

/// What a key under the prefix of a job holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKeyKind {
    /// A part of the submission.
    Spec,
    /// Results from a position onward.
    Results,
    /// Texts of items that are not listed.
    Texts,
}

/// Returns what a key under the prefix of a job holds.
pub fn job_key_kind(key: &str) -> JobKeyKind {
    match () {
        () if key.contains("/spec/") => JobKeyKind::Spec,
        () if key.ends_with("/texts") => JobKeyKind::Texts,
        () => JobKeyKind::Results,
    }
}

/// Returns the key of a sealed usage window.
pub fn usage_key(window: u64) -> String {
    format!("{USAGE_PREFIX}{window:012}")
}

/// Encodes a value.
///
/// # Errors
///
/// Returns `internal` if the value has no encoding, which is a defect.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, ServiceError> {
    postcard::to_stdvec(value)
        .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))
}

/// Decodes a value.
///
/// # Errors
///
/// Returns `internal` if the value was not written by this version of the product.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, ServiceError> {
    postcard::from_bytes(value).map_err(|error| {
        let detail = format!("a stored value cannot be read: {error}");
        ServiceError::unknown(ErrorKind::Internal, detail)
    })
}

/// Decodes the value of an item.
///
/// # Errors
///
/// As [`decode`].
pub fn decode_item<T: DeserializeOwned>(item: &StoreItem) -> Result<T, ServiceError> {
    decode(&item.value)
}
