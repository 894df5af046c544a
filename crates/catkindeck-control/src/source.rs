//! The border between the configuration spread and the parts of a process that use it.

use {
    catkindeck::{
        ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        id::RequestId,
        message,
    },
    std::sync::Arc,
};

/// The name under which a [`ConfigSource`] is registered in the kernel.
pub const CONFIG_SOURCE: &str = "config-source";

/// The name under which a [`ConfigCommitter`] is registered in the kernel.
pub const CONFIG_COMMITTER: &str = "config-committer";

/// The age of the last sign of the newest configuration beyond which keyed traffic is refused, in
/// milliseconds (`docs/design.md`, decision 9).
pub const FRESHNESS_BOUND: u64 = 10_000;

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
    fn note_revision(&self, revision: ConfigRevision);
}

/// What became of a change of the configuration.
#[message]
pub enum CommitOutcome {
    /// The change is in force on every live node as this revision.
    Accepted(ConfigRevision),
    /// Another change came first; nothing was changed by this one.
    Refused {
        /// The revision that is in force instead.
        newer: ConfigRevision,
    },
    /// The outcome must be asked for later.
    Unknown {
        /// The identity by which [`ConfigCommitter::outcome`] finds the change.
        id: OutcomeId,
        /// The revision if the change is committed and only its spread is unconfirmed.
        committed: Option<ConfigRevision>,
    },
}

/// The identity of a change whose outcome can be asked for.
#[message]
#[derive(Copy)]
pub struct OutcomeId {
    /// The revision on which the change is based.
    pub base: ConfigRevision,
    /// The random part.
    pub change: RequestId,
}

/// Commits changes of the configuration.
pub trait ConfigCommitter: Send + Sync {
    /// Commits `snapshot` over revision `base` and waits until it is in force.
    ///
    /// The revision inside `snapshot` is replaced by the next one. The lists are sorted here. A
    /// caller that repeats a commit after a crash passes the same `change`, which is then committed
    /// at most once.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` with `not_run` if nothing was changed and the head could not be
    /// read, and `too_large` if the content does not fit into the store.
    fn commit(
        &self,
        change: RequestId,
        base: ConfigRevision,
        snapshot: ConfigSnapshot,
    ) -> Result<CommitOutcome, ServiceError>;

    /// Asks for the outcome of an earlier change.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the head cannot be read.
    fn outcome(&self, id: OutcomeId) -> Result<CommitOutcome, ServiceError>;
}
