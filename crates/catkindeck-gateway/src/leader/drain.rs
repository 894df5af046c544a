//! Drains hosts that are to be decommissioned, and reports them as drained.

use {
    super::election::LeaderElection,
    crate::{
        events::{HOST_DRAINED, MAINTENANCE_FAILED},
        peer::{PeerCall, PeerResponse},
        port::Transaction,
    },
    catkindeck::{Moment, ServiceError, SortedMap, id::ObjectName, log_event},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often the set of hosts to drain is checked.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for a process to hand over its jobs. One job takes a few milliseconds.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long the leader waits for a host that still has jobs before it reports the host as drained, in
/// milliseconds. Operators allow a few seconds, and the jobs of a host that does not answer are taken over
/// when its lease ends.
const DRAIN_REPORT_TIMEOUT_MS: u64 = 4_000;

#[derive(Debug, Clone, Copy)]
enum DrainStage {
    /// The host's process has been asked to hand over its jobs since this time.
    Draining(Moment),
    /// The host was reported as drained.
    Reported,
}

/// Drains hosts while this process is the leader.
pub struct HostDrain {
    election: Rc<LeaderElection>,
}

impl HostDrain {
    pub fn new(election: Rc<LeaderElection>) -> Rc<Self> {
        Rc::new(Self { election })
    }

    /// Drains hosts until the task is aborted.
    ///
    /// All durable state is in the platform's store, but the jobs of a host that is decommissioned would be
    /// interrupted until its lease ends. They are therefore handed over first.
    pub async fn run(self: Rc<Self>) {
        let mut stages: SortedMap<ObjectName, DrainStage> = SortedMap::new();
        loop {
            let draining = self.election.core.intent.borrow().draining_hosts().to_vec();
            stages.retain(|host, _| draining.contains(host));
            for host in draining {
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

    /// Drains a host and reports it; `waited_ms` is the time since the first attempt.
    async fn drain_host(&self, host: &ObjectName, waited_ms: u64) -> bool {
        let core = &self.election.core;
        if let Err(error) = self.drain_jobs(host).await {
            log_event!(core.logger, MAINTENANCE_FAILED;
                "work" => "vacate", "host" => %host, "waited_ms" => waited_ms,
                "detail" => error.detail);
            if waited_ms < DRAIN_REPORT_TIMEOUT_MS {
                return false;
            }
        }
        let is_reported = self.report_drained(host).await;
        if is_reported && *host == core.settings().host {
            self.election.resign();
        }
        is_reported
    }

    /// Makes the process on a host hand over its jobs, if there is such a process.
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
            .call_peer(member.peer, &PeerCall::DrainJobs, HAND_OVER_TIMEOUT)
            .await?
        {
            PeerResponse::Refused(error) => Err(error),
            _ => Ok(()),
        }
    }

    async fn report_drained(&self, host: &ObjectName) -> bool {
        let core = &self.election.core;
        let transaction = Transaction {
            writes: vec![core.ports.intents.encode_drained(host)],
            ..Transaction::default()
        };
        match core.ports.store.commit(&transaction).await {
            Ok(_) => {
                log_event!(core.logger, HOST_DRAINED; "host" => %host);
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
