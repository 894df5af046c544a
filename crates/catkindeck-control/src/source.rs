//! Interfaces between the propagation of the configuration and the code that uses it.

use {
    catkindeck::{
        config::{ConfigRevision, ConfigSnapshot},
        message::{PeerFrame, PeerRequest},
    },
    std::sync::Arc,
};

/// The name under which a [`ConfigSource`] is registered in the kernel.
pub const CONFIG_SOURCE: &str = "config-source";

/// The maximum age of the evidence that the configuration in use is the newest one, in
/// milliseconds. Without more recent evidence, requests that authenticate with a key are refused
/// (`docs/design.md`, decision 9).
pub const FRESHNESS_BOUND_MS: u64 = 10_000;

pub trait ConfigSource: Send + Sync {
    /// Returns the configuration in use. Until one is received, it is empty and has revision zero.
    fn current(&self) -> Arc<ConfigSnapshot>;

    /// Returns whether there is recent evidence that the configuration is the newest one.
    ///
    /// Otherwise requests that need a key are refused with `stale_configuration`. The process is
    /// not ready until the configuration has been fresh once.
    fn is_fresh(&self) -> bool;

    /// Records the revision in a peer's message.
    ///
    /// If it is higher than the revision in use, [`Self::is_fresh`] returns false until that
    /// revision is fetched.
    fn observe_revision(&self, revision: ConfigRevision);
}

/// The name under which a [`ConfigPeer`] is registered in the kernel.
pub const CONFIG_PEER: &str = "spread-peer";

/// Handles requests of other entries for the configuration.
pub trait ConfigPeer: Send + Sync {
    /// Returns the response to `request`, or `None` if it does not concern the configuration.
    ///
    /// Handles `ReadRevision`, `ReadSpread`, `FetchConfiguration`, `FetchShards` and
    /// `PushConfiguration`. The caller must have authorized the peer.
    fn answer(&self, request: &PeerRequest) -> Option<PeerFrame>;
}
