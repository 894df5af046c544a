//! Messages between the processes of the system.
//!
//! All are encoded by postcard, length-prefixed, one bidirectional stream a call. The exchange is
//! described in `docs/design.md`, section 5.

use crate::{
    config::{ConfigRevision, ConfigSnapshot, ZoneState},
    error::{ExecutionOutcome, ServiceError},
    id::{BodyDigest, BootId, IncarnationId, ObjectName, RequestId},
    key, message,
    token::{VersionLabels, WeightVersion},
};

/// The largest encoded message, in bytes.
pub const MESSAGE_LIMIT: usize = 4 << 20;

/// A request with the sender's configuration revision.
///
/// A receiver that knows a lower revision fetches the newer one before it serves the request.
#[message]
pub struct PeerEnvelope {
    /// The highest revision that the sender ever used.
    pub revision: ConfigRevision,
    /// The request.
    pub request: PeerRequest,
}

/// What one process asks of another.
#[message]
pub enum PeerRequest {
    /// Runs a caller's request; answered by `Started`, `Head`, `Chunk` and `Finished` or `Refused`.
    Execute(Box<ExecuteRequest>),
    /// Forbids a request to start; answered by `Revoked` or `Execution`.
    Revoke {
        /// The request.
        request: RequestId,
        /// The incarnation to which the request was sent.
        incarnation: IncarnationId,
    },
    /// Looks up the execution of an idempotency key; answered by `Execution`.
    FindExecution {
        /// The customer, or `None` for a caller on an open route.
        customer: Option<ObjectName>,
        /// The route.
        route: ObjectName,
        /// The caller's idempotency key.
        idempotency_key: String,
        /// Whether the agent must record that it never starts this key.
        forbid_start: bool,
    },
    /// Ends a running request whose result is no longer wanted; answered by `Done`.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Reads the load; answered by `Load`.
    ReadLoad,
    /// Gives an order to the upstream through its agent; answered by `Done`.
    Order(UpstreamOrder),
    /// Hands over a configuration; answered by `Revision`.
    PushConfiguration(Box<ConfigSnapshot>),
    /// Fetches the configuration; answered by `Configuration`.
    FetchConfiguration,
    /// Asks for the revision in use; answered by `Revision`.
    ReadRevision,
    /// Collects closed usage windows; answered by `Usage`.
    CollectUsage {
        /// The last window that the collector has sealed for this agent, if any.
        sealed_through: Option<u64>,
    },
    /// Collects finished samples that were not released; answered by `Samples`.
    CollectSamples {
        /// The run.
        run: ObjectName,
        /// The step.
        step: u64,
    },
    /// Releases retained samples; answered by `Done`.
    ReleaseSamples {
        /// The samples.
        samples: Vec<SampleId>,
    },
    /// Hands a trainer's request to the owner of its run; answered by `StepAnswer`.
    ForwardStep(StepRequest),
    /// Reports bodies that crashed upstreams; answered by `Done`.
    ReportCrashes {
        /// The digests with the upstreams that they crashed.
        crashes: Vec<CrashReport>,
    },
    /// Hands execution records over to the next home before shutdown; answered by `Done`.
    AdoptExecutions {
        /// The records.
        records: Vec<ExecutionRecord>,
    },
    /// Asks an entry what it knows of the newest configuration; answered by `Spread`.
    ReadSpread,
    /// Fetches the head and the named parts of the configuration; answered by `Shards`.
    FetchShards {
        /// The parts that the caller lacks; empty asks only for the head.
        shards: Vec<ShardRef>,
    },
}

/// Names an immutable part of the configuration.
#[message]
#[derive(PartialOrd, Ord, Default)]
pub struct ShardRef {
    /// The name.
    pub name: String,
    /// The number of this content, which differs between contents of one name.
    pub number: u64,
}

/// A part of the configuration.
#[message]
pub struct ShardBytes {
    /// Which part it is.
    pub shard: ShardRef,
    /// The encoded content.
    pub bytes: Vec<u8>,
}

