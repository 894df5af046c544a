//! Orders to agents: two-phase rollout of weights, and notification of draining hosts.

use {
    crate::source::ConfigSource,
    crate::{
        authority::ControlLease, events, members::UpstreamWithHostState,
        run::ports::WeightPublisher,
    },
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        config::{RunRecord, UpstreamRecord},
        id::{ObjectName, RequestId},
        link::PeerLink,
        log_event,
        message::{OrderKind, PeerFrame, PeerRequest, UpstreamOrder},
        platform::HostState,
        token::WeightVersion,
    },
    slog::Logger,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::Duration,
    },
};

/// The number of orders of a rollout that are sent concurrently.
const ORDER_THREADS: usize = 16;

/// The timeout of a staging order. It is longer than that of other orders because staging copies
/// weights.
const STAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// The timeout of an order that copies no weights.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of attempts to stage, and to activate, a version on an agent. An agent for which all
/// fail gets the next version only.
const MAX_ATTEMPTS: u32 = 3;

const ATTEMPT_PAUSE: Duration = Duration::from_millis(500);

/// Rolls out weights to all upstreams of a run's service. A version is staged on all of them before
/// it is activated on any, so that they switch at about the same time (`docs/design.md`, decision
/// 20).
pub struct WeightRollout {
    shared: Arc<RolloutShared>,
}

struct RolloutShared {
    link: Arc<dyn PeerLink>,
    source: Arc<dyn ConfigSource>,
    logger: Logger,
    /// The newest fencing token and version of each run. The rollout of an older one stops.
    newest: Mutex<SortedMap<ObjectName, (u64, WeightVersion)>>,
}

impl WeightRollout {
    /// Creates a publisher that sends orders over `link` to the agents in the configuration of
    /// `source`.
    pub fn new(link: Arc<dyn PeerLink>, source: Arc<dyn ConfigSource>, logger: Logger) -> Self {
        Self {
            shared: Arc::new(RolloutShared {
                link,
                source,
                logger,
                newest: Mutex::default(),
            }),
        }
    }
}

impl WeightPublisher for WeightRollout {
    fn publish(&self, run: &RunRecord, version: WeightVersion, fence: u64) {
        if !self.shared.start_if_newer(&run.name, version, fence) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let run = run.clone();
        let spawned = thread::Builder::new()
            .name("rollout".to_owned())
            .spawn(move || shared.deploy_weights(&run, version, fence));
        if let Err(error) = spawned {
            log_event!(self.shared.logger, events::ROLLOUT_PARTIAL;
                "version" => version.0, "detail" => error.to_string());
        }
    }
}

impl RolloutShared {
    /// Records a version as the newest one. Returns false if the same or a newer one is already
    /// recorded.
    fn start_if_newer(&self, run: &ObjectName, version: WeightVersion, fence: u64) -> bool {
        let mut newest = self.newest();
        if newest
            .get(run)
            .is_some_and(|known| *known >= (fence, version))
        {
            return false;
        }
        newest.insert(run.clone(), (fence, version));
        true
    }

    fn is_newest(&self, run: &ObjectName, version: WeightVersion, fence: u64) -> bool {
        self.newest().get(run) == Some(&(fence, version))
    }

