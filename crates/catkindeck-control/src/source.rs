//! Interfaces between configuration propagation and the code that uses the configuration.

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
/// milliseconds. Requests that authenticate with a key are refused beyond it
/// (`docs/design.md`, decision 9).
pub const FRESHNESS_BOUND_MS: u64 = 10_000;

pub trait ConfigSource: Send + Sync {
    /// Returns the configuration in use. Until the first one is received, it has revision zero and
    /// no content.
    fn current(&self) -> Arc<ConfigSnapshot>;

    /// Returns whether the configuration is recent enough to authenticate callers.
    ///
    /// While it is not, requests that need a key are refused with `stale_configuration`. The
    /// process is not ready until this has been true once.
    fn is_fresh(&self) -> bool;

    /// Records the revision that a peer's message carried.
    ///
    /// If it is higher than the revision in use, [`Self::is_fresh`] is false until the new
    /// configuration is fetched.
    fn observe_revision(&self, revision: ConfigRevision);
}

/// The name under which a [`ConfigPeer`] is registered in the kernel.
pub const CONFIG_PEER: &str = "spread-peer";

/// Answers configuration requests of other entries.
pub trait ConfigPeer: Send + Sync {
    /// Answers `request`, or returns `None` if it is not a configuration request.
    ///
    /// Handles `ReadRevision`, `ReadSpread`, `FetchConfiguration`, `FetchShards` and
    /// `PushConfiguration`. The caller has already authorized the peer.
    fn answer(&self, request: &PeerRequest) -> Option<PeerFrame>;
}
