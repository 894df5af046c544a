//! The platform's host list, merged with the upstreams of the configuration.

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

/// The value of the host list's `role` field for entries.
const ENTRY_ROLE: &str = "entry";

/// Caches the host list. The last list that was read stays in use while the platform is
/// unavailable.
pub struct MemberList {
    hosts: Arc<dyn HostList>,
    cached: Mutex<Option<Vec<HostRecord>>>,
}

/// A configured upstream with its state from the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamWithHostState {
    pub upstream: UpstreamRecord,
    /// The state in the host list, or `None` if the list does not contain the host, for example
    /// because it lags.
    pub state: Option<HostState>,
}

impl MemberList {
    /// Creates a list that is empty until [`Self::refresh`] succeeds.
    pub fn new(hosts: Arc<dyn HostList>) -> Self {
        Self {
            hosts,
            cached: Mutex::new(None),
        }
    }

    /// Reads the host list from the platform.
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

    /// Returns the host, zone and address of all entries. Draining entries are included, because
    /// they serve until they are gone.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the list has never been read.
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

    /// Returns the entries of a zone, ordered by name.
    pub fn entries_of(&self, zone: &ObjectName) -> Vec<(ObjectName, SocketAddr)> {
        let entries = self.entries().unwrap_or_default().into_iter();
        entries
            .filter(|(_, other, _)| other == zone)
            .map(|(host, _, address)| (host, address))
            .collect()
    }

    /// Returns the zones that contain entries.
    pub fn entry_zones(&self) -> Vec<ObjectName> {
        let entries = self.entries().unwrap_or_default();
        let mut zones: Vec<ObjectName> = entries.into_iter().map(|(_, zone, _)| zone).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Returns the upstreams of a configuration that are not removed, with the states of their
    /// hosts.
    ///
    /// An upstream whose host is not in the list is included, because the list lags and the host
    /// may be new.
    pub fn merge(&self, snapshot: &ConfigSnapshot) -> Vec<UpstreamWithHostState> {
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
            .map(|record| UpstreamWithHostState {
                upstream: record.clone(),
                state: states.get(&&record.name).copied(),
            })
            .collect()
    }

    fn cached(&self) -> MutexGuard<'_, Option<Vec<HostRecord>>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
