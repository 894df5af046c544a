//! The border between the configuration spread and the parts of a process that use it.

use {
    catkindeck::{
        config::{ConfigRevision, ConfigSnapshot},
        message::{PeerFrame, PeerRequest},
    },
    std::sync::Arc,
};

/// The name under which a [`ConfigSource`] is registered in the kernel.
pub const CONFIG_SOURCE: &str = "config-source";

/// The age of the last sign of the newest configuration beyond which keyed traffic is refused, in
/// milliseconds (`docs/design.md`, decision 9).
pub const FRESHNESS_BOUND_MS: u64 = 10_000;

/// The configuration that this process uses.
pub trait ConfigSource: Send + Sync {
    /// Returns the configuration; before the first one is learned it has revision zero and no
    /// content.
    fn current(&self) -> Arc<ConfigSnapshot>;

    /// Tells whether the configuration is recent enough to authenticate callers.
    ///
    /// While this is false, keyed traffic is refused with `stale_configuration` and the process is
    /// unready if it never was true.
    fn is_fresh(&self) -> bool;

    /// Takes note of the revision that came with a peer's message.
    ///
    /// A higher revision than the one in use makes [`Self::is_fresh`] false until it is fetched.
    fn observe_revision(&self, revision: ConfigRevision);
}

/// The name under which a [`ConfigPeer`] is registered in the kernel.
pub const CONFIG_PEER: &str = "spread-peer";

/// Answers other entries' calls about the configuration.
pub trait ConfigPeer: Send + Sync {
    /// Answers `request`, or returns `None` if it does not concern the configuration.
    ///
    /// It serves `ReadRevision`, `ReadSpread`, `FetchConfiguration`, `FetchShards` and
    /// `PushConfiguration`; the caller has checked that the peer may ask.
    fn answer(&self, request: &PeerRequest) -> Option<PeerFrame>;
}
