//! Empties hosts that are to be taken away, and states that they are empty.

use {
    super::lead::ControlWork,
    crate::{
        events::{CONTROL_FAILED, HOST_EMPTIED},
        peer::{PeerAnswer, PeerCall},
        port::Transaction,
    },
    catkindeck::{Moment, ServiceError, SortedMap, id::ObjectName, log_event},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often it is looked whether a host is to be emptied.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for a process to hand its jobs over; one job takes a few milliseconds.
const VACATE_WAIT: Duration = Duration::from_millis(2_000);

/// How long a host that keeps its jobs is waited for, in milliseconds. Operators allow some seconds, and
/// the jobs of a host that does not answer are taken over when its lease ends.
const VACATE_LIMIT_MS: u64 = 4_000;

/// How far the emptying of a host is.
#[derive(Debug, Clone, Copy)]
enum RetirementStage {
    /// Its process is asked for its jobs since this moment.
    Waiting(Moment),
    /// The store says that it is empty.
    Stated,
}

/// The emptying of hosts, for as long as this process does the control work.
pub struct HostRetirement {
    work: Rc<ControlWork>,
}

impl HostRetirement {
    /// Makes the retirement.
    pub fn new(work: Rc<ControlWork>) -> Rc<Self> {
        Rc::new(Self { work })
    }

    /// Empties hosts until the task is ended.
    ///
    /// What lasts lies in the platform's store, but a host that is taken away with running jobs costs
    /// them its lease, so they are handed over first.
    pub async fn run(self: Rc<Self>) {
        let mut stages: SortedMap<ObjectName, RetirementStage> = SortedMap::new();
        loop {
            let wanted = self.work.core.intent.borrow().retiring_hosts().to_vec();
            stages.retain(|host, _| wanted.contains(host));
            for host in wanted {
                let now = self.work.core.now();
                let stage = stages.get(&host).copied();
                let RetirementStage::Waiting(since) =
                    stage.unwrap_or(RetirementStage::Waiting(now))
                else {
                    continue;
                };
                let stage = match self.empty(&host, now.since(since)).await {
                    true => RetirementStage::Stated,
                    false => RetirementStage::Waiting(since),
                };
                stages.insert(host, stage);
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Has a host emptied and states it; `waited_ms` is how long it was tried.
    async fn empty(&self, host: &ObjectName, waited_ms: u64) -> bool {
        let core = &self.work.core;
        if let Err(error) = self.vacate(host).await {
            log_event!(core.logger, CONTROL_FAILED;
                "work" => "vacate", "host" => %host, "waited_ms" => waited_ms,
                "detail" => error.detail);
            if waited_ms < VACATE_LIMIT_MS {
                return false;
            }
        }
        let is_stated = self.state_empty(host).await;
        if is_stated && *host == core.settings().host {
            self.work.resign();
        }
        is_stated
    }

    /// Has the process on a host hand its jobs over, if there is one.
    async fn vacate(&self, host: &ObjectName) -> Result<(), ServiceError> {
        let core = &self.work.core;
        let member = {
            let members = core.members.borrow();
            members.iter().find(|member| member.host == *host).cloned()
        };
        let Some(member) = member else { return Ok(()) };
        if member.incarnation == core.incarnation {
            return self.work.jobs.hand_over().await;
        }
        match core
            .call_peer(member.peer, &PeerCall::Vacate, VACATE_WAIT)
            .await?
        {
            PeerAnswer::Refused(error) => Err(error),
            _ => Ok(()),
        }
    }

    async fn state_empty(&self, host: &ObjectName) -> bool {
        let core = &self.work.core;
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
                log_event!(core.logger, CONTROL_FAILED;
                    "work" => "retire", "host" => %host, "detail" => error.detail);
                false
            }
        }
    }
}
