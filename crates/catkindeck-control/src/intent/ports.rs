//! Interfaces that planning and application need: the versioned configuration and the load.

use {
    super::{capacity::LoadView, plan::PlanId},
    catkindeck::{
        ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        message,
    },
};

/// The outcome of a commit to the configuration.
#[message]
pub enum CommitOutcome {
    /// The head moved to the new revision.
    Committed(ConfigRevision),
    /// The head had already moved on from the base, so nothing was written.
    Moved,
    /// The store did not respond, so the head may have moved.
    Unknown,
}

/// How far a revision has propagated.
#[message]
#[derive(Copy, Default)]
pub struct PropagationState {
    /// The number of live nodes that confirmed the revision.
    pub confirmed: u32,
    /// The number of nodes whose configuration expired, which refuse authenticated requests.
    pub lapsed: u32,
    /// The number of live nodes that have not confirmed yet.
    pub waiting: u32,
}

impl PropagationState {
    /// Returns whether the revision is in force everywhere (`docs/design.md`, decision 9).
    pub fn is_complete(&self) -> bool {
        self.waiting == 0
    }
}

/// The versioned configuration in the store.
pub trait ConfigStore: Send + Sync {
    /// Reads the configuration at the head, always from the store and not from a cache.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be reached in time.
    fn head(&self) -> Result<ConfigSnapshot, ServiceError>;

    /// Reads the configuration of a revision, or `None` if it was never written or is gone.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be reached in time.
    fn read_revision(
        &self,
        revision: ConfigRevision,
    ) -> Result<Option<ConfigSnapshot>, ServiceError>;

    /// Writes `next` and moves the head to it if the head is still at the plan's base.
    ///
    /// Repeated commits with the same id take effect at most once.
    ///
    /// # Errors
    ///
    /// Returns an error only if nothing was written. A lost response gives
    /// [`CommitOutcome::Unknown`].
    fn commit(&self, id: &PlanId, next: &ConfigSnapshot) -> Result<CommitOutcome, ServiceError>;

    /// Waits a bounded time for a committed revision to be in force everywhere, and returns how far
    /// it has propagated.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the state cannot be determined.
    fn await_propagation(&self, revision: ConfigRevision)
    -> Result<PropagationState, ServiceError>;
}

/// A source of the observed load.
pub trait LoadSource: Send + Sync {
    /// Returns the most recently reported load.
    fn load(&self) -> LoadView;
}
