//! Interfaces to the versioned configuration and the observed load, on which plans are based.

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
    /// The new revision is the head.
    Committed(ConfigRevision),
    /// The head is no longer at the plan's base, so nothing was committed.
    Moved,
    /// The store did not respond, so the revision may or may not be committed.
    Unknown,
}

/// How far a revision has propagated.
#[message]
#[derive(Copy, Default)]
pub struct PropagationState {
    /// The number of live nodes that confirmed the revision.
    pub confirmed: u32,
    /// The number of unconfirmed nodes whose configuration has expired, so that they refuse
    /// authenticated requests.
    pub lapsed: u32,
    /// The number of live nodes that have not confirmed yet.
    pub waiting: u32,
}

impl PropagationState {
    /// Returns whether no node serves authenticated requests with an older revision
    /// (`docs/design.md`, decision 9).
    pub fn is_complete(&self) -> bool {
        self.waiting == 0
    }
}

/// The versioned configuration in the store.
pub trait ConfigStore: Send + Sync {
    /// Reads the current configuration from the store, without using a cache.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be reached in time.
    fn head(&self) -> Result<ConfigSnapshot, ServiceError>;

    /// Reads the configuration of a revision. Returns `None` if the revision was never written or
    /// is no longer stored.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable` if the store cannot be reached in time.
    fn read_revision(
        &self,
        revision: ConfigRevision,
    ) -> Result<Option<ConfigSnapshot>, ServiceError>;

    /// Writes `next` and makes it the head if the head is still at the plan's base.
    ///
    /// Repeated commits with the same ID take effect at most once.
    ///
    /// # Errors
    ///
    /// Returns an error only if nothing was committed. If the response was lost, the outcome is
    /// [`CommitOutcome::Unknown`].
    fn commit(&self, id: &PlanId, next: &ConfigSnapshot) -> Result<CommitOutcome, ServiceError>;

    /// Waits until a committed revision is in force everywhere, but only for a limited time, and
    /// returns how far it has propagated.
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
