//! Seals and reports a zone's usage windows (`docs/design.md`, decision 19).

use {
    crate::{authority::ControlLease, events},
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        id::ObjectName,
        log_event, message,
        message::{USAGE_WINDOW_MS, UsageLine},
        platform::{StoreClient, SwapOutcome, UsageSink},
    },
    slog::Logger,
    std::sync::Arc,
};

/// The delay between the end of a window and its sealing, in milliseconds. In this time, agents
/// whose clocks are slow close the window.
const SEAL_DELAY_MS: u64 = 5000;

/// The usage that was collected from one agent.
#[message]
pub struct AgentUsage {
    pub agent: ObjectName,
    /// The lines of closed windows that the agent does not know to be sealed.
    pub lines: Vec<UsageLine>,
}

/// The last window that was sealed for an agent.
#[message]
pub struct AgentWatermark {
    pub agent: ObjectName,
    /// The last window whose usage is sealed. Lines of this window and earlier ones are no longer
    /// accepted from this agent.
    pub sealed_through: u64,
}

/// The content of a sealed window. It is reported with exactly the bytes that are stored.
#[message]
pub struct SealedUsage {
    pub zone: ObjectName,
    /// The number of the window in which the usage is reported.
    pub window: u64,
    /// The usage. Lines of earlier windows were collected late and are reported in this one.
    pub lines: Vec<UsageLine>,
    /// The watermark of each agent after this window.
    pub marks: Vec<AgentWatermark>,
}

/// The progress of sealing and reporting for one zone.
#[message]
struct UsageProgress {
    /// The next window to seal and report.
    next: u64,
    /// The watermark of each agent before the next window.
    marks: Vec<AgentWatermark>,
}

pub trait UsageCollector: Send + Sync {
    /// Collects usage from the agents of a zone that can be reached, and informs each of its
    /// watermark.
    fn collect(&self, zone: &ObjectName, marks: &[AgentWatermark]) -> Vec<AgentUsage>;
}

/// The outcome of one step of the sealer.
#[message]
pub enum SealOutcome {
    /// There is nothing to do yet: the next window cannot be sealed before its end and the delay,
    /// or the lease is not held.
    Waiting,
    /// A step was made, and another one may follow immediately.
    Progress,
    /// The window with this number was reported, and another step may follow immediately.
    Reported(u64),
}

/// The time after the end of a window within which its report counts as on time, in milliseconds.
/// It allows for the delay before sealing, one collection and one failed attempt.
pub const REPORT_TARGET_MS: u64 = 3 * USAGE_WINDOW_MS;

/// Receives events of usage reporting for the service-level report.
pub trait UsageObserver: Send + Sync {
    /// Called when a window of a zone was reported; `on_time` tells whether it was on time.
    fn on_window_reported(&self, zone: &ObjectName, on_time: bool);
}

/// Seals and reports the windows of one zone in order. Each step makes at most a few external
/// calls.
///
/// The compare-and-swap that creates the key of a window fixes its content. After a failure or a
/// change of the lease holder, the next holder finds that key and reports the same bytes again.
pub struct UsageSealer {
    zone: ObjectName,
    store: Arc<dyn StoreClient>,
    sink: Arc<dyn UsageSink>,
    collector: Arc<dyn UsageCollector>,
    lease: Arc<dyn ControlLease>,
    logger: Logger,
    phase: SealPhase,
}

enum SealPhase {
    Reading,
    Sealing(u64, UsageProgress),
    Reporting(u64, UsageProgress, Vec<u8>),
    Advancing(u64, UsageProgress),
}

impl UsageSealer {
    /// Creates a sealer, whose first step reads the zone's progress.
    pub fn new(
        zone: ObjectName,
        store: Arc<dyn StoreClient>,
        sink: Arc<dyn UsageSink>,
        collector: Arc<dyn UsageCollector>,
        lease: Arc<dyn ControlLease>,
        logger: Logger,
    ) -> Self {
        Self {
            zone,
            store,
            sink,
            collector,
            lease,
            logger,
            phase: SealPhase::Reading,
        }
    }

    /// Makes the next step at the wall-clock time `unix_ms`, in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns the error of an external call. The next step then reads the progress again.
    pub fn step(&mut self, unix_ms: u64) -> Result<SealOutcome, ServiceError> {
        if self.lease.check().is_err() {
            self.phase = SealPhase::Reading;
            return Ok(SealOutcome::Waiting);
        }
        match std::mem::replace(&mut self.phase, SealPhase::Reading) {
            SealPhase::Reading => self.read(unix_ms),
            SealPhase::Sealing(version, progress) => self.seal(version, progress),
            SealPhase::Reporting(version, progress, sealed) => {
                self.report(version, progress, &sealed)
            }
            SealPhase::Advancing(version, progress) => self.advance(version, progress),
        }
    }

