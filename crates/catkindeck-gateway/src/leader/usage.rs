//! Reports the requests of each customer, window by window.

use {
    super::election::LeaderElection,
    crate::{
        core::GatewayCore,
        events::{USAGE_FAILED, USAGE_REPORTED, USAGE_SEALED},
        keys::{self, MemberRecord, UNSEALED_USAGE_KEY, USAGE_PREFIX},
        peer::{PeerAnswer, PeerCall},
        port::{CommitOutcome, StoreCondition, StoreWrite, Transaction, UsageReport},
    },
    catkindeck::{ErrorKind, ServiceError, id::IncarnationId, log_event, time::unix_ms},
    catkindeck_policy::direct::{ReportAction, ReportSchedule, UsageCount, UsageWindows},
    futures_util::future::join_all,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often it is looked whether a window is over.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// The windows before the one that is due next that a new holder reports. An exact repetition changes
/// nothing, and the former holder may have sealed a window without reporting it.
const REPEATED_WINDOWS: u64 = 2;

/// The shortest time between two writes of counts that are not sealed yet; a twentieth of a window,
/// by which its usage may be off.
const UNSEALED_WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The windows before the present one that may not be sealed yet.
const UNSEALED_WINDOWS: u64 = 4;

/// The time for which a process gathers counts before it tells them.
const SEND_DELAY: Duration = Duration::from_millis(50);

/// The pause before a failed report is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// The duty of reporting usage, for as long as this process does the control work.
pub struct UsageReporter {
    election: Rc<LeaderElection>,
}

impl UsageReporter {
    /// Makes the duty.
    pub fn new(election: Rc<LeaderElection>) -> Rc<Self> {
        Rc::new(Self { election })
    }

    /// Reports windows until the task is ended.
    pub async fn run(self: Rc<Self>) {
        let settings = self.election.core.settings();
        if !settings.reports_usage || self.election.core.ports.duties.is_none() {
            return;
        }
        let length_ms = settings.bounds.usage_window_ms;
        let terms = ReportSchedule {
            length_ms,
            deadline_ms: settings.bounds.usage_late_ms,
        };
        // What earlier processes counted must be known before a window is sealed.
        self.load_unsealed().await;
        let mut next = self.first_window(length_ms).await;
        loop {
            let action = terms.action(next, unix_ms());
            if action == ReportAction::Settle {
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

    /// Finds the first window that may not be reported yet.
    async fn first_window(&self, length_ms: u64) -> u64 {
        loop {
            match self.election.core.ports.store.list(USAGE_PREFIX).await {
                Ok(listing) => {
                    let present = UsageWindows::window_at(unix_ms(), length_ms);
                    let sealed = listing.items.iter().filter_map(|item| {
                        let report: UsageReport = keys::decode_item(item).ok()?;
                        Some(report.window)
                    });
                    let last = sealed.max();
                    // The first requests may have run before any process did the control work.
                    let next = last.map_or(present, |last| last + 1);
                    return next.saturating_sub(REPEATED_WINDOWS);
                }
                Err(error) => {
                    log_event!(self.election.core.logger, USAGE_FAILED; "detail" => error.detail);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Seals a window and reports it; `requires_all` tells whether missing processes are waited for.
    async fn report(&self, window: u64, requires_all: bool) -> Result<(), ServiceError> {
        let report = self.seal(window, requires_all).await?;
        let Some(duties) = self.election.core.ports.duties.clone() else {
            return Ok(());
        };
        let proof = self.election.proof()?;
        duties.report_usage(&proof, &report).await?;
        log_event!(self.election.core.logger, USAGE_REPORTED;
            "window" => window, "fence" => proof.fence,
            "requests" => report.counts.iter().map(|(_, count)| count).sum::<u64>());
        Ok(())
    }

    /// Fixes the content of a window in the store, so that it is never reported with two contents.
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
            // The next try reads what was sealed instead.
            _ => Err(ServiceError::not_run(
                ErrorKind::Conflict,
                "the window was sealed meanwhile",
            )),
        }
    }

    /// Asks all processes for what they counted; `requires_all` makes a missing answer an error.
    async fn collect(&self, requires_all: bool) -> Result<(), ServiceError> {
        let core = &self.election.core;
        core.record_own_usage();
        let members = core.members.borrow().clone();
        let others: Vec<MemberRecord> = members
            .into_iter()
            .filter(|member| member.incarnation != core.incarnation && member.serves_callers)
            .collect();
        // All at once, because each process that does not answer takes the whole time for an answer.
        let calls = others
            .iter()
            .map(|member| core.call_peer(member.peer, &PeerCall::Usage, Duration::ZERO));
        let mut silent = None;
        for (member, answer) in others.iter().zip(join_all(calls).await) {
            match answer {
                Ok(PeerAnswer::Usage(counts)) => {
                    let mut ledger = core.ledger.borrow_mut();
                    ledger.merge(member.incarnation, &counts);
                }
                _ => silent = Some(&member.host),
            }
        }
        match silent {
            Some(host) if requires_all => {
                let detail = format!("{host} does not tell its usage");
                Err(ServiceError::not_run(ErrorKind::PeerUnavailable, detail))
            }
            // What the process told before stands in the ledger.
            _ => Ok(()),
        }
    }

    /// Stores what is counted and not sealed, until the task is ended.
    ///
    /// After all processes were killed only the store knows what they counted.
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
                // An earlier holder's late write, or this one's with a lost answer: what it holds is
                // learned and written again.
                Ok(_) => known = self.load_unsealed().await,
                Err(error) => {
                    log_event!(core.logger, USAGE_FAILED; "detail" => error.detail);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Learns the stored counts and returns the revision of their key, zero if there is none.
    async fn load_unsealed(&self) -> u64 {
        let core = &self.election.core;
        loop {
            match core.ports.store.read(UNSEALED_USAGE_KEY).await {
                Ok(reading) => {
                    let Some(item) = reading.item else { return 0 };
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
        let present = UsageWindows::window_at(unix_ms(), length_ms);
        let open = core
            .ledger
            .borrow()
            .unsealed(present.saturating_sub(UNSEALED_WINDOWS));
        let transaction = Transaction {
            conditions: vec![StoreCondition {
                key: UNSEALED_USAGE_KEY.to_owned(),
                revision: known,
            }],
            writes: vec![StoreWrite {
                key: UNSEALED_USAGE_KEY.to_owned(),
                value: keys::encode(&open)?,
                lease: None,
            }],
            removals: Vec::new(),
        };
        core.ports.store.commit(&transaction).await
    }
}

impl GatewayCore {
    /// Takes what this process counted itself into its ledger.
    fn record_own_usage(&self) {
        let counts = self.usage.borrow().counts();
        self.ledger.borrow_mut().merge(self.incarnation, &counts);
    }

    /// Tells the holder of the duty what this process counts, soon after each request, so that little
    /// is lost with the process.
    pub async fn send_usage(self: Rc<Self>) {
        loop {
            self.usage_counted.notified().await;
            sleep(SEND_DELAY).await;
            let leader = self.leader.borrow().clone();
            let other = leader.filter(|holder| holder.incarnation != self.incarnation);
            let Some(holder) = other else { continue };
            let call = PeerCall::UsageUpdate {
                run: self.incarnation,
                counts: self.usage.borrow().counts(),
            };
            // The holder asks for what it missed before it seals a window.
            let _ = self.call_peer(holder.peer, &call, Duration::ZERO).await;
        }
    }
}