/// What an entry knows of the newest configuration.
#[message]
pub struct PropagationReport {
    /// The highest revision that it knows of.
    pub revision: ConfigRevision,
    /// The entry's availability zone.
    pub zone: ObjectName,
    /// The age of the newest evidence that no higher revision exists, in milliseconds.
    pub age_ms: Option<u64>,
    /// Whether the entry asks the store and the other zones on behalf of its zone.
    pub reader: bool,
    /// Whether the entry has had evidence since it started, so that its word counts for its zone.
    pub settled: bool,
    /// Whether the entry uses this revision, and does not only know of it.
    pub used: bool,
}

/// One part of an answer.
#[message]
pub enum PeerFrame {
    /// The request was handed to the upstream.
    Started {
        /// The request.
        request: RequestId,
        /// The agent's incarnation.
        incarnation: IncarnationId,
    },
    /// Status and headers of a plain service's answer.
    Head {
        /// The request.
        request: RequestId,
        /// The HTTP status.
        status: u16,
        /// The headers that may be passed on.
        headers: Vec<(String, String)>,
    },
    /// A piece of the answer.
    Chunk {
        /// The request.
        request: RequestId,
        /// The position of this chunk, counted from zero.
        sequence: u32,
        /// The bytes: text of an engine's answer or the body of a plain service's.
        bytes: Vec<u8>,
        /// The number of tokens in this chunk, zero for a plain service.
        tokens: u32,
        /// The weight version that the engine reported for these tokens.
        version: Option<WeightVersion>,
    },
    /// The answer is whole.
    Finished {
        /// The request.
        request: RequestId,
        /// The number of chunks sent, by which the receiver checks that none is missing.
        chunks: u32,
        /// What the execution produced.
        record: Box<ExecutionRecord>,
        /// The load after the request.
        load: Box<LoadReport>,
    },
    /// The request was refused or failed.
    Refused {
        /// The request.
        request: RequestId,
        /// The error, with what is known about the execution.
        error: ServiceError,
        /// Whether the upstream broke the connection while it ran the request, as it does when it
        /// crashes; such bodies are counted for quarantine, and mere failures are not.
        crashed: bool,
        /// The load, which makes a refusal useful to the router.
        load: Box<LoadReport>,
    },
    /// The request had not started and never will.
    Revoked {
        /// The request.
        request: RequestId,
    },
    /// What the agent knows about an execution; `None` means that it knows nothing.
    Execution(Option<Box<ExecutionRecord>>),
    /// The load.
    Load(Box<LoadReport>),
    /// The request was carried out and has no result.
    Done,
    /// The configuration.
    Configuration(Box<ConfigSnapshot>),
    /// The revision in use.
    Revision(ConfigRevision),
    /// Usage counts.
    Usage(Vec<UsageLine>),
    /// Finished samples.
    Samples(Vec<SampleRecord>),
    /// The answer to a trainer.
    StepAnswer(StepAnswer),
    /// The request failed as a whole.
    Failed(ServiceError),
    /// What an entry knows of the newest configuration.
    Spread(PropagationReport),
    /// The head of the configuration and the parts that were asked for.
    Shards {
        /// The encoded head.
        head: Vec<u8>,
        /// The parts.
        shards: Vec<ShardBytes>,
    },
}

/// The classes of work, from most to least urgent.
#[key]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// A person or a service waits for the answer.
    Interactive,
    /// A sample for a training step.
    Rollout,
    /// Work that may wait.
    Batch,
}

/// A caller's request on its way to an agent.
#[message]
pub struct ExecuteRequest {
    /// The identity, which stays the same through all attempts.
    pub request: RequestId,
    /// The agent's incarnation to which the request is addressed, if the sender knows it.
    pub incarnation: Option<IncarnationId>,
    /// The customer, or `None` for a caller on an open route.
    pub customer: Option<ObjectName>,
    /// The route.
    pub route: ObjectName,
    /// The service.
    pub service: ObjectName,
    /// The class of work.
    pub class: WorkClass,
    /// The priority within the class; higher goes first.
    pub priority: u8,
    /// The attempt, counted from one.
    pub attempt: u8,
    /// The time left until the caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may be run again.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The digest by which crashes are counted.
    pub digest: BodyDigest,
    /// The sample that the answer becomes.
    pub sample: Option<SampleId>,
    /// The work itself.
    pub body: WorkBody,
}