    fn read(&mut self, unix_ms: u64) -> Result<SealOutcome, ServiceError> {
        let closed = unix_ms.saturating_sub(SEAL_DELAY_MS) / USAGE_WINDOW_MS;
        let Some(stored) = self.store.read(&self.progress_key())? else {
            // Reporting starts with the last closed window, in which earlier usage is reported
            // late. This start is stored before anything is sealed: if it were computed again after
            // a failure, it would skip a window that is already sealed, and its lines would be
            // reported twice.
            let start = UsageProgress {
                next: closed.saturating_sub(1),
                marks: Vec::new(),
            };
            return self.advance(0, start);
        };
        let (version, progress): (u64, UsageProgress) = (stored.version, parse(&stored.value)?);
        if progress.next >= closed {
            return Ok(SealOutcome::Waiting);
        }
        self.phase = SealPhase::Sealing(version, progress);
        Ok(SealOutcome::Progress)
    }

    fn seal(&mut self, version: u64, progress: UsageProgress) -> Result<SealOutcome, ServiceError> {
        let key = format!("usage/{}/window/{}", self.zone, progress.next);
        let sealed = match self.store.read(&key)? {
            Some(stored) => stored.value,
            None => {
                let collected = self.collector.collect(&self.zone, &progress.marks);
                let content = seal_window(&self.zone, progress.next, &progress.marks, &collected);
                let bytes = to_json(&content)?;
                self.lease.check()?;
                match self.store.swap(&key, 0, &bytes)? {
                    SwapOutcome::Written(_) => {
                        log_event!(self.logger, events::USAGE_SEALED;
                            "zone" => %self.zone, "window" => progress.next,
                            "lines" => content.lines.len());
                        bytes
                    }
                    SwapOutcome::Conflict(Some(stored)) => stored.value,
                    SwapOutcome::Conflict(None) => return Ok(SealOutcome::Progress),
                }
            }
        };
        self.phase = SealPhase::Reporting(version, progress, sealed);
        Ok(SealOutcome::Progress)
    }

    fn report(
        &mut self,
        version: u64,
        progress: UsageProgress,
        sealed: &[u8],
    ) -> Result<SealOutcome, ServiceError> {
        let content: SealedUsage = parse(sealed)?;
        if let Err(error) = self.sink.report(&self.zone, progress.next, sealed) {
            let event = match error.kind {
                ErrorKind::Conflict => events::USAGE_CONFLICT,
                _ => events::USAGE_UNREPORTED,
            };
            log_event!(self.logger, event;
                "zone" => %self.zone, "window" => progress.next, "detail" => &error.detail);
            return Err(error);
        }
        let window = progress.next;
        let next = UsageProgress {
            next: window + 1,
            marks: content.marks,
        };
        self.phase = SealPhase::Advancing(version, next);
        Ok(SealOutcome::Reported(window))
    }

    fn advance(&mut self, version: u64, next: UsageProgress) -> Result<SealOutcome, ServiceError> {
        // On a conflict, another holder has stored its progress, which the next step reads.
        self.store
            .swap(&self.progress_key(), version, &to_json(&next)?)?;
        Ok(SealOutcome::Progress)
    }

    fn progress_key(&self) -> String {
        format!("usage/{}/progress", self.zone)
    }
}

/// Creates the content of a window from the collected usage.
///
/// Lines up to the watermark of their agent are already sealed and are left out. Lines of earlier
/// windows keep the number of their own window.
pub fn seal_window(
    zone: &ObjectName,
    window: u64,
    marks: &[AgentWatermark],
    collected: &[AgentUsage],
) -> SealedUsage {
    let mut sealed: SortedMap<ObjectName, u64> = marks
        .iter()
        .map(|mark| (mark.agent.clone(), mark.sealed_through))
        .collect();
    let mut lines: SortedMap<(u64, Option<ObjectName>, ObjectName), (u64, u64)> = SortedMap::new();
    for usage in collected {
        let sealed_before = sealed.get(&usage.agent).copied();
        let fresh = usage
            .lines
            .iter()
            .filter(|line| sealed_before.is_none_or(|sealed_before| line.window > sealed_before));
        for line in fresh {
            let key = (line.window, line.customer.clone(), line.service.clone());
            let count = lines.get_or_insert_with(key, || (0, 0));
            count.0 = count.0.saturating_add(line.requests);
            count.1 = count.1.saturating_add(line.tokens);
            let mark = sealed.get_or_insert_with(usage.agent.clone(), || line.window);
            *mark = line.window.max(*mark);
        }
    }
    SealedUsage {
        zone: zone.clone(),
        window,
        lines: lines
            .iter()
            .map(
                |((window, customer, service), (requests, tokens))| UsageLine {
                    window: *window,
                    customer: customer.clone(),
                    service: service.clone(),
                    requests: *requests,
                    tokens: *tokens,
                },
            )
            .collect(),
        marks: sealed
            .iter()
            .map(|(agent, sealed_through)| AgentWatermark {
                agent: agent.clone(),
                sealed_through: *sealed_through,
            })
            .collect(),
    }
}

fn to_json(value: &impl serde::Serialize) -> Result<Vec<u8>, ServiceError> {
    serde_json::to_vec(value)
        .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))
}

fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, ServiceError> {
    serde_json::from_slice(bytes).map_err(|error| {
        let detail = format!("the stored usage is malformed: {error}");
        ServiceError::not_run(ErrorKind::Internal, detail)
    })
}
