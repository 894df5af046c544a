//! What operators, trainers and upstreams write to the platform's store.

use {
    super::store::{StoreItem, StoreWrite},
    catkindeck::{config::ConfigSnapshot, id::ObjectName},
    catkindeck_policy::direct::{DiscoveredUpstream, TargetVersion},
};

/// The operators' configuration, decoded.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum DecodedConfig {
    /// There is none, or it cannot be read.
    #[default]
    Absent,
    /// It is the one that is known already.
    Unchanged,
    /// It is new and has this revision in the store.
    New(Box<ConfigSnapshot>, u64),
}

/// Everything that operators and trainers ask for, decoded.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DecodedIntent {
    /// The configuration.
    pub config: DecodedConfig,
    /// The availability zones that are out.
    pub closed_zones: Vec<ObjectName>,
    /// The versions of weights that the upstreams shall run.
    pub named_versions: Vec<TargetVersion>,
    /// The hosts that are to be emptied.
    pub retiring_hosts: Vec<ObjectName>,
    /// What could not be decoded, a sentence each.
    pub faults: Vec<String>,
}

/// Decodes the keys that the platform's side writes.
pub trait IntentDecoder {
    /// Returns the prefix of the operators' and trainers' keys.
    fn intent_prefix(&self) -> &'static str;

    /// Returns the prefix of the upstreams' entries.
    fn upstream_prefix(&self) -> &'static str;

    /// Decodes the operators' and trainers' keys.
    ///
    /// `known` is the store's revision of the configuration that is in use already.
    fn decode_intent(&self, items: &[StoreItem], known: Option<u64>) -> DecodedIntent;

    /// Decodes the upstreams' entries; what cannot be decoded is given as sentences.
    fn decode_upstreams(&self, items: &[StoreItem]) -> (Vec<DiscoveredUpstream>, Vec<String>);

    /// Encodes the statement that a host is emptied.
    fn encode_retired(&self, host: &ObjectName) -> StoreWrite;
}
