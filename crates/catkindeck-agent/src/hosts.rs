//! The platform's host list as the agent uses it.

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

/// The role of entries in the host list.
const ENTRY_ROLE: &str = "entry";

/// The number of entries of the list that are asked for a missing configuration.
const ENTRY_LIMIT: usize = 4;

impl AgentCore {
    /// Reads the host list: whether this host is leaving, and which entries can be asked for the
    /// configuration.
    ///
    /// A list that cannot be read changes nothing, and neither does one without this host, because
    /// the list lags.
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
            self.lock().listed_leaving = own.state == HostState::Leaving;
            self.refresh_closed();
        }
        self.cache.set_listed(self.nearest_entries(&hosts));
    }

    /// Returns a few entries, those of the agent's zone first.
    ///
    /// Each agent chooses by rendezvous hashing with its own name. When all took the first of the
    /// list, the four first entries of a zone answered all its agents (`docs/CAPACITY.md`).
    fn nearest_entries(&self, hosts: &[HostRecord]) -> Vec<SocketAddr> {
        let live = hosts
            .iter()
            .filter(|host| host.role == ENTRY_ROLE && host.state == HostState::Live);
        let (near, far): (Vec<&HostRecord>, Vec<&HostRecord>) =
            live.partition(|host| host.zone == self.settings.process.zone);
        let chosen = [near, far]
            .into_iter()
            .flat_map(|entries| self.rank_entries(&entries));
        chosen.take(ENTRY_LIMIT).collect()
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
