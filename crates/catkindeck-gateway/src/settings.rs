//! The checked settings of a gateway process.

use {
    catkindeck::{id::ObjectName, message},
    std::net::SocketAddr,
};

/// The addresses of a process that serves callers.
#[message]
#[derive(Copy)]
pub struct EntryAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform's balancer asks whether the process is ready.
    pub readiness: SocketAddr,
}

/// The bounds that a deployment sets.
#[message]
#[derive(Copy)]
pub struct NodeBounds {
    /// The time after its withdrawal was acknowledged within which a key works, in milliseconds.
    pub revocation_ms: u64,
    /// The time from SIGTERM until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// The time within which two processes must not take turns in a duty, in milliseconds.
    pub lease_ms: u64,
    /// The length of a usage window, in milliseconds.
    pub usage_window_ms: u64,
    /// The time after a window's end by which its usage is due, in milliseconds.
    pub usage_late_ms: u64,
    /// The rate that a cold upstream bears for a moment, in percent of its stated rate.
    pub cold_overshoot_percent: u64,
    /// The requests that a cold upstream bears on top of that in any second.
    pub cold_slack: u64,
    /// The time from its submission for which a job must be readable, in milliseconds.
    pub job_retention_ms: u64,
}

/// The settings of a process.
#[message]
pub struct NodeSettings {
    /// The host's name, which names the process to the platform and to its peers.
    pub host: ObjectName,
    /// The availability zone.
    pub zone: ObjectName,
    /// The addresses for callers; `None` if the process serves none.
    pub entry: Option<EntryAddresses>,
    /// The address for other processes of the system.
    pub peer_listen: SocketAddr,
    /// The address for metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the platform's interfaces for duties.
    pub duties: Option<SocketAddr>,
    /// Whether usage is reported to the platform.
    pub reports_usage: bool,
    /// Whether upstreams are ordered from the platform.
    pub orders_upstreams: bool,
    /// The processor time that the process may use, in thousandths of a core.
    #[serde(rename = "processor")]
    pub cpu_millicores: u32,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// The descriptors that the process may open.
    pub descriptors: u64,
    /// The largest value of the store, in bytes.
    pub value_bytes: usize,
    /// The shortest time to live of a lease, in milliseconds.
    #[serde(rename = "least_ttl_ms")]
    pub min_ttl_ms: u64,
    /// The deployment's bounds.
    pub bounds: NodeBounds,
}

impl NodeSettings {
    /// Keeps what a running process cannot change as it is in `running`, and returns the names of the
    /// settings that therefore take effect only after a restart.
    pub fn keep_fixed(&mut self, running: &Self) -> Vec<&'static str> {
        let mut kept = Vec::new();
        keep(&mut kept, "host", &mut self.host, &running.host);
        keep(&mut kept, "zone", &mut self.zone, &running.zone);
        keep(&mut kept, "entry", &mut self.entry, &running.entry);
        keep(
            &mut kept,
            "peer_listen",
            &mut self.peer_listen,
            &running.peer_listen,
        );
        keep(
            &mut kept,
            "metrics_listen",
            &mut self.metrics_listen,
            &running.metrics_listen,
        );
        if self.duties.is_some() != running.duties.is_some() {
            kept.push("duties");
            self.duties = running.duties;
        }
        kept
    }
}

fn keep<T: Clone + PartialEq>(
    kept: &mut Vec<&'static str>,
    name: &'static str,
    setting: &mut T,
    running: &T,
) {
    if setting != running {
        kept.push(name);
        setting.clone_from(running);
    }
}
