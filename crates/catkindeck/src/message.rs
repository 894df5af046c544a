//! Messages exchanged between the processes of the system.
//!
//! Messages are encoded with postcard and length-prefixed. Each call uses one bidirectional stream;
//! the protocol is described in `docs/design.md`, section 5.

use crate::{
    config::{ConfigRevision, ConfigSnapshot, ZoneState},
    error::{ExecutionOutcome, ServiceError},
    id::{BodyDigest, BootId, IncarnationId, ObjectName, RequestId},
    key, message,
    token::{VersionLabels, WeightVersion},
};

/// The maximum size of an encoded message, in bytes.
pub const MESSAGE_LIMIT: usize = 4 << 20;

/// A request together with the sender's configuration revision.
///
/// A receiver that knows only a lower revision fetches the newer one before it serves the request.
#[message]
pub struct PeerEnvelope {
    /// The highest revision that the sender has ever used.
    pub revision: ConfigRevision,
    pub request: PeerRequest,
}

/// A request from one process to another.
#[message]
pub enum PeerRequest {
    /// Executes a caller's request. The response is `Started`, `Head`, `Chunk`s and `Finished`, or
    /// `Refused`.
    Execute(Box<ExecuteRequest>),
    /// Prevents a request from starting. The response is `Revoked` or `Execution`.
    Revoke {
        request: RequestId,
        /// The agent incarnation to which the request was sent.
        incarnation: IncarnationId,
    },
    /// Looks up the execution of an idempotency key. The response is `Execution`.
    FindExecution {
        /// The customer, or `None` for a caller on a route that needs no key.
        customer: Option<ObjectName>,
        route: ObjectName,
        idempotency_key: String,
        /// Whether the agent must record that it will never start a request with this key.
        forbid_start: bool,
    },
    /// Cancels a running request whose result is no longer needed. The response is `Done`.
    Cancel { request: RequestId },
    /// Reads the load of the upstream. The response is `Load`.
    ReadLoad,
    /// Sends an order to the upstream through its agent. The response is `Done`.
    Order(UpstreamOrder),
    /// Delivers a configuration. The response is `Revision`.
    PushConfiguration(Box<ConfigSnapshot>),
    /// Fetches the configuration. The response is `Configuration`.
    FetchConfiguration,
    /// Reads the revision in use. The response is `Revision`.
    ReadRevision,
    /// Collects closed usage windows. The response is `Usage`.
    CollectUsage {
        /// The last window that the collector has sealed for this agent, if any.
        sealed_through: Option<u64>,
    },
    /// Collects finished samples that have not been released. The response is `Samples`.
    CollectSamples { run: ObjectName, step: u64 },
    /// Releases retained samples. The response is `Done`.
    ReleaseSamples { samples: Vec<SampleId> },
    /// Forwards a trainer's request to the owner of its run. The response is `StepAnswer`.
    ForwardStep(StepRequest),
    /// Reports request bodies that crashed upstreams. The response is `Done`.
    ReportCrashes {
        /// The digests of the bodies and the upstreams that they crashed.
        crashes: Vec<CrashReport>,
    },
    /// Transfers execution records to the next agent responsible for them before shutdown. The
    /// response is `Done`.
    AdoptExecutions { records: Vec<ExecutionRecord> },
    /// Reads what an entry knows about the newest configuration. The response is `Spread`.
    ReadSpread,
    /// Fetches the head and the listed shards of the configuration. The response is `Shards`.
    FetchShards {
        /// The shards that the caller is missing; an empty list requests only the head.
        shards: Vec<ShardRef>,
    },
}

/// Identifies an immutable shard of the configuration.
#[message]
#[derive(PartialOrd, Ord, Default)]
pub struct ShardRef {
    pub name: String,
    /// The number of this content; different contents under one name have different numbers.
    pub number: u64,
}

