//! The mutable state of an agent, which is protected by a single lock.

use {
    crate::{samples::SampleBuffer, settings::AgentSettings, usage::UsageMeter},
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        config::{ConfigRevision, ConfigSnapshot, ZoneState},
        id::{BootId, IncarnationId, ObjectName, RequestId},
        link::FrameSink,
        message::{LoadReport, PeerFrame},
        token::WeightVersion,
    },
    catkindeck_policy::{
        AdmissionAction, AdmissionQueue, AdmissionSettings, CrashQuarantine,
        EXECUTION_RETENTION_MS, ExecutionSettings, ExecutionTable, FinishCause, LimitSettings,
        OrderFence, RecordHistory, WithdrawOutcome,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::{Arc, Mutex, PoisonError},
        thread::Thread,
    },
};

/// How long an announced zone state of `Out` overrides configurations that contradict it, in
/// milliseconds.
///
/// An announcement arrives before the configuration that it refers to, and configurations with
/// unrelated changes may arrive in between. At the target size a change reaches every process
/// within 17 s. An announced `In` is overridden by the next configuration, because accepting
/// requests in a zone that is out is worse than rejecting them for a moment.
const ANNOUNCEMENT_HOLD_MS: u64 = 60_000;

/// The maximum number of cached prefixes in a load report.
const PREFIX_LIMIT: usize = 64;

/// The queue's decision on a request.
pub(crate) enum QueueDecision {
    /// The request may be sent to the upstream.
    Start,
    Reject(ServiceError),
}

/// A request that runs at the upstream.
pub(crate) struct RunningRequest {
    pub idempotent: bool,
    pub started_at: Moment,
    pub notice: Arc<StartNotice>,
    /// Whether the result is no longer needed.
    pub cancelled: bool,
    /// Whether the upstream was asked to cancel the request.
    pub cancel_sent: bool,
}

/// Notifies the caller, once, that its request was sent to the upstream.
///
/// A rejection after the notice no longer proves that the request did not run, so the notice is
/// delayed until the upstream responds or some time has passed.
pub(crate) struct StartNotice {
    pub sink: Arc<dyn FrameSink>,
    frame: PeerFrame,
    sent: Mutex<bool>,
}

impl StartNotice {
    pub fn new(sink: Arc<dyn FrameSink>, request: RequestId, incarnation: IncarnationId) -> Self {
        Self {
            sink,
            frame: PeerFrame::Started {
                request,
                incarnation,
            },
            sent: Mutex::new(false),
        }
    }

    /// Sends the notice unless it was sent before. Must return before any other frame is sent.
    pub fn send(&self) {
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        if !*sent {
            *sent = true;
            // Errors are ignored: a closed stream is detected when the next frame is sent, or by
            // the periodic check.
            drop(self.sink.send(self.frame.clone()));
        }
    }

