//! Use of the platform's host list.

use {
    crate::{core::AgentCore, events},
    catkindeck::{
        id::ObjectName,
        log_event,
        platform::{HostList, HostRecord, HostState},
    },
    catkindeck_policy::choose_candidates,
    std::net::SocketAddr,
};

const ENTRY_ROLE: &str = "entry";

/// The maximum number of entries from the host list that are queried for the configuration.
const MAX_QUERIED_ENTRIES: usize = 4;

impl AgentCore {
    /// Reads the host list to find out whether this host is draining and which entries can be
    /// queried for the configuration.
    ///
    /// If the list cannot be read, nothing changes. If it does not contain this host, the draining
    /// state does not change, because the list lags.
    pub(crate) fn read_hosts(&self, list: &dyn HostList) {
        let hosts = match list.hosts() {
            Ok(hosts) => hosts,
            Err(error) => {
                let reason = error.to_string();
                log_event!(self.logger, events::HOST_LIST_UNREADABLE; "reason" => reason);
                return;
            }
        };
        let own = hosts
            .iter()
            .find(|host| host.host == self.settings.process.host);
        if let Some(own) = own {
            self.lock().host_list_draining = own.state == HostState::Leaving;
            self.update_queue_closed();
        }
        self.cache
            .set_host_list_entries(self.nearest_entries(&hosts));
    }

    /// Returns the addresses of a few entries. Those in the agent's zone come first.
    ///
    /// Each agent ranks them by rendezvous hashing with its own name. If all agents took the first
    /// entries of the list, four entries per zone would serve all agents of the zone
    /// (`docs/CAPACITY.md`).
    fn nearest_entries(&self, hosts: &[HostRecord]) -> Vec<SocketAddr> {
        let live = hosts
            .iter()
            .filter(|host| host.role == ENTRY_ROLE && host.state == HostState::Live);
        let (near, far): (Vec<&HostRecord>, Vec<&HostRecord>) =
            live.partition(|host| host.zone == self.settings.process.zone);
        let chosen = [near, far]
            .into_iter()
            .flat_map(|entries| self.rank_entries(&entries));
        chosen.take(MAX_QUERIED_ENTRIES).collect()
    }

    fn rank_entries(&self, entries: &[&HostRecord]) -> Vec<SocketAddr> {
        let names: Vec<ObjectName> = entries.iter().map(|host| host.host.clone()).collect();
        let ranked = choose_candidates(self.settings.process.host.as_str(), &names);
        let address = |name: &ObjectName| {
            entries
                .iter()
                .find(|host| host.host == *name)
                .map(|host| host.address)
        };
        ranked.iter().filter_map(address).collect()
    }
}
