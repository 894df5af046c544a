//! The desired state that operators and trainers have set, as last read by this process.

use {
    crate::port::{DecodedConfig, DecodedIntent, KeyPolicy},
    catkindeck::{
        config::{ConfigSnapshot, KeyRecord, RouteRecord, ServiceRecord},
        id::{KeyDigest, ObjectName},
    },
    catkindeck_policy::direct::{RouteTable, TargetVersion},
};

/// The desired state, also called the intent, that this process currently applies.
#[derive(Debug, Clone, Default)]
pub struct IntentView {
    config: ConfigSnapshot,
    key_policy: KeyPolicy,
    /// Whether any configuration of the deployment had customers; `None` while that is not known.
    had_customers: Option<bool>,
    routes: RouteTable,
    has_job_routes: bool,
    /// The store's revision of the configuration; `None` if none was read yet.
    store_revision: Option<u64>,
    closed_zones: Vec<ObjectName>,
    target_versions: Vec<TargetVersion>,
    draining_hosts: Vec<ObjectName>,
}

/// Which parts of the desired state a read changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IntentChanges {
    pub config: bool,
    /// Whether availability zones were taken out of service or put back.
    pub zones: bool,
    /// Whether the target versions of weights changed.
    pub versions: bool,
    /// Whether the set of hosts to drain changed.
    pub hosts: bool,
}

impl IntentChanges {
    pub fn has_any(self) -> bool {
        self.config || self.zones || self.versions || self.hosts
    }
}

impl IntentView {
    /// Applies a read. A configuration older than the current one is ignored, because a replaced
    /// configuration must not take effect again.
    pub fn apply(&mut self, intent: DecodedIntent) -> IntentChanges {
        let mut changes = IntentChanges::default();
        if let DecodedConfig::New {
            config,
            key_policy,
            revision,
        } = intent.config
            && (self.store_revision.is_none() || config.revision >= self.config.revision)
        {
            self.routes = RouteTable::new(&config.routes);
            self.has_job_routes = config.routes.iter().any(|route| route.terms.job.is_some());
            self.config = *config;
            self.key_policy = key_policy;
            self.had_customers = match key_policy {
                KeyPolicy::Required => Some(true),
                // There may have been customers for a while of which this process has not read.
                KeyPolicy::Open => self.had_customers.filter(|had_customers| *had_customers),
            };
            self.store_revision = Some(revision);
            changes.config = true;
        }
        changes.zones = replace(&mut self.closed_zones, intent.closed_zones);
        changes.versions = replace(&mut self.target_versions, intent.target_versions);
        changes.hosts = replace(&mut self.draining_hosts, intent.draining_hosts);
        changes
    }

    /// Returns whether a configuration was read.
    pub fn has_config(&self) -> bool {
        self.store_revision.is_some()
    }

    /// Returns the store's revision of the configuration; `None` if none was read yet.
    pub fn store_revision(&self) -> Option<u64> {
        self.store_revision
    }

    pub fn config(&self) -> &ConfigSnapshot {
        &self.config
    }

    /// Returns whether callers need an API key on routes that are not open; `None` while that is not known. Where there
    /// were customers, callers need one also after the configuration has ceased to name any.
    pub fn requires_key(&self) -> Option<bool> {
        self.store_revision?;
        match self.key_policy {
            KeyPolicy::Required => Some(true),
            KeyPolicy::Open => self.had_customers,
        }
    }

    /// Records whether any configuration of the deployment had customers.
    pub fn set_had_customers(&mut self, had_customers: bool) {
        self.had_customers = Some(had_customers);
    }

    /// Returns what the configuration says about keys.
    pub fn key_policy(&self) -> KeyPolicy {
        self.key_policy
    }

    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns whether jobs can be submitted.
    pub fn has_job_routes(&self) -> bool {
        self.has_job_routes
    }

    /// Finds the record of a caller's API key.
    pub fn key(&self, key: &str) -> Option<&KeyRecord> {
        self.config.key(&KeyDigest::of(key))
    }

    /// Returns the customer for whom a request to a route counts. On an open route the key is not looked at.
    pub fn customer_of(&self, route: &RouteRecord, key: Option<&str>) -> Option<&ObjectName> {
        let key = key.filter(|_| !route.open)?;
        self.key(key).map(|key| &key.customer)
    }

    pub fn service(&self, name: &ObjectName) -> Option<&ServiceRecord> {
        self.config.service(name)
    }

    /// Returns the availability zones that are out of service.
    pub fn closed_zones(&self) -> &[ObjectName] {
        &self.closed_zones
    }

    /// Returns the versions of weights that upstreams are expected to run.
    pub fn target_versions(&self) -> &[TargetVersion] {
        &self.target_versions
    }

    /// Returns the hosts that are to be drained and decommissioned.
    pub fn draining_hosts(&self) -> &[ObjectName] {
        &self.draining_hosts
    }

    pub fn is_draining(&self, host: &ObjectName) -> bool {
        self.draining_hosts.contains(host)
    }
}

fn replace<T: PartialEq>(current: &mut Vec<T>, next: Vec<T>) -> bool {
    let changed = *current != next;
    *current = next;
    changed
}
