//! An in-memory store with injectable faults.

// Each test file uses only a part of this module.
#![allow(dead_code)]

pub mod agents;

use {
    catkindeck::{
        ErrorKind, ServiceError,
        id::WriterId,
        platform::{LeaseGrant, LeaseOutcome, StoreClient, StoreValue, SwapOutcome},
    },
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
};

/// The fault that affects all calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    #[default]
    None,
    /// Calls fail without taking effect.
    Outage,
    /// Writes take effect, but their responses are lost.
    ResponseLost,
}

#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<MemoryState>,
}

#[derive(Default)]
struct MemoryState {
    values: BTreeMap<String, StoreValue>,
    fault: StoreFault,
    writes: u64,
    leases: BTreeMap<String, (String, u64)>,
}

impl MemoryStore {
    /// Sets the fault for all later calls.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Returns the value of a key, regardless of the fault.
    #[allow(dead_code, reason = "not every test file looks into the store")]
    pub fn peek(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        state.values.get(key).map(|stored| stored.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap()
    }
}

impl StoreClient for MemoryStore {
    fn read(&self, key: &str) -> Result<Option<StoreValue>, ServiceError> {
        let state = self.lock();
        match state.fault {
            StoreFault::Outage => Err(unavailable_error()),
            _ => Ok(state.values.get(key).cloned()),
        }
    }

    fn swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<SwapOutcome, ServiceError> {
        let mut state = self.lock();
        if state.fault == StoreFault::Outage {
            return Err(unavailable_error());
        }
        let present = state.values.get(key).cloned();
        if present.as_ref().map_or(0, |stored| stored.version) != expected {
            return Ok(SwapOutcome::Conflict(present));
        }
        state.writes += 1;
        let stored = StoreValue {
            value: value.to_vec(),
            version: expected + 1,
            writer: WriterId::default(),
            sequence: state.writes,
        };
        state.values.insert(key.to_owned(), stored);
        match state.fault {
            StoreFault::ResponseLost => Err(unavailable_error()),
            _ => Ok(SwapOutcome::Written(expected + 1)),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreValue)>, ServiceError> {
        let state = self.lock();
        if state.fault == StoreFault::Outage {
            return Err(unavailable_error());
        }
        let below = state
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        Ok(below
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect())
    }

    fn watch(&self, _prefix: &str, after: u64, _wait: Duration) -> Result<u64, ServiceError> {
        Ok(after)
    }

    /// Grants the lease if it is free. Leases do not expire; a test ends a lease by releasing it.
    fn acquire(
        &self,
        lease: &str,
        holder: &str,
        ttl_ms: u64,
    ) -> Result<LeaseOutcome, ServiceError> {
        let mut state = self.lock();
        if state.fault == StoreFault::Outage {
            return Err(unavailable_error());
        }
        let (present, number) = state.leases.entry(lease.to_owned()).or_default();
        if !present.is_empty() && present != holder {
            return Ok(LeaseOutcome::Held { remaining_ms: 50 });
        }
        *number += 1;
        holder.clone_into(present);
        Ok(LeaseOutcome::Granted(LeaseGrant {
            number: *number,
            ttl_ms,
        }))
    }

    fn renew(&self, lease: &str, number: u64, ttl_ms: u64) -> Result<LeaseGrant, ServiceError> {
        let state = self.lock();
        match state.leases.get(lease) {
            Some((_, present)) if *present == number => Ok(LeaseGrant { number, ttl_ms }),
            _ => Err(ServiceError::not_run(
                ErrorKind::Fenced,
                "the lease is held under another fencing token",
            )),
        }
    }

    fn release(&self, lease: &str, number: u64) -> Result<(), ServiceError> {
        let mut state = self.lock();
        match state.leases.get_mut(lease) {
            Some((holder, present)) if *present == number => {
                holder.clear();
                Ok(())
            }
            _ => Err(ServiceError::not_run(
                ErrorKind::Fenced,
                "the lease is held under another fencing token",
            )),
        }
    }
}

fn unavailable_error() -> ServiceError {
    ServiceError::unknown(ErrorKind::StoreUnavailable, "injected by the test")
}
