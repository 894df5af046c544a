//! The platform's interfaces as traits.
//!
//! Their HTTP representation is described in `docs/design.md`, section 5; `catkindeck-store`
//! implements the clients.

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
    /// The version, which increases with each write to the key.
    pub version: u64,
    pub writer: WriterId,
    /// The writer's sequence number for this write.
    pub sequence: u64,
}

/// The maximum size of a value in the key-value service, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// The outcome of a compare-and-swap.
#[message]
pub enum SwapOutcome {
    /// The value was written and now has this version.
    Written(u64),
    /// The key had another version. Holds its current value, or `None` if the key is absent.
    Conflict(Option<StoreValue>),
}

/// A granted lease.
#[message]
pub struct LeaseGrant {
    /// The fencing token, which increases with each new holder.
    pub number: u64,
    /// The time to live, counted from when the request was sent, in milliseconds.
    pub ttl_ms: u64,
}

/// The outcome of an attempt to acquire a lease.
#[message]
pub enum LeaseOutcome {
    Granted(LeaseGrant),
    /// Another process holds the lease.
    Held {
        /// The time after which the lease expires unless it is renewed, in milliseconds.
        remaining_ms: u64,
    },
}

/// The platform's key-value service.
///
/// Every method returns `store_unavailable` if the service cannot be reached in time or the
/// client's rate limit is reached. For a write the error carries `unknown` if the request may have
/// taken effect; the caller then reads the key and recognises its own write by writer and sequence.
pub trait StoreClient: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn read(&self, key: &str) -> Result<Option<StoreValue>, ServiceError>;

    /// Writes a key if its version is `expected`, where zero means that the key is absent.
    ///
    /// The implementation reads the key after a lost response, so `unknown` is returned only if the
    /// service remained unreachable.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<SwapOutcome, ServiceError>;

    /// Lists the keys with a prefix, and their values.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreValue)>, ServiceError>;

    /// Waits until a key with the prefix has changed after the store revision `after`.
    ///
    /// Returns the store's revision, which equals `after` if the wait ended without a change.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, ServiceError>;

    /// Tries to acquire a lease.
    ///
    /// # Errors
    ///
    /// See the trait.
    fn acquire(&self, lease: &str, holder: &str, ttl_ms: u64)
    -> Result<LeaseOutcome, ServiceError>;

    /// Renews a lease that is held with the fencing token `number`.
    ///
    /// # Errors
    ///
    /// See the trait; returns `fenced` if the lease is no longer held with this fencing token.
    fn renew(&self, lease: &str, number: u64, ttl_ms: u64) -> Result<LeaseGrant, ServiceError>;

    /// Releases a lease.
    ///
    /// # Errors
    ///
    /// See the trait; returns `fenced` if the lease is no longer held with this fencing token.
    fn release(&self, lease: &str, number: u64) -> Result<(), ServiceError>;
}

/// The state of a host in the platform's host list.
#[message]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in use.
    Live,
    /// The host is draining and will be removed soon.
    Leaving,
}

/// A host in the platform's host list, which lags behind the actual state.
#[message]
pub struct HostRecord {
    pub host: ObjectName,
    pub zone: ObjectName,
    /// The address of this system's process on the host.
    pub address: SocketAddr,
    /// The role of that process: `entry` or `agent`.
    pub role: String,
    pub state: HostState,
}

/// The platform's host list.
pub trait HostList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the list cannot be read in time.
    fn hosts(&self) -> Result<Vec<HostRecord>, ServiceError>;
}

/// An order for upstreams of a service in an availability zone.
#[message]
pub struct ZoneOrder {
    /// The order's ID, by which repetitions are recognised.
    pub order_id: String,
    pub service: ObjectName,
    /// The desired number of running upstreams.
    pub count: u32,
    /// The fencing token of the zone's lease, which some interfaces ignore.
    pub fence: u64,
}

/// The number of upstreams of a service in an availability zone.
#[message]
pub struct ZoneCount {
    pub service: ObjectName,
    /// The number in the latest order.
    pub ordered: u32,
    /// The number of running upstreams.
    pub running: u32,
}

/// The platform's interface for ordering upstreams by availability zone.
pub trait ZoneOrders: Send + Sync {
    /// Submits an order, which must reach the interface within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` with `unknown` if the response was lost, and `fenced` if the
    /// interface has seen a higher fencing token.
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

/// The platform's interface for usage reports.
pub trait UsageSink: Send + Sync {
    /// Reports the sealed bytes of a zone's window; the same bytes may be reported repeatedly.
    ///
    /// # Errors
    ///
    /// Returns `peer_unavailable` if the response was lost, and `conflict` if other bytes were
    /// reported for this window before.
    fn report(&self, zone: &ObjectName, window: u64, sealed: &[u8]) -> Result<(), ServiceError>;
}

/// The platform's rate-limited store of model weights.
pub trait WeightStore: Send + Sync {
    /// Fetches the weights of a version.
    ///
    /// # Errors
    ///
    /// Returns `overloaded` if the rate limit is reached and `not_found` for a missing version.
    fn fetch(&self, model: &ObjectName, version: WeightVersion) -> Result<Vec<u8>, ServiceError>;
}