    pub fn was_sent(&self) -> bool {
        *self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(crate) struct AgentState {
    pub queue: AdmissionQueue,
    pub table: ExecutionTable,
    pub fence: OrderFence,
    pub quarantine: CrashQuarantine,
    pub usage: UsageMeter,
    pub samples: SampleBuffer,
    /// The threads that wait for the decision on a request.
    pub waiting: BTreeMap<RequestId, Thread>,
    pub running: BTreeMap<RequestId, RunningRequest>,
    pub boot: BootId,
    pub version: Option<WeightVersion>,
    /// The sequence number of the last cache event in the current boot.
    pub last_cache_event: u64,
    /// Whether an order to drain the upstream was received.
    pub drain_ordered: bool,
    /// Whether the host is draining according to the host list, where this state is called
    /// `leaving`.
    pub host_list_draining: bool,
    pub unreachable: bool,
    /// The last time at which the upstream was known to have this boot ID.
    pub boot_confirmed_at: Moment,
    /// The number of requests that lost their connection to the upstream and have not probed it
    /// yet.
    pub unprobed_failures: u32,
    /// Whether the execution records were handed over and the usage counters are final.
    pub finalized: bool,
    decisions: BTreeMap<RequestId, QueueDecision>,
    billed: BTreeSet<RequestId>,
    billed_expiry: VecDeque<(Moment, RequestId)>,
    prefixes: VecDeque<u64>,
    announced_zone: Option<(ZoneState, Moment)>,
    configured_zone: ZoneState,
    is_configured: bool,
    configuration_seen: bool,
    incarnation: IncarnationId,
    settings: AgentSettings,
}

impl AgentState {
    pub fn new(settings: &AgentSettings, incarnation: IncarnationId, now: Moment) -> Self {
        let origin = match settings.upstream.first_start {
            true => RecordHistory::Complete,
            false => RecordHistory::MayBeIncomplete,
        };
        let mut queue = AdmissionQueue::new(AdmissionSettings::default(), now);
        // No request is admitted until a configuration lists this upstream.
        queue.set_closed(now, true);
        Self {
            queue,
            table: ExecutionTable::new(execution_settings(settings), incarnation, now, origin),
            fence: OrderFence::new(),
            quarantine: CrashQuarantine::new(),
            usage: UsageMeter::new(),
            samples: SampleBuffer::new(settings.limits.sample_bytes),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            boot: BootId::default(),
            version: None,
            last_cache_event: 0,
            drain_ordered: false,
            host_list_draining: false,
            unreachable: false,
            boot_confirmed_at: now,
            unprobed_failures: 0,
            finalized: false,
            decisions: BTreeMap::new(),
            billed: BTreeSet::new(),
            billed_expiry: VecDeque::new(),
            prefixes: VecDeque::new(),
            announced_zone: None,
            configured_zone: ZoneState::In,
            is_configured: false,
            configuration_seen: false,
            incarnation,
            settings: settings.clone(),
        }
    }

    /// Applies a configuration. Returns whether the configuration lists the upstream under a
    /// different service than the settings.
    pub fn apply(&mut self, now: Moment, config: &ConfigSnapshot) -> bool {
        let own = config.upstream(&self.settings.upstream.name);
        if !self.configuration_seen {
            self.configuration_seen = true;
            // An upstream that the first configuration does not list has received no request within
            // the retention time, because removed upstreams stay listed for that long. So no
            // records of it can have been lost.
            if own.is_none() {
                self.table = ExecutionTable::new(
                    execution_settings(&self.settings),
                    self.incarnation,
                    now,
                    RecordHistory::Complete,
                );
            }
        }
        self.is_configured = own.is_some_and(|own| own.removed_ms.is_none());
        let zone = config.zone(&self.settings.process.zone);
        self.configured_zone = zone.map_or(ZoneState::In, |zone| zone.state);
        if let Some((announced_zone, at)) = self.announced_zone
            && (announced_zone == ZoneState::In
                || announced_zone == self.configured_zone
                || now.since(at) >= ANNOUNCEMENT_HOLD_MS)
        {
            self.announced_zone = None;
        }
        if let Some(service) = config.service(&self.settings.upstream.service) {
            let settings = AdmissionSettings {
                limit: LimitSettings {
                    cold: service.cold_limit,
                    warm: service.warm_limit,
                    cold_start_ms: service.cold_start_ms,
                    adaptive: self.settings.limits.adaptive,
                },
                queue_limit: usize::try_from(self.settings.limits.queue).unwrap_or(usize::MAX),
                ..AdmissionSettings::default()
            };
            let weights = config.customers.iter();
            let weights = weights.map(|customer| (customer.name.clone(), customer.weight));
            self.queue.configure(settings, weights);
        }
        own.is_some_and(|own| own.service != self.settings.upstream.service)
    }

    /// Records a zone state that was announced ahead of the configuration.
    pub fn announce_zone(&mut self, now: Moment, zone: ZoneState) {
        self.announced_zone = Some((zone, now));
    }

    /// Closes or opens the queue. Returns whether it is closed now if that has changed.
    pub fn update_queue_closed(&mut self, now: Moment) -> Option<bool> {
        let zone = match self.announced_zone {
            Some((zone, at)) if now.since(at) < ANNOUNCEMENT_HOLD_MS => zone,
            _ => self.configured_zone,
        };
        let draining = self.drain_ordered || self.host_list_draining || !self.is_configured;
        let closed = zone == ZoneState::Out || draining || self.unreachable;
        if closed == self.queue.counts().closed {
            return None;
        }
        self.queue.set_closed(now, closed);
        Some(closed)
    }

    /// Processes all pending decisions of the queue.
    pub fn process_queue(&mut self, now: Moment) {
        loop {
            let actions = self.queue.poll(now);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    AdmissionAction::Start(request) => self.start_request(now, request),
                    AdmissionAction::Shed(request, error) => {
                        self.table.release(&request);
                        self.record_decision(request, QueueDecision::Reject(error));
                    }
                }
            }
        }
    }

