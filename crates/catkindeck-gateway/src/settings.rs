//! The validated settings of a gateway process.

use {
    catkindeck::{id::ObjectName, message},
    std::net::SocketAddr,
};

/// The listening addresses of a process that serves callers.
#[message]
#[derive(Copy)]
pub struct EntryAddresses {
    pub callers: SocketAddr,
    /// The address for readiness checks of the platform's load balancer.
    pub readiness: SocketAddr,
}

/// The time limits and tolerances of a deployment.
#[message]
#[derive(Copy)]
pub struct DeploymentBounds {
    /// The longest time for which a key may still be accepted after its revocation was acknowledged, in
    /// milliseconds.
    pub revocation_ms: u64,
    /// The time from SIGTERM until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// The shortest time between the actions of two different leaders, in milliseconds.
    pub lease_ms: u64,
    pub usage_window_ms: u64,
    /// The time after the end of a usage window by which the window must be reported, in milliseconds.
    pub usage_late_ms: u64,
    /// The request rate that a cold upstream tolerates for a short time, in percent of its configured cold
    /// rate.
    pub cold_overshoot_percent: u64,
    /// The number of requests that a cold upstream tolerates in any second beyond that rate.
    pub cold_slack: u64,
    /// The time after its submission for which a job must be readable, in milliseconds.
    pub job_retention_ms: u64,
    /// The time after its acknowledgement by which a change of the desired state or of the list of upstreams must be
    /// in effect, in milliseconds.
    pub change_ms: u64,
}

/// Whether a decision under load may take effect.
#[message]
#[derive(Copy, Default)]
pub enum FeatureMode {
    /// It takes effect where the configuration and the load meet its condition (`docs/settings.md`).
    #[default]
    Auto,
    /// It never takes effect.
    Off,
}

/// Which services have several owners of their jobs.
#[message]
#[derive(Copy, Default)]
pub enum SharingMode {
    /// Those with more engines than one process can keep busy (`docs/design/ownership.md`).
    #[default]
    Large,
    /// All that meet the other conditions.
    Auto,
    /// None.
    Off,
}

/// The decisions under load that an operator can switch off, each described in `docs/design/`.
#[message]
#[derive(Copy, Default)]
pub struct SchedulingSettings {
    /// The order of items by steps and groups.
    pub step_order: FeatureMode,
    /// The choice of engines by predicted completion.
    pub predicted_completion: FeatureMode,
    /// The sharing of plain upstreams between callers and scorer calls, and the time at which refused callers
    /// should return.
    pub plain_room: FeatureMode,
    /// The distribution of engines over models by demand.
    pub weight_demand: FeatureMode,
    /// The ownership of jobs by trainer, with places of engines granted to each owner.
    pub shared_ownership: SharingMode,
    /// The use of texts of groups that come again in a later step.
    pub carried_texts: FeatureMode,
    /// The choice of processes for relayed work by what they can carry, and the refusals of a process that nears its
    /// memory or link bound.
    pub entry_capacity: FeatureMode,
}

/// The settings of a gateway process.
#[message]
pub struct NodeSettings {
    /// The name of the host, which identifies the process to the platform and to its peers.
    pub host: ObjectName,
    pub zone: ObjectName,
    /// The addresses for callers; `None` if the process does not serve callers.
    pub entry: Option<EntryAddresses>,
    /// The address for calls from other gateway processes.
    pub peer_listen: SocketAddr,
    pub metrics_listen: Option<SocketAddr>,
    /// The address of the platform's key-value store.
    pub store: SocketAddr,
    /// The address of the platform's cloud API.
    #[serde(rename = "duties")]
    pub cloud_api: Option<SocketAddr>,
    pub reports_usage: bool,
    /// Whether this deployment orders upstreams from the platform.
    pub orders_upstreams: bool,
    /// The CPU time available to the process, in thousandths of a core.
    #[serde(rename = "processor")]
    pub cpu_millicores: u32,
    /// The memory available to the process, in bytes.
    pub memory_bytes: u64,
    /// The maximum number of open file descriptors.
    pub descriptors: u64,
    /// The rate of the host's link, in megabits per second; zero if unknown.
    pub link_mbps: u32,
    /// The largest value that the store accepts, in bytes.
    pub value_bytes: usize,
    /// The shortest time to live of a lease that the store grants, in milliseconds.
    #[serde(rename = "least_ttl_ms")]
    pub min_ttl_ms: u64,
    pub bounds: DeploymentBounds,
    pub scheduling: SchedulingSettings,
}

impl FeatureMode {
    pub fn is_on(self) -> bool {
        self == Self::Auto
    }
}

impl NodeSettings {
    /// Restores the settings that cannot change at run time to their values in `running`, and returns the
    /// names of those that differed and take effect only after a restart.
    pub fn restore_restart_only(&mut self, running: &Self) -> Vec<&'static str> {
        let mut restored = Vec::new();
        restore_if_changed(&mut restored, "host", &mut self.host, &running.host);
        restore_if_changed(&mut restored, "zone", &mut self.zone, &running.zone);
        restore_if_changed(&mut restored, "entry", &mut self.entry, &running.entry);
        restore_if_changed(
            &mut restored,
            "peer_listen",
            &mut self.peer_listen,
            &running.peer_listen,
        );
        restore_if_changed(
            &mut restored,
            "metrics_listen",
            &mut self.metrics_listen,
            &running.metrics_listen,
        );
        if self.cloud_api.is_some() != running.cloud_api.is_some() {
            restored.push("duties");
            self.cloud_api = running.cloud_api;
        }
        restored
    }
}

fn restore_if_changed<T: Clone + PartialEq>(
    restored: &mut Vec<&'static str>,
    name: &'static str,
    setting: &mut T,
    running: &T,
) {
    if setting != running {
        restored.push(name);
        setting.clone_from(running);
    }
}
