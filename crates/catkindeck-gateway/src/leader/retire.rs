//! Empties hosts that are to be taken away, and states that they are empty.

use {
    super::election::LeaderElection,
    crate::{
        events::{HOST_EMPTIED, MAINTENANCE_FAILED},
        peer::{PeerAnswer, PeerCall},
        port::Transaction,
    },
    catkindeck::{Moment, ServiceError, SortedMap, id::ObjectName, log_event},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often it is looked whether a host is to be emptied.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for a process to hand its jobs over; one job takes a few milliseconds.
const DRAIN_WAIT: Duration = Duration::from_millis(2_000);

/// How long a host that keeps its jobs is waited for, in milliseconds. Operators allow some seconds, and
/// the jobs of a host that does not answer are taken over when its lease ends.
const DRAIN_LIMIT_MS: u64 = 4_000;

/// How far the emptying of a host is.
#[derive(Debug, Clone, Copy)]
enum DrainStage {
    /// Its process is asked for its jobs since this moment.
    Draining(Moment),
    /// The store says that it is empty.
    Reported,
}

/// The emptying of hosts, for as long as this process does the control work.
pub struct HostRetirement {
    election: Rc<LeaderElection>,
}

impl HostRetirement {
    /// Makes the retirement.
    pub fn new(election: Rc<LeaderElection>) -> Rc<Self> {
        Rc::new(Self { election })
    }

    /// Empties hosts until the task is ended.
    ///
    /// What lasts lies in the platform's store, but a host that is taken away with running jobs costs
    /// them its lease, so they are handed over first.
    pub async fn run(self: Rc<Self>) {
        let mut stages: SortedMap<ObjectName, DrainStage> = SortedMap::new();
        loop {
            let wanted = self.election.core.intent.borrow().retiring_hosts().to_vec();
            stages.retain(|host, _| wanted.contains(host));
            for host in wanted {
                let now = self.election.core.now();
                let stage = stages.get(&host).copied();
                let DrainStage::Draining(since) = stage.unwrap_or(DrainStage::Draining(now)) else {
                    continue;
                };
                let stage = match self.drain_host(&host, now.since(since)).await {
                    true => DrainStage::Reported,
                    false => DrainStage::Draining(since),
                };
                stages.insert(host, stage);
            }
            sleep(SCAN_INTERVAL).await;
        }
    }

    /// Has a host emptied and states it; `waited_ms` is how long it was tried.
    async fn drain_host(&self, host: &ObjectName, waited_ms: u64) -> bool {
        let core = &self.election.core;
        if let Err(error) = self.drain_jobs(host).await {
            log_event!(core.logger, MAINTENANCE_FAILED;
                "work" => "vacate", "host" => %host, "waited_ms" => waited_ms,
                "detail" => error.detail);
            if waited_ms < DRAIN_LIMIT_MS {
                return false;
            }
        }
        let is_stated = self.report_empty(host).await;
        if is_stated && *host == core.settings().host {
            self.election.resign();
        }
        is_stated
    }

    /// Has the process on a host hand its jobs over, if there is one.
    async fn drain_jobs(&self, host: &ObjectName) -> Result<(), ServiceError> {
        let core = &self.election.core;
        let member = {
            let members = core.members.borrow();
            members.iter().find(|member| member.host == *host).cloned()
        };
        let Some(member) = member else { return Ok(()) };
        if member.incarnation == core.incarnation {
            return self.election.jobs.hand_over().await;
        }
        match core
            .call_peer(member.peer, &PeerCall::DrainJobs, DRAIN_WAIT)
            .await?
        {
            PeerAnswer::Refused(error) => Err(error),
            _ => Ok(()),
        }
    }

    async fn report_empty(&self, host: &ObjectName) -> bool {
        let core = &self.election.core;
        let transaction = Transaction {
            writes: vec![core.ports.intents.encode_retired(host)],
            ..Transaction::default()
        };
        match core.ports.store.commit(&transaction).await {
            Ok(_) => {
                log_event!(core.logger, HOST_EMPTIED; "host" => %host);
                true
            }
            Err(error) => {
                log_event!(core.logger, MAINTENANCE_FAILED;
                    "work" => "retire", "host" => %host, "detail" => error.detail);
                false
            }
        }
    }
}
