//! The state of an agent, which one lock protects.

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
        OrderFence, TableOrigin, WithdrawOutcome,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::{Arc, Mutex, PoisonError},
        thread::Thread,
    },
};

/// How long an announcement that the zone is out holds against newer configurations that contradict
/// it, in milliseconds.
///
/// The announcement comes ahead of the configuration that it announces; in between, unrelated
/// changes may arrive. At target size a change is everywhere after 17 s. An announcement that the
/// zone is in yields to the next configuration, because taking work in a zone that is out is worse
/// than refusing it for a moment.
const ANNOUNCEMENT_HOLD_MS: u64 = 60_000;

/// The number of prefixes in a load report.
const PREFIX_LIMIT: usize = 64;

/// What became of a queued request.
pub(crate) enum QueueGrant {
    /// It may run.
    Start,
    /// It is refused.
    Refuse(ServiceError),
}

/// A request at the upstream.
pub(crate) struct RunningWork {
    pub idempotent: bool,
    pub since: Moment,
    pub notice: Arc<StartNotice>,
    /// Whether its result is no longer wanted.
    pub unwanted: bool,
    /// Whether the upstream was asked to stop it.
    pub stopped: bool,
}

/// Tells the caller once that its request was handed to the upstream.
///
/// The notice waits until the upstream has the request for certain, because a refusal after it can
/// no longer prove that nothing ran.
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

    /// Sends the notice unless it was sent; other frames follow only after this returns.
    pub fn send(&self) {
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        if !*sent {
            *sent = true;
            // A caller that is gone is noticed by the next frame or by the watch.
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
    /// The threads that wait for a grant.
    pub waiting: BTreeMap<RequestId, Thread>,
    pub running: BTreeMap<RequestId, RunningWork>,
    pub boot: BootId,
    pub version: Option<WeightVersion>,
    /// The number of the last cache event of this boot.
    pub last_cache_event: u64,
    /// Whether an order said that the upstream leaves.
    pub leaving: bool,
    /// Whether the host list says that the host leaves.
    pub listed_leaving: bool,
    /// Whether the upstream cannot be reached.
    pub unreachable: bool,
    /// The last sign that the upstream still has this boot identity.
    pub last_sign: Moment,
    /// The number of requests whose connection broke and that have not probed the upstream yet.
    pub broken: u32,
    /// Set when the records are handed over and usage is final.
    pub ending: bool,
    grants: BTreeMap<RequestId, QueueGrant>,
    billed: BTreeSet<RequestId>,
    billed_until: VecDeque<(Moment, RequestId)>,
    prefixes: VecDeque<u64>,
    announced: Option<(ZoneState, Moment)>,
    config_zone: ZoneState,
    member: bool,
    first_learnt: bool,
    incarnation: IncarnationId,
    settings: AgentSettings,
}

impl AgentState {
    pub fn new(settings: &AgentSettings, incarnation: IncarnationId, now: Moment) -> Self {
        let origin = match settings.upstream.first_start {
            true => TableOrigin::First,
            false => TableOrigin::Restarted,
        };
        let mut queue = AdmissionQueue::new(AdmissionSettings::default(), now);
        // Until a configuration lists this upstream, nothing may be admitted.
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
            leaving: false,
            listed_leaving: false,
            unreachable: false,
            last_sign: now,
            broken: 0,
            ending: false,
            grants: BTreeMap::new(),
            billed: BTreeSet::new(),
            billed_until: VecDeque::new(),
            prefixes: VecDeque::new(),
            announced: None,
            config_zone: ZoneState::In,
            member: false,
            first_learnt: false,
            incarnation,
            settings: settings.clone(),
        }
    }

    /// Takes a configuration into use and tells whether the upstream's service contradicts it.
    pub fn apply(&mut self, now: Moment, config: &ConfigSnapshot) -> bool {
        let own = config.upstream(&self.settings.upstream.name);
        if !self.first_learnt {
            self.first_learnt = true;
            // An upstream that no configuration ever listed cannot have been sent any request, so
            // no record of it can be lost. Removed upstreams stay listed for the retention.
            if own.is_none() {
                self.table = ExecutionTable::new(
                    execution_settings(&self.settings),
                    self.incarnation,
                    now,
                    TableOrigin::First,
                );
            }
        }
        self.member = own.is_some_and(|own| own.removed_ms.is_none());
        let zone = config.zone(&self.settings.process.zone);
        self.config_zone = zone.map_or(ZoneState::In, |zone| zone.state);
        if let Some((announced, at)) = self.announced
            && (announced == ZoneState::In
                || announced == self.config_zone
                || now.since(at) >= ANNOUNCEMENT_HOLD_MS)
        {
            self.announced = None;
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

    /// Notes a zone state that was announced ahead of the configuration.
    pub fn announce_zone(&mut self, now: Moment, zone: ZoneState) {
        self.announced = Some((zone, now));
    }

    /// Closes or opens the queue and returns the new state if it changed.
    pub fn refresh_closed(&mut self, now: Moment) -> Option<bool> {
        let zone = match self.announced {
            Some((zone, at)) if now.since(at) < ANNOUNCEMENT_HOLD_MS => zone,
            _ => self.config_zone,
        };
        let leaving = self.leaving || self.listed_leaving || !self.member;
        let closed = zone == ZoneState::Out || leaving || self.unreachable;
        if closed == self.queue.counts().closed {
            return None;
        }
        self.queue.set_closed(now, closed);
        Some(closed)
    }

    /// Carries out what the queue decides.
    pub fn pump(&mut self, now: Moment) {
        loop {
            let actions = self.queue.poll(now);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    AdmissionAction::Start(request) => self.grant_start(now, request),
                    AdmissionAction::Shed(request, error) => {
                        self.table.release(&request);
                        self.grant(request, QueueGrant::Refuse(error));
                    }
                }
            }
        }
    }

    /// Refuses a request that is queued; tells whether it was.
    pub fn refuse_queued(&mut self, request: &RequestId, error: ServiceError) -> bool {
        if self.queue.withdraw(request) != WithdrawOutcome::Removed {
            return false;
        }
        self.grant(*request, QueueGrant::Refuse(error));
        true
    }

    /// Learns the boot identity that an answer carried; tells whether it is new.
    pub fn observe_boot(&mut self, now: Moment, boot: &BootId) -> bool {
        self.last_sign = self.last_sign.max(now);
        let new = self.queue.observe_boot(now, boot);
        if self.boot != *boot {
            self.boot = boot.clone();
            // A restarted engine holds other weights and an empty cache until it says otherwise.
            self.version = None;
            self.prefixes.clear();
            self.last_cache_event = 0;
        }
        new
    }

    /// Learns the weight version that the engine reported; within one boot versions only grow, and
    /// reports lag.
    pub fn observe_version(&mut self, boot: &BootId, version: WeightVersion) {
        if self.boot == *boot {
            self.version = self.version.max(Some(version));
        }
    }

    /// Learns a change of the engine's prefix cache.
    pub fn observe_cache(&mut self, prefix: u64, stored: bool) {
        self.prefixes.retain(|known| *known != prefix);
        if stored {
            self.prefixes.push_back(prefix);
        }
        if self.prefixes.len() > PREFIX_LIMIT {
            self.prefixes.pop_front();
        }
    }

    /// Makes the load report for an entry, or for another peer without credits.
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
            closed: counts.closed || self.ending,
            version: self.version,
            revision,
            prefixes: self.prefixes.iter().copied().collect(),
        }
    }

    /// Takes the grant of a request if there is one by now.
    pub fn take_grant(&mut self, request: &RequestId) -> Option<QueueGrant> {
        let grant = self.grants.remove(request)?;
        self.waiting.remove(request);
        Some(grant)
    }

    /// Marks a keyed execution as billed; false if it was before, so that a replay is not billed
    /// again.
    pub fn bill(&mut self, now: Moment, request: &RequestId) -> bool {
        while let Some((until, expired)) = self.billed_until.front().copied()
            && until <= now
        {
            self.billed_until.pop_front();
            self.billed.remove(&expired);
        }
        let first = self.billed.insert(*request);
        if first {
            self.billed_until
                .push_back((now + EXECUTION_RETENTION_MS, *request));
        }
        first
    }

    fn grant(&mut self, request: RequestId, grant: QueueGrant) {
        self.grants.insert(request, grant);
        if let Some(thread) = self.waiting.get(&request) {
            thread.unpark();
        }
    }

    fn grant_start(&mut self, now: Moment, request: RequestId) {
        let grant = match self.table.start(&request, &self.boot) {
            Ok(()) => QueueGrant::Start,
            Err(error) => {
                self.queue.finish(now, &request, FinishCause::Cancelled);
                QueueGrant::Refuse(error)
            }
        };
        self.grant(request, grant);
    }
}

/// Makes the error of a request whose caller is gone before it started.
pub(crate) fn caller_gone() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Revoked,
        "the caller gave up before the request started",
    )
}

fn execution_settings(settings: &AgentSettings) -> ExecutionSettings {
    let longest = settings.timeouts.longest_request.as_millis();
    ExecutionSettings {
        longest_request_ms: u64::try_from(longest).unwrap_or(u64::MAX),
        ..ExecutionSettings::default()
    }
}