/// The content of a configuration shard.
#[message]
pub struct ShardBytes {
    pub shard: ShardRef,
    /// The shard's encoded content.
    pub bytes: Vec<u8>,
}

/// What an entry knows about the newest configuration.
#[message]
pub struct PropagationReport {
    /// The highest revision that the entry knows of.
    pub revision: ConfigRevision,
    /// The entry's availability zone.
    pub zone: ObjectName,
    /// The age of the latest confirmation that no higher revision exists, in milliseconds.
    pub age_ms: Option<u64>,
    /// Whether the entry polls the store and the other zones on behalf of its zone.
    pub reader: bool,
    /// Whether the entry has had such a confirmation since it started; only then does its report
    /// count for its zone.
    pub settled: bool,
    /// Whether the entry applies this revision rather than only knowing of it.
    pub used: bool,
}

/// One frame of the response to a [`PeerRequest`].
#[message]
pub enum PeerFrame {
    /// The request was sent to the upstream.
    Started {
        request: RequestId,
        incarnation: IncarnationId,
    },
    /// The status and headers of a plain HTTP service's response.
    Head {
        request: RequestId,
        status: u16,
        /// The headers that may be forwarded to the caller.
        headers: Vec<(String, String)>,
    },
    /// A chunk of the response.
    Chunk {
        request: RequestId,
        /// The index of this chunk, counted from zero.
        sequence: u32,
        /// The bytes: text generated by an engine, or part of a plain HTTP service's body.
        bytes: Vec<u8>,
        /// The number of tokens in this chunk; zero for a plain HTTP service.
        tokens: u32,
        /// The weight version that the engine reported for these tokens.
        version: Option<WeightVersion>,
    },
    /// The response is complete.
    Finished {
        request: RequestId,
        /// The number of chunks sent, which the receiver uses to detect missing ones.
        chunks: u32,
        /// The result of the execution.
        record: Box<ExecutionRecord>,
        /// The load after the request finished.
        load: Box<LoadReport>,
    },
    /// The request was rejected or failed.
    Refused {
        request: RequestId,
        /// The error, including what is known about the execution.
        error: ServiceError,
        /// Whether the upstream closed the connection while it ran the request, as it does when it
        /// crashes. Such bodies count towards quarantine; other failures do not.
        crashed: bool,
        /// The current load, which lets the router account for the rejection.
        load: Box<LoadReport>,
    },
    /// The request had not started and never will.
    Revoked { request: RequestId },
    /// What the agent knows about an execution, or `None` if it knows nothing.
    Execution(Option<Box<ExecutionRecord>>),
    /// The load of the upstream.
    Load(Box<LoadReport>),
    /// The request was carried out and has no result.
    Done,
    /// The configuration in use.
    Configuration(Box<ConfigSnapshot>),
    /// The configuration revision in use.
    Revision(ConfigRevision),
    /// Usage counts of closed windows.
    Usage(Vec<UsageLine>),
    /// Finished samples that have not been released.
    Samples(Vec<SampleRecord>),
    /// The response to a trainer.
    StepAnswer(StepAnswer),
    /// The call failed as a whole.
    Failed(ServiceError),
    /// What an entry knows about the newest configuration.
    Spread(PropagationReport),
    /// The head of the configuration and the requested shards.
    Shards {
        /// The encoded head.
        head: Vec<u8>,
        shards: Vec<ShardBytes>,
    },
}

/// The class of a request, declared from most to least urgent.
#[key]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// A person or a service is waiting for the response.
    Interactive,
    /// A sample for a training step.
    Rollout,
    /// Work that can be deferred.
    Batch,
}