/// The work of a request.
#[message]
pub enum WorkBody {
    /// A completion by a model engine.
    Completion(CompletionBody),
    /// A call of a plain service.
    Call(CallBody),
}

/// A completion.
#[message]
pub struct CompletionBody {
    /// The prompt.
    pub prompt: String,
    /// The largest number of tokens to generate.
    pub max_tokens: u32,
    /// The text generated before a cut, from which the engine goes on.
    pub resume_text: String,
    /// The number of tokens in `resume_text`.
    pub resume_tokens: u32,
}

/// A call of a plain service.
#[message]
pub struct CallBody {
    /// The HTTP method.
    pub method: String,
    /// The path and query below the route, without any key.
    pub path: String,
    /// The headers that may be passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub bytes: Vec<u8>,
}

/// The states of an execution.
#[key]
pub enum ExecutionState {
    /// The key or request was forbidden before it started.
    Forbidden,
    /// The request is queued and has not started.
    Queued,
    /// The request was handed to the upstream.
    Running,
    /// The answer is whole.
    Finished,
    /// The upstream failed after the start.
    Failed,
}

/// What an agent knows about one execution.
#[message]
pub struct ExecutionRecord {
    /// The request.
    pub request: RequestId,
    /// The customer.
    pub customer: Option<ObjectName>,
    /// The route.
    pub route: ObjectName,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The digest of the body, by which reuse of a key for another body is found.
    pub digest: BodyDigest,
    /// The state.
    pub state: ExecutionState,
    /// The upstream's boot identity.
    pub boot: BootId,
    /// The labels of the generated tokens.
    pub labels: VersionLabels,
    /// The HTTP status of a plain service's answer.
    pub status: u16,
    /// The headers of a plain service's answer that may be passed on.
    pub headers: Vec<(String, String)>,
    /// The answer of a finished request with an idempotency key, replayed to its retries.
    pub answer: Vec<u8>,
    /// Whether `answer` is the whole answer; it is not if the answer was too large to keep.
    ///
    /// Without this mark a dropped answer would be replayed as an empty one.
    pub answer_kept: bool,
}

/// The largest answer that is kept for replay, in bytes; a record must fit into a message.
pub const REPLAY_BODY_LIMIT: usize = 2 << 20;

impl ExecutionRecord {
    /// Returns what this record proves about the execution.
    pub fn outcome(&self) -> ExecutionOutcome {
        match self.state {
            ExecutionState::Forbidden => ExecutionOutcome::NotRun,
            ExecutionState::Finished => ExecutionOutcome::Finished,
            ExecutionState::Queued | ExecutionState::Running | ExecutionState::Failed => {
                ExecutionOutcome::Unknown
            }
        }
    }
}

/// The load of one upstream as its agent sees it.
#[message]
pub struct LoadReport {
    /// The agent's incarnation.
    pub incarnation: IncarnationId,
    /// The upstream's boot identity.
    pub boot: BootId,
    /// The concurrency limit now in force.
    pub limit: u32,
    /// The number of requests at the upstream.
    pub in_flight: u32,
    /// The number of requests in the agent's queue.
    pub queued: u32,
    /// The number of requests that the asking entry may send without another report.
    pub credits: u32,
    /// Whether the upstream is leaving or its availability zone is out.
    pub closed: bool,
    /// The weight version that the engine last reported.
    pub version: Option<WeightVersion>,
    /// The configuration revision that the agent uses.
    pub revision: ConfigRevision,
    /// Digests of prompt prefixes that the engine holds, newest last, at most 64.
    pub prefixes: Vec<u64>,
}

/// The length of the prompt prefix by which caches are compared, in bytes.
pub const PREFIX_BYTES: usize = 256;

