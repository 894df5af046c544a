//! What operators and trainers want, as this process knows it.

use {
    crate::port::{DecodedConfig, DecodedIntent},
    catkindeck::{
        config::{ConfigSnapshot, KeyRecord, ServiceRecord},
        id::{KeyDigest, ObjectName},
    },
    catkindeck_policy::direct::{RouteTable, TargetVersion},
};

/// The newest state of the operators' and trainers' keys that was read.
#[derive(Debug, Clone, Default)]
pub struct IntentView {
    config: ConfigSnapshot,
    routes: RouteTable,
    /// The store's revision of the configuration; `None` before the first.
    store_revision: Option<u64>,
    closed_zones: Vec<ObjectName>,
    named_versions: Vec<TargetVersion>,
    retiring_hosts: Vec<ObjectName>,
}

/// What a read changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IntentChanges {
    /// Whether another configuration is in use.
    pub config: bool,
    /// Whether availability zones went out or came back.
    pub zones: bool,
    /// Whether versions of weights were named.
    pub versions: bool,
    /// Whether hosts are to be emptied, or no longer.
    pub hosts: bool,
}

impl IntentChanges {
    /// Tells whether anything changed.
    pub fn any(self) -> bool {
        self.config || self.zones || self.versions || self.hosts
    }
}

impl IntentView {
    /// Takes what a read found; a configuration older than the one in use is ignored, because
    /// what was once in force must not come back.
    pub fn apply(&mut self, intent: DecodedIntent) -> IntentChanges {
        let mut changes = IntentChanges::default();
        if let DecodedConfig::New(config, revision) = intent.config
            && (self.store_revision.is_none() || config.revision >= self.config.revision)
        {
            self.routes = RouteTable::new(&config.routes);
            self.config = *config;
            self.store_revision = Some(revision);
            changes.config = true;
        }
        changes.zones = replace(&mut self.closed_zones, intent.closed_zones);
        changes.versions = replace(&mut self.named_versions, intent.named_versions);
        changes.hosts = replace(&mut self.retiring_hosts, intent.retiring_hosts);
        changes
    }

    /// Tells whether any configuration is known.
    pub fn is_claimed(&self) -> bool {
        self.store_revision.is_some()
    }

    /// Returns the store's revision of the configuration.
    pub fn store_revision(&self) -> Option<u64> {
        self.store_revision
    }

    /// Returns the configuration.
    pub fn config(&self) -> &ConfigSnapshot {
        &self.config
    }

    /// Returns the routes.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Finds the record of a caller's key.
    pub fn key(&self, key: &str) -> Option<&KeyRecord> {
        self.config.key(&KeyDigest::of(key))
    }

    /// Finds a service.
    pub fn service(&self, name: &ObjectName) -> Option<&ServiceRecord> {
        self.config.service(name)
    }

    /// Returns the availability zones that are out.
    pub fn closed_zones(&self) -> &[ObjectName] {
        &self.closed_zones
    }

    /// Returns the versions of weights that the upstreams shall run.
    pub fn named_versions(&self) -> &[TargetVersion] {
        &self.named_versions
    }

    /// Returns the hosts that are to be emptied.
    pub fn retiring_hosts(&self) -> &[ObjectName] {
        &self.retiring_hosts
    }

    /// Tells whether a host is to be emptied.
    pub fn is_retiring(&self, host: &ObjectName) -> bool {
        self.retiring_hosts.contains(host)
    }
}

fn replace<T: PartialEq>(current: &mut Vec<T>, next: Vec<T>) -> bool {
    let changed = *current != next;
    *current = next;
    changed
}
