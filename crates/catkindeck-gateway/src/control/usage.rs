//! Reports the requests of each customer, window by window.

use {
    super::lead::ControlWork,
    crate::{
        events::{USAGE_FAILED, USAGE_REPORTED, USAGE_SEALED},
        keys::{self, USAGE_PREFIX},
        peer::{PeerAnswer, PeerCall},
        port::{CommitOutcome, StoreCondition, StoreWrite, Transaction, UsageReport},
    },
    catkindeck::{ErrorKind, ServiceError, SortedMap, id::ObjectName, log_event, time::unix_ms},
    catkindeck_policy::direct::UsageWindows,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often it is looked whether a window is over.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// The time after its end at which a window is collected, in milliseconds: clocks of hosts differ a
/// little, and a request is counted when it is answered.
const SETTLE_MS: u64 = 2_000;

/// The windows before the one that is due next that a new holder reports. An exact repetition changes
/// nothing, and the former holder may have sealed a window without reporting it.
const REPEATED_WINDOWS: u64 = 2;

/// The pause before a failed report is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// The duty of reporting usage, for as long as this process does the control work.
pub struct UsageDuty {
    work: Rc<ControlWork>,
}

impl UsageDuty {
    /// Makes the duty.
    pub fn new(work: Rc<ControlWork>) -> Rc<Self> {
        Rc::new(Self { work })
    }

    /// Reports windows until the task is ended.
    pub async fn run(self: Rc<Self>) {
        let settings = self.work.core.settings();
        if !settings.reports_usage || self.work.core.ports.duties.is_none() {
            return;
        }
        let length_ms = settings.bounds.usage_window_ms;
        let mut next = self.first_window(length_ms).await;
        loop {
            let over_at = (next + 1) * length_ms + SETTLE_MS;
            if unix_ms() < over_at {
                sleep(LOOK_INTERVAL).await;
                continue;
            }
            let late_at = (next + 1) * length_ms + settings.bounds.usage_late_ms;
            match self.report(next, unix_ms() < late_at).await {
                Ok(()) => next += 1,
                Err(error) => {
                    log_event!(self.work.core.logger, USAGE_FAILED;
                        "window" => next, "detail" => error.detail);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Finds the first window that may not be reported yet.
    async fn first_window(&self, length_ms: u64) -> u64 {
        loop {
            match self.work.core.ports.store.list(USAGE_PREFIX).await {
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
                    log_event!(self.work.core.logger, USAGE_FAILED; "detail" => error.detail);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Seals a window and reports it; `can_wait` tells whether missing processes are waited for.
    async fn report(&self, window: u64, can_wait: bool) -> Result<(), ServiceError> {
        let report = self.seal(window, can_wait).await?;
        let Some(duties) = self.work.core.ports.duties.clone() else {
            return Ok(());
        };
        let proof = self.work.proof()?;
        duties.report_usage(&proof, &report).await?;
        log_event!(self.work.core.logger, USAGE_REPORTED;
            "window" => window, "fence" => proof.fence,
            "requests" => report.counts.iter().map(|(_, count)| count).sum::<u64>());
        Ok(())
    }

    /// Fixes the content of a window in the store, so that it is never reported with two contents.
    async fn seal(&self, window: u64, can_wait: bool) -> Result<UsageReport, ServiceError> {
        let store = &self.work.core.ports.store;
        let key = keys::usage_key(window);
        if let Some(item) = store.read(&key).await?.item {
            return keys::decode_item(&item);
        }
        let report = UsageReport {
            window,
            counts: self.collect(window, can_wait).await?,
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
                log_event!(self.work.core.logger, USAGE_SEALED;
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

    /// Adds up the counts of all processes.
    async fn collect(
        &self,
        window: u64,
        can_wait: bool,
    ) -> Result<Vec<(ObjectName, u64)>, ServiceError> {
        let core = &self.work.core;
        let mut sums: SortedMap<ObjectName, u64> = SortedMap::new();
        let mut add = |counts: Vec<(ObjectName, u64)>| {
            for (customer, count) in counts {
                *sums.get_or_insert_with(customer, || 0) += count;
            }
        };
        add(core.usage.borrow().window(window));
        let members = self.work.core.members.borrow().clone();
        for member in members {
            if member.incarnation == core.incarnation || !member.serves_callers {
                continue;
            }
            let call = PeerCall::Usage { window };
            match core.call_peer(member.peer, &call, Duration::ZERO).await {
                Ok(PeerAnswer::Usage(counts)) => add(counts),
                _ if can_wait => {
                    let detail = format!("{} does not tell its usage", member.host);
                    return Err(ServiceError::not_run(ErrorKind::PeerUnavailable, detail));
                }
                _ => {}
            }
        }
        Ok(sums
            .iter()
            .map(|(customer, count)| (customer.clone(), *count))
            .collect())
    }
}
