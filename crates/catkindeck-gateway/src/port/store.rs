//! The platform's key-value store.

use {
    catkindeck::{ServiceError, key, message},
    catkindeck_net::LocalFuture,
    std::time::Duration,
};

/// A key with its value.
#[message]
pub struct StoreItem {
    pub key: String,
    pub value: Vec<u8>,
    /// The store's revision at the last change of the key.
    pub revision: u64,
}

/// The response to a read of a single key.
#[message]
pub struct ReadResponse {
    /// The item, or `None` if the key does not exist.
    pub item: Option<StoreItem>,
}

/// The response to a read of all keys with a prefix.
#[message]
pub struct StoreListing {
    /// The items in key order.
    pub items: Vec<StoreItem>,
    /// The store's revision when the first page was read; a watch continues after it.
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Keys were changed, or the wait time is over and there was no change.
    Changes {
        /// The changed keys, with `None` for those that were removed.
        items: Vec<(String, Option<StoreItem>)>,
        /// The revision after which the next watch continues.
        revision: u64,
    },
    /// The store no longer has the history after the given revision, so the keys have to be listed again.
    Compacted,
}

/// A precondition of a transaction.
#[message]
pub struct StoreCondition {
    pub key: String,
    /// The required revision of the key; zero if the key must not exist.
    pub revision: u64,
}

/// Identifies a lease in the store.
#[key]
pub struct LeaseId(pub u64);

/// A write in a transaction.
#[message]
pub struct StoreWrite {
    pub key: String,
    pub value: Vec<u8>,
    /// The lease to which the key is bound; the store removes the key when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Changes that the store applies atomically if all conditions hold.
#[message]
#[derive(Default)]
pub struct Transaction {
    pub conditions: Vec<StoreCondition>,
    pub writes: Vec<StoreWrite>,
    pub removals: Vec<String>,
}

#[message]
pub enum CommitOutcome {
    /// The changes were applied with this revision.
    Committed(u64),
    /// A condition does not hold; the current items of the conditions' keys are given.
    Conflict(Vec<StoreItem>),
    /// A lease that a write refers to has ended.
    LeaseGone,
}

/// The platform's key-value store.
///
/// All methods return `store_unavailable` on failure. For changes, the execution outcome is `not_run` if
/// the store rejected the call, and `unknown` if the change may have taken effect or may still do so.
pub trait MetadataStore {
    /// Reads a key. The read is linearizable: it sees every change acknowledged before the call.
    fn read<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<ReadResponse, ServiceError>>;

    /// Reads all keys with a prefix. The read is linearizable, as in [`Self::read`].
    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<StoreListing, ServiceError>>;

    /// As [`Self::list`], with a limit for each page of the listing: a list of thousands of keys takes longer than
    /// a single key, and while pages arrive the store answers.
    fn list_pages<'a>(
        &'a self,
        prefix: &'a str,
        page_limit: Duration,
    ) -> LocalFuture<'a, Result<StoreListing, ServiceError>>;

    /// Waits for up to `wait` for changes of keys with a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<WatchOutcome, ServiceError>>;

    /// Applies a transaction.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalFuture<'a, Result<CommitOutcome, ServiceError>>;

    /// Requests a lease and returns it with the time to live that the store granted, in milliseconds.
    fn grant_lease(&self, ttl_ms: u64) -> LocalFuture<'_, Result<(LeaseId, u64), ServiceError>>;

    /// Renews a lease and returns its time to live in milliseconds, or `None` if the lease has ended.
    fn renew_lease(&self, lease: LeaseId) -> LocalFuture<'_, Result<Option<u64>, ServiceError>>;

    /// Revokes a lease, which removes the keys bound to it.
    fn revoke_lease(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), ServiceError>>;

    /// Returns the number of calls made so far.
    fn calls(&self) -> u64;
}
