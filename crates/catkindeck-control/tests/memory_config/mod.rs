//! An in-memory configuration store that can lose responses and simulate concurrent operators.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use {
    catkindeck::{
        ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
    },
    catkindeck_control::intent::{CommitOutcome, ConfigStore, PlanId, PropagationState},
    std::sync::Mutex,
};

/// The fault that affects commits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreFault {
    None,
    LostBeforeWrite,
    LostAfterWrite,
}

/// The revisions in ascending order, starting with zero, each with the plan that created it.
pub struct MemoryConfigStore {
    pub revisions: Mutex<Vec<(ConfigSnapshot, Option<PlanId>)>>,
    pub fault: Mutex<StoreFault>,
    pub waiting: Mutex<bool>,
    /// The number of next commits before which another operator changes the configuration.
    pub overtaken: Mutex<u32>,
}

impl MemoryConfigStore {
    pub fn new(revisions: Vec<ConfigSnapshot>) -> Self {
        let revisions = revisions.into_iter().map(|snapshot| (snapshot, None));
        Self {
            revisions: Mutex::new(revisions.collect()),
            fault: Mutex::new(StoreFault::None),
            waiting: Mutex::new(false),
            overtaken: Mutex::new(0),
        }
    }
}

impl ConfigStore for MemoryConfigStore {
    fn head(&self) -> Result<ConfigSnapshot, ServiceError> {
        Ok(self.revisions.lock().unwrap().last().unwrap().0.clone())
    }

    fn read_revision(
        &self,
        revision: ConfigRevision,
    ) -> Result<Option<ConfigSnapshot>, ServiceError> {
        let index = usize::try_from(revision.0).unwrap();
        let revisions = self.revisions.lock().unwrap();
        Ok(revisions.get(index).map(|(snapshot, _)| snapshot.clone()))
    }

    fn commit(&self, id: &PlanId, next: &ConfigSnapshot) -> Result<CommitOutcome, ServiceError> {
        let mut revisions = self.revisions.lock().unwrap();
        if revisions.last().unwrap().0.revision != id.base {
            return Ok(CommitOutcome::Moved);
        }
        let mut overtaken = self.overtaken.lock().unwrap();
        if *overtaken > 0 {
            *overtaken -= 1;
            let mut other = revisions.last().unwrap().0.clone();
            other.revision.0 += 1;
            other
                .customers
                .iter_mut()
                .for_each(|customer| customer.weight += 1);
            revisions.push((other, None));
            return Ok(CommitOutcome::Moved);
        }
        let fault = *self.fault.lock().unwrap();
        if fault != StoreFault::LostBeforeWrite {
            revisions.push((next.clone(), Some(id.clone())));
        }
        Ok(match fault {
            StoreFault::None => CommitOutcome::Committed(next.revision),
            StoreFault::LostBeforeWrite | StoreFault::LostAfterWrite => CommitOutcome::Unknown,
        })
    }

    fn await_propagation(
        &self,
        _revision: ConfigRevision,
    ) -> Result<PropagationState, ServiceError> {
        Ok(PropagationState {
            waiting: u32::from(*self.waiting.lock().unwrap()),
            ..PropagationState::default()
        })
    }
}
