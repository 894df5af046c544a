//! States that hosts are empty.

use {
    super::lead::ControlWork,
    crate::{
        events::{CONTROL_FAILED, HOST_EMPTIED},
        port::Transaction,
    },
    catkindeck::{id::ObjectName, log_event},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often it is looked whether a host is to be emptied.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// The emptying of hosts, for as long as this process does the control work.
pub struct HostRetirement {
    work: Rc<ControlWork>,
}

impl HostRetirement {
    /// Makes the retirement.
    pub fn new(work: Rc<ControlWork>) -> Rc<Self> {
        Rc::new(Self { work })
    }

    /// States that hosts are empty until the task is ended.
    ///
    /// No host keeps anything that lasts: jobs, results and usage lie in the platform's store.
    pub async fn run(self: Rc<Self>) {
        let mut done: Vec<ObjectName> = Vec::new();
        loop {
            let wanted = self.work.core.intent.borrow().retiring_hosts().to_vec();
            done.retain(|host| wanted.contains(host));
            for host in wanted {
                if !done.contains(&host) && self.state_empty(&host).await {
                    done.push(host);
                }
            }
            sleep(LOOK_INTERVAL).await;
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
