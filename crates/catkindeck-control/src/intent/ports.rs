//! What planning and application need from the configuration's store and from the fleet.

use {
    super::{capacity::LoadView, plan::PlanId},
    catkindeck::{
        ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        message,
    },
};

/// The outcome of moving the head of the configuration.
#[message]
pub enum CommitOutcome {
    /// The head moved to the new revision.
    Committed(ConfigRevision),
    /// The head had moved from the base; nothing was written.
    Moved,
    /// The store did not answer; the head may have moved.
    Unknown,
}

/// How far a revision has spread.
#[message]
#[derive(Copy, Default)]
pub struct PropagationState {
    /// Live nodes that confirmed the revision.
    pub confirmed: u32,
    /// Nodes whose freshness lapsed, which therefore serve no keyed traffic.
    pub lapsed: u32,
    /// Live nodes that have not confirmed yet.
    pub waiting: u32,
}

impl PropagationState {
    /// Tells whether the revision is in force everywhere (`docs/design.md`, decision 9).
    pub fn is_complete(&self) -> bool {
        self.waiting == 0
    }
}

/// The configuration in the store.
pub trait ConfigStore: Send + Sync {
    /// Reads the configuration at the head from the store, not from a cache.
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
    fn at(&self, revision: ConfigRevision) -> Result<Option<ConfigSnapshot>, ServiceError>;

    /// Writes `next` and moves the head to it if the head is still at the plan's base.
    ///
    /// A commit that is repeated under the same id takes effect at most once.
    ///
    /// # Errors
    ///
    /// Returns an error only if nothing was written; a lost answer is [`CommitOutcome::Unknown`].
    fn commit(&self, id: &PlanId, next: &ConfigSnapshot) -> Result<CommitOutcome, ServiceError>;

    /// Tells how far a committed revision has spread, waiting a bounded time for completion.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the state cannot be determined.
    fn await_propagation(&self, revision: ConfigRevision)
    -> Result<PropagationState, ServiceError>;
}

/// The source of the observed load.
pub trait LoadSource: Send + Sync {
    /// Returns the load as last reported by the zones.
    fn load(&self) -> LoadView;
}