/// A caller's request as sent to an agent.
#[message]
pub struct ExecuteRequest {
    /// The request's ID, which is the same in all attempts.
    pub request: RequestId,
    /// The agent incarnation to which the request is addressed, if the sender knows it.
    pub incarnation: Option<IncarnationId>,
    /// The customer, or `None` for a caller on a route that needs no key.
    pub customer: Option<ObjectName>,
    pub route: ObjectName,
    pub service: ObjectName,
    pub class: WorkClass,
    /// The priority within the class; higher values are served first.
    pub priority: u8,
    /// The number of the attempt, counted from one.
    pub attempt: u8,
    /// The time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    pub idempotency_key: Option<String>,
    /// The digest under which crashes of the upstream are counted.
    pub digest: BodyDigest,
    /// The sample that the response becomes, if any.
    pub sample: Option<SampleId>,
    pub body: WorkBody,
}

/// The payload of a request.
#[message]
pub enum WorkBody {
    /// A completion by a model engine.
    Completion(CompletionBody),
    /// A call of a plain HTTP service.
    Call(CallBody),
}

/// A completion request for a model engine.
#[message]
pub struct CompletionBody {
    pub prompt: String,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The text generated before an interruption, which the engine continues.
    pub resume_text: String,
    /// The number of tokens in `resume_text`.
    pub resume_tokens: u32,
}

/// A call of a plain HTTP service.
#[message]
pub struct CallBody {
    pub method: String,
    /// The path and query below the route, without credentials.
    pub path: String,
    /// The headers that may be forwarded to the upstream.
    pub headers: Vec<(String, String)>,
    pub bytes: Vec<u8>,
}

/// The state of an execution.
#[key]
pub enum ExecutionState {
    /// The key or request was forbidden before it started.
    Forbidden,
    /// The request is queued and has not started.
    Queued,
    /// The request was sent to the upstream.
    Running,
    /// The response is complete.
    Finished,
    /// The upstream failed after the request had started.
    Failed,
}

/// What an agent knows about one execution.
#[message]
pub struct ExecutionRecord {
    pub request: RequestId,
    /// The customer, or `None` for a caller on a route that needs no key.
    pub customer: Option<ObjectName>,
    pub route: ObjectName,
    pub idempotency_key: Option<String>,
    /// The digest of the body, which reveals that a key was reused for another body.
    pub digest: BodyDigest,
    pub state: ExecutionState,
    pub boot: BootId,
    /// The weight versions of the generated tokens.
    pub labels: VersionLabels,
    /// The HTTP status of a plain HTTP service's response.
    pub status: u16,
    /// The headers of a plain HTTP service's response that may be forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// The response of a finished request with an idempotency key, replayed to retries.
    pub answer: Vec<u8>,
    /// Whether `answer` holds the complete response; false if it was too large to store.
    ///
    /// Without this flag a discarded response would be replayed as an empty one.
    pub answer_kept: bool,
}

/// The maximum size of a response stored for replay, in bytes; a record must fit into a message.
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
    pub incarnation: IncarnationId,
    pub boot: BootId,
    /// The current concurrency limit.
    pub limit: u32,
    /// The number of requests being processed by the upstream.
    pub in_flight: u32,
    pub queued: u32,
    /// The number of requests that the receiving entry may send before the next report.
    pub credits: u32,
    /// Whether the upstream accepts no new work, because it is draining or its zone is out.
    pub closed: bool,
    /// The weight version that the engine last reported.
    pub version: Option<WeightVersion>,
    /// The configuration revision that the agent uses.
    pub revision: ConfigRevision,
    /// Digests of the prompt prefixes that the engine has cached, newest last, at most 64.
    pub prefixes: Vec<u64>,
}

/// The length of the prompt prefix by which caches are matched, in bytes.
pub const PREFIX_BYTES: usize = 256;

