//! Moves jobs from a process that serves callers to one that does not, once there is one.
//!
//! Answers the load after a loss of many processes: entries accept jobs before they know of a standby and own them.
//! An entry has a small part of a core, and two owners do not know of each other's items at an engine.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::keys::{MEMBER_PREFIX, MemberRecord},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often an entry looks for a process that can take its jobs. The list of processes is already in memory.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The pause after a hand-over that was not confirmed.
const RETRY_PAUSE: Duration = Duration::from_millis(5_000);

impl JobService {
    /// Hands the jobs of an entry over to standbys, for the life of the process.
    pub async fn relocate_jobs(self: Rc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let serves_callers = self.core.settings().entry.is_some();
            if !serves_callers || self.core.is_shutting_down() || !self.has_misplaced_job() {
                continue;
            }
            // The list in memory may name a former run of a standby, which cannot take a job any more.
            match self.core.ports.store.list(MEMBER_PREFIX).await {
                Ok(listing) => self.core.set_members(&listing.items),
                Err(_) => continue,
            }
            for job in self.running() {
                let Some(standby) = self.standby_for(&job) else {
                    continue;
                };
                if !self.hand_over_one(&job, &standby).await {
                    // Each hand-over interrupts the runs of a job.
                    sleep(RETRY_PAUSE).await;
                    break;
                }
            }
        }
    }

    fn has_misplaced_job(&self) -> bool {
        let mut jobs = self.running().into_iter();
        jobs.any(|job| self.standby_for(&job).is_some())
    }

    fn standby_for(&self, job: &OwnedJob) -> Option<MemberRecord> {
        let owner = self.choose_owner(&job.spec, &self.service_of(&job.spec));
        (!owner.serves_callers).then_some(owner)
    }
}
