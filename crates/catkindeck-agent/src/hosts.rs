//! The platform's host list as the agent uses it.

use {
    crate::{core::AgentCore, events},
    catkindeck::{
        log_event,
        platform::{HostList, HostRecord, HostState},
    },
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
        self.keeper.set_listed(self.nearest_entries(&hosts));
    }

    /// Returns a few entries, those of the agent's zone first.
    fn nearest_entries(&self, hosts: &[HostRecord]) -> Vec<SocketAddr> {
        let mut entries: Vec<&HostRecord> = hosts
            .iter()
            .filter(|host| host.role == ENTRY_ROLE && host.state == HostState::Live)
            .collect();
        entries.sort_by_key(|host| host.zone != self.settings.process.zone);
        entries.truncate(ENTRY_LIMIT);
        entries.iter().map(|host| host.address).collect()
    }
}