/// Returns the digest of a prompt's prefix as used in [`LoadReport::prefixes`] and in the engines'
/// cache events.
///
/// A prompt shorter than [`PREFIX_BYTES`] is hashed whole.
pub fn prefix_digest(prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    let hash = blake3::hash(&prompt.as_bytes()[..end]);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// An order to an upstream, which its agent executes if the fencing token is valid.
#[message]
pub struct UpstreamOrder {
    /// The order's ID, by which repetitions are recognised.
    pub order: RequestId,
    /// The lease under which the order is given; fencing tokens are compared within one lease.
    pub lease: ObjectName,
    /// The fencing token of the lease.
    pub fence: u64,
    pub kind: OrderKind,
}

/// The operation that an order requests.
#[message]
pub enum OrderKind {
    /// Loads weights into memory without using them.
    Stage(WeightVersion),
    /// Switches to staged weights.
    Activate(WeightVersion),
    ChangeRole(String),
    /// Drains the upstream before it is removed.
    Leave,
    /// Announces a new state of the zone before the configuration with it arrives.
    SetZone(ZoneState),
}

/// The identity of a sample.
///
/// A replacement for a lost sample has the next generation, so that no identity is delivered twice
/// (`docs/design.md`, decision 11).
#[message]
#[derive(PartialOrd, Ord, Hash)]
pub struct SampleId {
    pub run: ObjectName,
    pub step: u64,
    /// The index of the group within the step.
    pub group: u32,
    /// The index of the sample within the group.
    pub index: u32,
    /// The generation, counted from zero.
    pub generation: u32,
}

/// A finished sample.
#[message]
pub struct SampleRecord {
    pub id: SampleId,
    pub text: String,
    /// The weight versions of the generated tokens.
    pub labels: VersionLabels,
}

/// A trainer's request.
#[message]
pub struct StepRequest {
    pub run: ObjectName,
    /// The customer whose key authenticated the request.
    pub customer: ObjectName,
    pub action: StepAction,
}

/// The operation that a trainer requests.
#[message]
pub enum StepAction {
    /// Opens a step. Opening it again with the same content succeeds.
    Open(StepPlan),
    /// Fetches the batch at a cursor and acknowledges the previous one.
    Fetch {
        step: u64,
        /// The index of the batch, counted from zero.
        cursor: u32,
    },
    /// Announces that a new weight version is available.
    Announce(WeightVersion),
}

/// The content of a training step.
#[message]
pub struct StepPlan {
    pub step: u64,
    /// The prompts, one for each group.
    pub prompts: Vec<String>,
    pub group_size: u32,
    /// The maximum number of tokens in a sample.
    pub max_tokens: u32,
}

/// The response to a trainer.
#[message]
pub enum StepAnswer {
    /// The step was opened or the weights were announced.
    Accepted,
    /// No batch is available at this cursor yet.
    Pending {
        /// The number of samples accepted so far.
        accepted: u32,
        /// The number of samples in the step.
        total: u32,
    },
    /// The batch at the cursor.
    Batch {
        samples: Vec<SampleRecord>,
        /// Whether this batch completes the step.
        last: bool,
    },
    /// The data of the batch was lost; replacements are delivered at later cursors.
    Lost {
        /// The samples that will never be delivered under these identities.
        samples: Vec<SampleId>,
    },
    Refused(ServiceError),
}

/// The usage of one customer on one service in one window.
#[message]
#[derive(PartialOrd, Ord)]
pub struct UsageLine {
    /// The number of windows of [`USAGE_WINDOW_MS`] between the Unix epoch and this window's start.
    pub window: u64,
    /// The customer, or `None` for callers on routes that need no key.
    pub customer: Option<ObjectName>,
    pub service: ObjectName,
    /// The number of requests that were delivered completely.
    pub requests: u64,
    /// The number of tokens that were delivered.
    pub tokens: u64,
}

/// The length of a usage window, in milliseconds.
pub const USAGE_WINDOW_MS: u64 = 60_000;

/// A request body that was being processed by an upstream when the upstream crashed.
#[message]
pub struct CrashReport {
    /// The digest of the body.
    pub digest: BodyDigest,
    /// The upstream that crashed.
    pub upstream: ObjectName,
}