/// Digests a prompt's prefix as in [`LoadReport::prefixes`] and the engines' cache events.
///
/// A prompt shorter than [`PREFIX_BYTES`] is its own prefix.
pub fn prefix_digest(prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    let hash = blake3::hash(&prompt.as_bytes()[..end]);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// An order to an upstream, which its agent carries out under the fencing number.
#[message]
pub struct UpstreamOrder {
    /// The identity, by which a repeated order is recognised.
    pub order: RequestId,
    /// The lease under which the order is given; numbers of one lease are compared.
    pub lease: ObjectName,
    /// The fencing number of that lease.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order asks for.
#[message]
pub enum OrderKind {
    /// Loads weights into memory without using them.
    Stage(WeightVersion),
    /// Switches to staged weights.
    Activate(WeightVersion),
    /// Changes the engine's role.
    ChangeRole(String),
    /// Stops taking new work before the upstream leaves.
    Leave,
    /// Announces that the zone went out or came back, ahead of the configuration.
    SetZone(ZoneState),
}

/// The identity of a sample.
///
/// A replacement for a lost sample has the next generation, so that no identity is delivered twice
/// (`docs/design.md`, decision 11).
#[message]
#[derive(PartialOrd, Ord, Hash)]
pub struct SampleId {
    /// The run.
    pub run: ObjectName,
    /// The step.
    pub step: u64,
    /// The group within the step.
    pub group: u32,
    /// The index within the group.
    pub index: u32,
    /// The generation, counted from zero.
    pub generation: u32,
}

/// A finished sample.
#[message]
pub struct SampleRecord {
    /// The identity.
    pub id: SampleId,
    /// The generated text.
    pub text: String,
    /// The labels.
    pub labels: VersionLabels,
}

/// A trainer's request.
#[message]
pub struct StepRequest {
    /// The run.
    pub run: ObjectName,
    /// The customer whose key came with the request.
    pub customer: ObjectName,
    /// What is asked.
    pub action: StepAction,
}

/// What a trainer asks for.
#[message]
pub enum StepAction {
    /// Opens a step; opening the same step again with the same content is accepted.
    Open(StepPlan),
    /// Fetches the batch at a cursor and acknowledges the one before.
    Fetch {
        /// The step.
        step: u64,
        /// The cursor, counted from zero.
        cursor: u32,
    },
    /// Announces new weights.
    Announce(WeightVersion),
}

/// The content of a training step.
#[message]
pub struct StepPlan {
    /// The step.
    pub step: u64,
    /// One prompt for each group.
    pub prompts: Vec<String>,
    /// The number of samples in each group.
    pub group_size: u32,
    /// The largest number of tokens in a sample.
    pub max_tokens: u32,
}

/// The answer to a trainer.
#[message]
pub enum StepAnswer {
    /// The step is open or the weights are announced.
    Accepted,
    /// No batch is ready at this cursor yet.
    Pending {
        /// The number of samples accepted so far.
        accepted: u32,
        /// The number of samples in the step.
        total: u32,
    },
    /// The batch at the cursor.
    Batch {
        /// The samples.
        samples: Vec<SampleRecord>,
        /// Whether the step is whole with this batch.
        last: bool,
    },
    /// The batch's data is lost; replacements come at later cursors.
    Lost {
        /// The samples that are never delivered under these identities.
        samples: Vec<SampleId>,
    },
    /// The request was refused.
    Refused(ServiceError),
}

/// Usage of one customer on one service in one window.
#[message]
#[derive(PartialOrd, Ord)]
pub struct UsageLine {
    /// The window, as its start in whole windows of [`USAGE_WINDOW_MS`] since the Unix epoch.
    pub window: u64,
    /// The customer, or `None` for callers on open routes.
    pub customer: Option<ObjectName>,
    /// The service.
    pub service: ObjectName,
    /// The requests that were delivered whole.
    pub requests: u64,
    /// The tokens that were delivered.
    pub tokens: u64,
}

/// The length of a usage window, in milliseconds.
pub const USAGE_WINDOW_MS: u64 = 60_000;

/// A body that was at an upstream when it crashed.
#[message]
pub struct CrashReport {
    /// The body's digest.
    pub digest: BodyDigest,
    /// The upstream that crashed.
    pub upstream: ObjectName,
}
