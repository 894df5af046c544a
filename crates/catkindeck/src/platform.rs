//! The platform's interfaces as traits.
//!
//! The HTTP form of each is in `docs/design.md`, section 5; the clients are in `catkindeck-store`.

use {
    crate::{
        ServiceError,
        id::{ObjectName, WriterId},
        message,
        token::WeightVersion,
    },
    std::{net::SocketAddr, time::Duration},
};

/// A value in the key-value service.
#[message]
pub struct StoreValue {
    /// The value, at most [`VALUE_LIMIT`] bytes.
    pub value: Vec<u8>,
    /// The version, which grows with each write to the key.
    pub version: u64,
    /// The writer of this version.
    pub writer: WriterId,
    /// The writer's number of this write.
    pub sequence: u64,
}

/// The largest value of the key-value service, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// The outcome of a compare-and-swap.
#[message]
pub enum SwapOutcome {
    /// The value was written and has this version.
    Written(u64),
    /// The key had another version; its current value is given, or `None` if it is absent.
    Conflict(Option<StoreValue>),
}

/// A lease as granted.
#[message]
pub struct LeaseGrant {
    /// The fencing number, which grows with each new holder.
    pub number: u64,
    /// The time to live counted from when the request was sent, in milliseconds.
    pub ttl_ms: u64,
}

/// The outcome of asking for a lease.
#[message]
pub enum LeaseOutcome {
    /// The lease is held.
    Granted(LeaseGrant),
    /// Another process holds the lease, for at most this many milliseconds unless it renews.
    Held {
        /// The remaining time, in milliseconds.
        remaining_ms: u64,
    },
}

/// The platform's key-value service.
///
/// Every method returns `store_unavailable` when the service cannot be reached in time or the rate
/// budget is used up. For writes the error says `unknown` if the request may have taken effect; the
/// caller then reads back and recognises its own write by writer and sequence.
pub trait StoreClient: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn read(&self, key: &str) -> Result<Option<StoreValue>, ServiceError>;

    /// Writes a key if its version is `expected`; zero means that the key is absent.
    ///
    /// The implementation reads back after a lost answer, so `unknown` remains only when the
    /// service stayed unreachable.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<SwapOutcome, ServiceError>;

    /// Lists the keys below a prefix with their values.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreValue)>, ServiceError>;

    /// Waits until a key below `prefix` has changed after store revision `after`.
    ///
    /// Returns the store's revision, which equals `after` when the wait ended without a change.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, ServiceError>;

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn acquire(&self, lease: &str, holder: &str, ttl_ms: u64)
    -> Result<LeaseOutcome, ServiceError>;

    /// Renews a lease that is held under `number`.
    ///
    /// # Errors
    ///
    /// See the trait; `fenced` if the lease is no longer held under this number.
    fn renew(&self, lease: &str, number: u64, ttl_ms: u64) -> Result<LeaseGrant, ServiceError>;

    /// Gives a lease back.
    ///
    /// # Errors
    ///
    /// See the trait; `fenced` if the lease is no longer held under this number.
    fn release(&self, lease: &str, number: u64) -> Result<(), ServiceError>;
}

/// The state of a host in the platform's list.
#[message]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in use.
    Live,
    /// The host leaves soon.
    Leaving,
}

/// A host of the platform's lagging list.
#[message]
pub struct HostRecord {
    /// The unique name.
    pub host: ObjectName,
    /// The availability zone.
    pub zone: ObjectName,
    /// The address of the process of this system on it.
    pub address: SocketAddr,
    /// The role of that process: `entry` or `agent`.
    pub role: String,
    /// The state.
    pub state: HostState,
}

/// The platform's list of hosts.
pub trait HostList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the list cannot be read in time.
    fn hosts(&self) -> Result<Vec<HostRecord>, ServiceError>;
}

/// An order for upstreams in an availability zone.
#[message]
pub struct ZoneOrder {
    /// The identity, by which a repeated order is recognised.
    pub order_id: String,
    /// The service.
    pub service: ObjectName,
    /// The number of upstreams that shall run.
    pub count: u32,
    /// The fencing number of the zone's lease; some interfaces ignore it.
    pub fence: u64,
}

/// The number of upstreams of a service in a zone.
#[message]
pub struct ZoneCount {
    /// The service.
    pub service: ObjectName,
    /// The number ordered last.
    pub ordered: u32,
    /// The number running.
    pub running: u32,
}

/// The interface that orders upstreams by availability zone.
pub trait ZoneOrders: Send + Sync {
    /// Gives an order that must reach the interface before `timeout`.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` with `unknown` if the answer was lost, and `fenced` if the
    /// interface knows a higher fencing number.
    fn order(
        &self,
        zone: &ObjectName,
        order: &ZoneOrder,
        timeout: Duration,
    ) -> Result<(), ServiceError>;

    /// Reads the counts of a zone.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the interface cannot be reached in time.
    fn counts(&self, zone: &ObjectName) -> Result<Vec<ZoneCount>, ServiceError>;
}

/// The interface that takes usage reports.
pub trait UsageSink: Send + Sync {
    /// Reports the sealed bytes of a zone's window; the same bytes may be reported again.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the answer was lost, and `conflict` if other bytes were
    /// reported for this window before.
    fn report(&self, zone: &ObjectName, window: u64, sealed: &[u8]) -> Result<(), ServiceError>;
}

/// The platform's rate-limited store of model weights.
pub trait WeightStore: Send + Sync {
    /// Fetches the weights of a version.
    ///
    /// # Errors
    ///
    /// Returns `overloaded` when the rate limit is reached and `not_found` for an absent version.
    fn fetch(&self, model: &ObjectName, version: WeightVersion) -> Result<Vec<u8>, ServiceError>;
}