    fn newest(&self) -> MutexGuard<'_, SortedMap<ObjectName, (u64, WeightVersion)>> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn deploy_weights(&self, run: &RunRecord, version: WeightVersion, fence: u64) {
        let unstaged = self.run_phase(run, version, fence, &OrderKind::Stage(version));
        let unactivated = self.run_phase(run, version, fence, &OrderKind::Activate(version));
        let event = match (unstaged, unactivated) {
            (0, 0) => events::ROLLOUT_DONE,
            _ => events::ROLLOUT_PARTIAL,
        };
        log_event!(self.logger, event;
            "run" => %run.name, "version" => version.0, "unstaged" => unstaged,
            "unactivated" => unactivated);
    }

    /// Sends an order to the agents of all upstreams of the run's service, with retries. Returns
    /// the number of those that did not accept it.
    fn run_phase(
        &self,
        run: &RunRecord,
        version: WeightVersion,
        fence: u64,
        kind: &OrderKind,
    ) -> usize {
        let snapshot = self.source.current();
        let members = snapshot.upstreams.iter();
        let mut remaining: Vec<UpstreamRecord> = members
            .filter(|member| member.service == run.service && member.removed_ms.is_none())
            .cloned()
            .collect();
        for attempt in 0..MAX_ATTEMPTS {
            if remaining.is_empty() || !self.is_newest(&run.name, version, fence) {
                break;
            }
            if attempt > 0 {
                thread::sleep(ATTEMPT_PAUSE);
            }
            remaining = self.send_orders(run, fence, kind, remaining);
        }
        remaining.len()
    }

    /// Sends an order to the agents of `members` concurrently and returns those that did not accept
    /// it.
    fn send_orders(
        &self,
        run: &RunRecord,
        fence: u64,
        kind: &OrderKind,
        members: Vec<UpstreamRecord>,
    ) -> Vec<UpstreamRecord> {
        let timeout = match kind {
            OrderKind::Stage(_) => STAGE_TIMEOUT,
            _ => ORDER_TIMEOUT,
        };
        let threads = ORDER_THREADS.min(members.len());
        let queue = Mutex::new(members.into_iter());
        let failed = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| {
                    loop {
                        let member = queue.lock().unwrap_or_else(PoisonError::into_inner).next();
                        let Some(member) = member else {
                            return;
                        };
                        let order = UpstreamOrder {
                            order: RequestId::random(),
                            lease: run.name.clone(),
                            fence,
                            kind: kind.clone(),
                        };
                        if send_order(self.link.as_ref(), &member, order, timeout).is_err() {
                            let mut failed = failed.lock().unwrap_or_else(PoisonError::into_inner);
                            failed.push(member);
                        }
                    }
                });
            }
        });
        failed.into_inner().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Orders the agents of draining hosts, once each, to accept no new work (`docs/design.md`, G14).
pub struct DrainAnnouncer {
    link: Arc<dyn PeerLink>,
    lease: Arc<dyn ControlLease>,
    zone: ObjectName,
    notified: Vec<ObjectName>,
    logger: Logger,
}

impl DrainAnnouncer {
    /// Creates an announcer for the agents of `zone`, whose orders are sent under the zone's lease.
    pub fn new(
        link: Arc<dyn PeerLink>,
        lease: Arc<dyn ControlLease>,
        zone: ObjectName,
        logger: Logger,
    ) -> Self {
        Self {
            link,
            lease,
            zone,
            notified: Vec::new(),
            logger,
        }
    }

    /// Notifies the draining members that have not been notified yet, and returns how many of them
    /// failed to confirm.
    ///
    /// # Errors
    ///
    /// Returns `fenced` if the lease is not held.
    pub fn announce(&mut self, members: &[UpstreamWithHostState]) -> Result<usize, ServiceError> {
        let draining = members.iter().filter(|member| {
            member.state == Some(HostState::Leaving) && member.upstream.zone == self.zone
        });
        let draining: Vec<&UpstreamRecord> = draining.map(|member| &member.upstream).collect();
        // A host that is live again is removed, so that it is notified when it drains the next
        // time.
        self.notified
            .retain(|host| draining.iter().any(|member| member.name == *host));
        let mut failed = 0;
        for member in draining {
            if self.notified.contains(&member.name) {
                continue;
            }
            let proof = self.lease.check()?;
            let order = UpstreamOrder {
                order: RequestId::random(),
                lease: self.zone.clone(),
                fence: proof.number,
                kind: OrderKind::Leave,
            };
            let timeout = ORDER_TIMEOUT.min(Duration::from_millis(proof.remaining_ms));
            match send_order(self.link.as_ref(), member, order, timeout) {
                Ok(()) => {
                    log_event!(self.logger, events::LEAVE_ORDERED; "host" => %member.name);
                    self.notified.push(member.name.clone());
                }
                Err(_) => failed += 1,
            }
        }
        Ok(failed)
    }
}

fn send_order(
    link: &dyn PeerLink,
    member: &UpstreamRecord,
    order: UpstreamOrder,
    timeout: Duration,
) -> Result<(), ServiceError> {
    let mut frames = link.call(member.agent, PeerRequest::Order(order), timeout)?;
    match frames.receive(timeout)? {
        Some(PeerFrame::Done) => Ok(()),
        Some(PeerFrame::Failed(error)) => Err(error),
        _ => Err(ServiceError::unknown(
            ErrorKind::PeerUnavailable,
            "the agent did not confirm the order",
        )),
    }
}
