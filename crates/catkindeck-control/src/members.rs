//! The hosts of the platform's list, merged with the members of the configuration.

use {
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        config::{ConfigSnapshot, UpstreamRecord},
        id::ObjectName,
        platform::{HostList, HostRecord, HostState},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// The role of entries in the host list.
const ENTRY_ROLE: &str = "entry";

/// The last known host list; a list that cannot be read again stays in use.
pub struct MemberList {
    hosts: Arc<dyn HostList>,
    cached: Mutex<Option<Vec<HostRecord>>>,
}

/// A member of a service with the state that the host list adds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// The member as configured.
    pub upstream: UpstreamRecord,
    /// Its state in the host list; `None` if the lagging list does not show it.
    pub state: Option<HostState>,
}

impl MemberList {
    /// Makes a list that is empty until it is refreshed.
    pub fn new(hosts: Arc<dyn HostList>) -> Self {
        Self {
            hosts,
            cached: Mutex::new(None),
        }
    }

    /// Reads the platform's list.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the list cannot be read in time.
    pub fn refresh(&self) -> Result<(), ServiceError> {
        let mut hosts = self.hosts.hosts()?;
        hosts.sort_by(|left, right| left.host.cmp(&right.host));
        *self.cached() = Some(hosts);
        Ok(())
    }

    /// Returns host, zone and address of all entries, leaving ones included because they serve
    /// until they are gone.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the list was never read.
    pub fn entries(&self) -> Result<Vec<(ObjectName, ObjectName, SocketAddr)>, ServiceError> {
        let cached = self.cached();
        let hosts = cached.as_ref().ok_or_else(|| {
            let detail = "the host list has not been read yet";
            ServiceError::not_run(ErrorKind::PeerUnavailable, detail)
        })?;
        let entries = hosts.iter().filter(|host| host.role == ENTRY_ROLE);
        Ok(entries
            .map(|host| (host.host.clone(), host.zone.clone(), host.address))
            .collect())
    }

    /// Returns the entries of a zone in order of name.
    pub fn entries_of(&self, zone: &ObjectName) -> Vec<(ObjectName, SocketAddr)> {
        let entries = self.entries().unwrap_or_default().into_iter();
        entries
            .filter(|(_, other, _)| other == zone)
            .map(|(host, _, address)| (host, address))
            .collect()
    }

    /// Returns the zones that have entries.
    pub fn entry_zones(&self) -> Vec<ObjectName> {
        let entries = self.entries().unwrap_or_default();
        let mut zones: Vec<ObjectName> = entries.into_iter().map(|(_, zone, _)| zone).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Merges the list into the members of a configuration.
    ///
    /// A member that the list does not show may have started within the list's lag, so it stays.
    pub fn merge(&self, snapshot: &ConfigSnapshot) -> Vec<MemberView> {
        let cached = self.cached();
        let states: SortedMap<&ObjectName, HostState> = cached
            .iter()
            .flatten()
            .map(|host| (&host.host, host.state))
            .collect();
        let members = snapshot
            .upstreams
            .iter()
            .filter(|record| record.removed_ms.is_none());
        members
            .map(|record| MemberView {
                upstream: record.clone(),
                state: states.get(&&record.name).copied(),
            })
            .collect()
    }

    fn cached(&self) -> MutexGuard<'_, Option<Vec<HostRecord>>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
