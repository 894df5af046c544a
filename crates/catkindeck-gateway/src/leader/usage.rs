//! Reports the number of requests of each customer per usage window.

use {
    super::election::LeaderElection,
    crate::{
        core::GatewayCore,
        events::{USAGE_FAILED, USAGE_REPORTED, USAGE_SEALED},
        keys::{self, MemberRecord, UNSEALED_USAGE_KEY, USAGE_PREFIX},
        peer::{PeerCall, PeerResponse},
        port::{CommitOutcome, StoreCondition, StoreWrite, Transaction, UsageReport},
    },
    catkindeck::{ErrorKind, ExecutionOutcome, ServiceError, id::IncarnationId, log_event},
    catkindeck_policy::direct::{ReportAction, ReportSchedule, UsageCount, UsageWindows},
    futures_util::future::join_all,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often the reporter checks whether the next window may be reported.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// The number of windows before the next one that a new leader reports again. Repeating a report has no
/// effect, and the previous leader may have sealed a window without reporting it.
const RE_REPORTED_WINDOWS: u64 = 2;

/// The shortest time between two writes of unsealed counts. It equals the tolerance of a window's usage, a
/// twentieth of the window.
const UNSEALED_WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The number of windows before the current one that may not be sealed yet.
const UNSEALED_WINDOWS: u64 = 4;

/// How long a process collects counts before it sends them to the leader.
const SEND_DELAY: Duration = Duration::from_millis(50);

/// The pause before a failed report is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Seals and reports usage windows while this process is the leader.
pub struct UsageReporter {
    election: Rc<LeaderElection>,
}

impl UsageReporter {
    pub fn new(election: Rc<LeaderElection>) -> Rc<Self> {
        Rc::new(Self { election })
    }

    /// Reports windows until the task is aborted.
    pub async fn run(self: Rc<Self>) {
        let settings = self.election.core.settings();
        if !settings.reports_usage || self.election.core.ports.cloud_api.is_none() {
            return;
        }
        let length_ms = settings.bounds.usage_window_ms;
        let schedule = ReportSchedule {
            length_ms,
            deadline_ms: settings.bounds.usage_late_ms,
        };
        // The counts of previous processes must be loaded before a window is sealed.
        self.load_unsealed().await;
        let mut next = self.first_window(length_ms).await;
        loop {
            let action = schedule.action(next, self.election.core.unix_ms());
            if action == ReportAction::Wait {
                sleep(SCAN_INTERVAL).await;
                continue;
            }
            match self.report(next, action == ReportAction::CollectAll).await {
                Ok(()) => next += 1,
                Err(error) => {
                    log_event!(self.election.core.logger, USAGE_FAILED;
                        "window" => next, "detail" => error.detail);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Finds the first window that may not have been reported.
    async fn first_window(&self, length_ms: u64) -> u64 {
        loop {
            match self.election.core.ports.store.list(USAGE_PREFIX).await {
                Ok(listing) => {
                    let now_ms = self.election.core.unix_ms();
                    let current = UsageWindows::window_at(now_ms, length_ms);
                    let sealed = listing.items.iter().filter_map(|item| {
                        let report: UsageReport = keys::decode_item(item).ok()?;
                        Some(report.window)
                    });
                    let last = sealed.max();
                    // Requests may have run before there was a leader.
                    let next = last.map_or(current, |last| last + 1);
                    return next.saturating_sub(RE_REPORTED_WINDOWS);
                }
                Err(error) => {
                    log_event!(self.election.core.logger, USAGE_FAILED; "detail" => error.detail);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Seals a window and reports it. With `requires_all`, a process that does not answer is an error.
    async fn report(&self, window: u64, requires_all: bool) -> Result<(), ServiceError> {
        let report = self.seal(window, requires_all).await?;
        let Some(cloud_api) = self.election.core.ports.cloud_api.clone() else {
            return Ok(());
        };
        let proof = self.election.proof()?;
        let (transit, guard) = self.election.guard_order(proof.fence, || true);
        let outcome = cloud_api.report_usage(&proof, &report, &guard).await;
        let is_under_way = |error: &ServiceError| error.execution == ExecutionOutcome::Unknown;
        if !outcome.as_ref().is_err_and(is_under_way) {
            self.election.close_order(transit);
        }
        outcome?;
        log_event!(self.election.core.logger, USAGE_REPORTED;
            "window" => window, "fence" => proof.fence,
            "requests" => report.counts.iter().map(|(_, count)| count).sum::<u64>());
        Ok(())
    }

    /// Stores the content of a window, so that it cannot be reported with different contents.
    async fn seal(&self, window: u64, requires_all: bool) -> Result<UsageReport, ServiceError> {
        let store = &self.election.core.ports.store;
        let key = keys::usage_key(window);
        if let Some(item) = store.read(&key).await?.item {
            return keys::decode_item(&item);
        }
        self.collect(requires_all).await?;
        let report = UsageReport {
            window,
            counts: self.election.core.ledger.borrow().window(window),
        };
        let transaction = Transaction {
            conditions: vec![StoreCondition {
                key: key.clone(),
                revision: 0,
            }],
            writes: vec![StoreWrite {
                key: key.clone(),
                value: keys::encode(&report)?,
                lease: None,
            }],
            removals: Vec::new(),
        };
        match store.commit(&transaction).await? {
            CommitOutcome::Committed(revision) => {
                log_event!(self.election.core.logger, USAGE_SEALED;
                    "window" => window, "revision" => revision);
                Ok(report)
            }
            // The retry reads the window that another process sealed.
            _ => Err(ServiceError::not_run(
                ErrorKind::Conflict,
                "another process sealed the window",
            )),
        }
    }

    /// Requests the counts of all processes. With `requires_all`, a process that does not answer is an error.
    async fn collect(&self, requires_all: bool) -> Result<(), ServiceError> {
        let core = &self.election.core;
        core.record_own_usage();
        let members = core.members.borrow().clone();
        let others: Vec<MemberRecord> = members
            .into_iter()
            .filter(|member| member.incarnation != core.incarnation && member.serves_callers)
            .collect();
        // The calls are concurrent, because each process that does not answer takes the full timeout.
        let calls = others
            .iter()
            .map(|member| core.call_peer(member.peer, &PeerCall::Usage, Duration::ZERO));
        let mut unresponsive = None;
        for (member, response) in others.iter().zip(join_all(calls).await) {
            match response {
                Ok(PeerResponse::Usage(counts)) => {
                    let mut ledger = core.ledger.borrow_mut();
                    ledger.merge(member.incarnation, &counts);
                }
                _ => unresponsive = Some(&member.host),
            }
        }
        match unresponsive {
            Some(host) if requires_all => {
                let detail = format!("{host} did not report its usage");
                Err(ServiceError::not_run(ErrorKind::PeerUnavailable, detail))
            }
            // The ledger has the counts that the process reported earlier.
            _ => Ok(()),
        }
    }

    /// Stores the unsealed counts until the task is aborted.
    ///
    /// If all processes are killed, these are the only record of what they counted.
    pub async fn persist_unsealed(self: Rc<Self>) {
        let core = &self.election.core;
        let mut known = self.load_unsealed().await;
        let mut stored = core.ledger.borrow().revision();
        loop {
            sleep(UNSEALED_WRITE_INTERVAL).await;
            core.record_own_usage();
            let revision = core.ledger.borrow().revision();
            if revision == stored {
                continue;
            }
            match self.store_unsealed(known).await {
                Ok(CommitOutcome::Committed(written)) => {
                    known = written;
                    stored = revision;
                }
                // The key was changed by a late write of a previous leader or by a write of this one whose
                // response was lost. Its counts are merged and written again.
                Ok(_) => known = self.load_unsealed().await,
                Err(error) => {
                    log_event!(core.logger, USAGE_FAILED; "detail" => error.detail);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Loads the stored counts into the ledger and returns the revision of their key, or zero without a key.
    async fn load_unsealed(&self) -> u64 {
        let core = &self.election.core;
        loop {
            match core.ports.store.read(UNSEALED_USAGE_KEY).await {
                Ok(response) => {
                    let Some(item) = response.item else { return 0 };
                    let counts: Vec<(IncarnationId, UsageCount)> =
                        keys::decode_item(&item).unwrap_or_default();
                    let mut ledger = core.ledger.borrow_mut();
                    for (run, count) in &counts {
                        ledger.merge(*run, std::slice::from_ref(count));
                    }
                    return item.revision;
                }
                Err(error) => {
                    log_event!(core.logger, USAGE_FAILED; "detail" => error.detail);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn store_unsealed(&self, known: u64) -> Result<CommitOutcome, ServiceError> {
        let core = &self.election.core;
        let length_ms = core.settings().bounds.usage_window_ms;
        let current = UsageWindows::window_at(core.unix_ms(), length_ms);
        let unsealed = core
            .ledger
            .borrow()
            .unsealed(current.saturating_sub(UNSEALED_WINDOWS));
        let transaction = Transaction {
            conditions: vec![StoreCondition {
                key: UNSEALED_USAGE_KEY.to_owned(),
                revision: known,
            }],
            writes: vec![StoreWrite {
                key: UNSEALED_USAGE_KEY.to_owned(),
                value: keys::encode(&unsealed)?,
                lease: None,
            }],
            removals: Vec::new(),
        };
        core.ports.store.commit(&transaction).await
    }
}

impl GatewayCore {
    /// Adds the counts of this process to its ledger.
    fn record_own_usage(&self) {
        let counts = self.usage.borrow().counts();
        self.ledger.borrow_mut().merge(self.incarnation, &counts);
    }

    /// Sends this process's counts to the leader soon after each request, so that little is lost with the
    /// process.
    pub async fn send_usage(self: Rc<Self>) {
        loop {
            self.usage_counted.notified().await;
            sleep(SEND_DELAY).await;
            let leader = self.leader.borrow().clone();
            let other_leader = leader.filter(|leader| leader.incarnation != self.incarnation);
            let Some(leader) = other_leader else { continue };
            let call = PeerCall::UsageUpdate {
                run: self.incarnation,
                counts: self.usage.borrow().counts(),
            };
            // If the call fails, the leader requests the counts itself before it seals a window.
            let _ = self.call_peer(leader.peer, &call, Duration::ZERO).await;
        }
    }
}
