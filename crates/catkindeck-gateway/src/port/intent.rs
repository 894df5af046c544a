//! What operators, trainers and upstreams write to the platform's store.

use {
    super::store::{StoreItem, StoreWrite},
    catkindeck::{config::ConfigSnapshot, id::ObjectName, key},
    catkindeck_policy::direct::{DiscoveredUpstream, TargetVersion},
};

/// Whether callers need an API key on routes that are not open.
#[key]
#[derive(Default)]
pub enum KeyPolicy {
    /// The configuration lists customers, possibly none. Without any, no caller has a valid key.
    #[default]
    Required,
    /// The configuration does not say who the customers are.
    Open,
}

/// The result of decoding the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum DecodedConfig {
    /// There is no configuration, or it is malformed.
    #[default]
    Absent,
    /// The configuration has the revision that is already known.
    Unchanged,
    New {
        config: Box<ConfigSnapshot>,
        key_policy: KeyPolicy,
        /// The revision in the store.
        revision: u64,
    },
}

/// The decoded desired state of operators and trainers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DecodedIntent {
    pub config: DecodedConfig,
    /// The availability zones that are out of service.
    pub closed_zones: Vec<ObjectName>,
    /// The versions of weights that upstreams are expected to run.
    pub target_versions: Vec<TargetVersion>,
    /// The hosts that are to be drained and decommissioned.
    pub draining_hosts: Vec<ObjectName>,
    /// Descriptions of the records that could not be decoded.
    pub faults: Vec<String>,
}

/// Decodes the keys that operators, trainers and upstreams write.
pub trait IntentDecoder {
    /// Returns the prefix of the keys of operators and trainers.
    fn intent_prefix(&self) -> &'static str;

    /// Returns the prefix of the upstreams' registrations.
    fn upstream_prefix(&self) -> &'static str;

    /// Decodes the keys of operators and trainers.
    ///
    /// `known` is the store's revision of the current configuration.
    fn decode_intent(&self, items: &[StoreItem], known: Option<u64>) -> DecodedIntent;

    /// Decodes the upstreams' registrations; the second list describes those that are malformed.
    fn decode_upstreams(&self, items: &[StoreItem]) -> (Vec<DiscoveredUpstream>, Vec<String>);

    /// Encodes the notice that a host is drained and may be decommissioned.
    fn encode_drained(&self, host: &ObjectName) -> StoreWrite;
}