    /// Rejects a request if it is queued, and returns whether it is.
    pub fn reject_queued(&mut self, request: &RequestId, error: ServiceError) -> bool {
        if self.queue.withdraw(request) != WithdrawOutcome::Removed {
            return false;
        }
        self.record_decision(*request, QueueDecision::Reject(error));
        true
    }

    /// Records the boot ID in a response and returns whether it is new.
    pub fn observe_boot(&mut self, now: Moment, boot: &BootId) -> bool {
        self.boot_confirmed_at = self.boot_confirmed_at.max(now);
        let new = self.queue.observe_boot(now, boot);
        if self.boot != *boot {
            self.boot = boot.clone();
            // A restarted engine is assumed to have other weights and an empty cache until it
            // reports them.
            self.version = None;
            self.prefixes.clear();
            self.last_cache_event = 0;
        }
        new
    }

    /// Records a weight version that the engine reported. Reports may be outdated, but versions
    /// only increase within one boot, so the highest one is kept.
    pub fn observe_version(&mut self, boot: &BootId, version: WeightVersion) {
        if self.boot == *boot {
            self.version = self.version.max(Some(version));
        }
    }

    /// Records a change of the engine's prefix cache.
    pub fn observe_cache(&mut self, prefix: u64, stored: bool) {
        self.prefixes.retain(|known| *known != prefix);
        if stored {
            self.prefixes.push_back(prefix);
        }
        if self.prefixes.len() > PREFIX_LIMIT {
            self.prefixes.pop_front();
        }
    }

    /// Creates a load report. Credits are granted only if it is for an entry.
    pub fn report(
        &mut self,
        now: Moment,
        entry: Option<&ObjectName>,
        revision: ConfigRevision,
    ) -> LoadReport {
        let credits = entry.map_or(0, |entry| self.queue.grant_credits(now, entry));
        let counts = self.queue.counts();
        LoadReport {
            incarnation: self.incarnation,
            boot: self.boot.clone(),
            limit: counts.limit,
            in_flight: counts.in_flight,
            queued: counts.queued,
            credits,
            closed: counts.closed || self.finalized,
            version: self.version,
            revision,
            prefixes: self.prefixes.iter().copied().collect(),
        }
    }

    /// Removes and returns the queue decision for a request, if there is one.
    pub fn take_decision(&mut self, request: &RequestId) -> Option<QueueDecision> {
        let decision = self.decisions.remove(request)?;
        self.waiting.remove(request);
        Some(decision)
    }

    /// Marks a keyed execution as billed. Returns false if it was billed before, so that replays
    /// are not billed again.
    pub fn mark_billed(&mut self, now: Moment, request: &RequestId) -> bool {
        while let Some((until, expired)) = self.billed_expiry.front().copied()
            && until <= now
        {
            self.billed_expiry.pop_front();
            self.billed.remove(&expired);
        }
        let first = self.billed.insert(*request);
        if first {
            self.billed_expiry
                .push_back((now + EXECUTION_RETENTION_MS, *request));
        }
        first
    }

    fn record_decision(&mut self, request: RequestId, decision: QueueDecision) {
        self.decisions.insert(request, decision);
        if let Some(thread) = self.waiting.get(&request) {
            thread.unpark();
        }
    }

    fn start_request(&mut self, now: Moment, request: RequestId) {
        let decision = match self.table.start(&request, &self.boot) {
            Ok(()) => QueueDecision::Start,
            Err(error) => {
                self.queue.finish(now, &request, FinishCause::Cancelled);
                QueueDecision::Reject(error)
            }
        };
        self.record_decision(request, decision);
    }
}

/// Returns the error for a request whose caller disconnected before it started.
pub(crate) fn caller_disconnected_error() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Revoked,
        "the caller disconnected before the request started",
    )
}

fn execution_settings(settings: &AgentSettings) -> ExecutionSettings {
    let longest = settings.timeouts.longest_request.as_millis();
    ExecutionSettings {
        longest_request_ms: u64::try_from(longest).unwrap_or(u64::MAX),
        ..ExecutionSettings::default()
    }
}
