//! The platform's key-value service.

use {
    catkindeck::{ServiceError, key, message},
    catkindeck_net::LocalFuture,
    std::time::Duration,
};

/// A value of the store.
#[message]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision at the last change of this key.
    pub revision: u64,
}

/// The answer to a read of one key.
#[message]
pub struct StoreReading {
    /// The value, or `None` if the key does not exist.
    pub item: Option<StoreItem>,
}

/// The answer to a read of all keys with a prefix.
#[message]
pub struct StoreListing {
    /// The values in order of keys.
    pub items: Vec<StoreItem>,
    /// The store's revision of the first page, after which a watch goes on.
    pub revision: u64,
}

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Keys were written or removed, or the wait is over.
    Changes {
        /// The keys that were written, with their values, and those removed, without.
        items: Vec<(String, Option<StoreItem>)>,
        /// The revision after which the next watch goes on.
        revision: u64,
    },
    /// The history after the given revision was dropped, so the keys must be listed again.
    Compacted,
}

/// A condition of a transaction.
#[message]
pub struct StoreCondition {
    /// The key.
    pub key: String,
    /// The revision that it must have; zero if it must not exist.
    pub revision: u64,
}

/// The identity of a lease in the store.
#[key]
pub struct LeaseId(pub u64);

/// A write of a transaction.
#[message]
pub struct StoreWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease with which the key ends, if it does.
    pub lease: Option<LeaseId>,
}

/// Changes that take effect together or not at all.
#[message]
#[derive(Default)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<StoreCondition>,
    /// The keys to write.
    pub writes: Vec<StoreWrite>,
    /// The keys to remove.
    pub removals: Vec<String>,
}

/// The outcome of a transaction.
#[message]
pub enum CommitOutcome {
    /// The changes took effect and have this revision.
    Committed(u64),
    /// A condition does not hold; the values of its keys are given.
    Conflict(Vec<StoreItem>),
    /// A lease that a write names has ended.
    LeaseGone,
}

/// The platform's key-value service.
///
/// Every method fails with `store_unavailable`. For changes the error says `not_run` if the store
/// refused the call, and `unknown` if the change may have taken effect or may still do so.
pub trait MetadataStore {
    /// Reads a key; everything acknowledged before the call is seen.
    fn read<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<StoreReading, ServiceError>>;

    /// Reads all keys with a prefix; everything acknowledged before the call is seen.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreListing, ServiceError>>;

    /// Waits for a change of keys with a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<WatchOutcome, ServiceError>>;

    /// Makes changes.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalFuture<'a, Result<CommitOutcome, ServiceError>>;

    /// Asks for a lease and returns it with the time to live that applies, in milliseconds.
    fn grant_lease(&self, ttl_ms: u64) -> LocalFuture<'_, Result<(LeaseId, u64), ServiceError>>;

    /// Renews a lease and returns its time to live, in milliseconds, or `None` if it has ended.
    fn renew_lease(&self, lease: LeaseId) -> LocalFuture<'_, Result<Option<u64>, ServiceError>>;

    /// Ends a lease, which removes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), ServiceError>>;

    /// Returns the number of calls made so far.
    fn calls(&self) -> u64;
}
