//! Looking up, forbidding and handing over idempotency keys.

use {
    crate::{
        execution::ExecutionTable,
        record::{forbidden_record, key_hash},
    },
    catkindeck::{
        Moment, ServiceError,
        id::ObjectName,
        message::{ExecutionRecord, ExecutionState},
    },
};

impl ExecutionTable {
    /// Looks up a key's record; `None` proves that the key has not run here.
    ///
    /// # Errors
    ///
    /// Returns `outcome_unknown` if the record may have been lost in a restart.
    pub fn find(
        &mut self,
        now: Moment,
        customer: Option<&ObjectName>,
        route: &ObjectName,
        idempotency_key: &str,
    ) -> Result<Option<ExecutionRecord>, ServiceError> {
        self.expire(now);
        let key = key_hash(customer, route, idempotency_key);
        let slot = self.slots.find_by_key(&key);
        let record = slot.and_then(|slot| self.slots.get(slot));
        let record = record.map(|entry| entry.record.clone());
        // That a key is forbidden says nothing about a record lost before.
        if record
            .as_ref()
            .is_none_or(|record| record.state == ExecutionState::Forbidden)
        {
            self.check_records_complete(now, false)?;
        }
        Ok(record)
    }

    /// Records that a key never starts here, unless it has started, and returns its record.
    ///
    /// A queued request of the key is forbidden too; the caller withdraws it from the queue when
    /// the returned record names a request and is `Forbidden`.
    ///
    /// # Errors
    ///
    /// Returns `outcome_unknown` if the record may have been lost in a restart (the key is
    /// forbidden all the same), and `overloaded` with `unknown` if there is no space.
    pub fn forbid(
        &mut self,
        now: Moment,
        customer: Option<&ObjectName>,
        route: &ObjectName,
        idempotency_key: &str,
    ) -> Result<ExecutionRecord, ServiceError> {
        self.expire(now);
        let key = key_hash(customer, route, idempotency_key);
        if let Some(slot) = self.slots.find_by_key(&key)
            && let Some(entry) = self.slots.get_mut(slot)
        {
            let queued = entry.record.state == ExecutionState::Queued;
            if queued {
                entry.record.state = ExecutionState::Forbidden;
            }
            let record = entry.record.clone();
            if queued {
                self.slots.start_retention(now, slot);
            }
            if record.state == ExecutionState::Forbidden {
                self.check_records_complete(now, false)?;
            }
            return Ok(record);
        }
        self.check_space()?;
        let mut record = forbidden_record(customer, route);
        record.idempotency_key = Some(idempotency_key.to_owned());
        let slot = self.slots.insert(record.clone(), Some(key), false);
        self.slots.start_retention(now, slot);
        self.check_records_complete(now, false)?;
        Ok(record)
    }

    /// Takes over the records of a draining agent.
    ///
    /// A record that had not ended is kept as failed, because its outcome can no longer be learnt.
    ///
    /// # Errors
    ///
    /// Returns `overloaded` if not all records fit; those before the limit are kept.
    pub fn adopt(
        &mut self,
        now: Moment,
        records: Vec<ExecutionRecord>,
    ) -> Result<(), ServiceError> {
        self.expire(now);
        for mut record in records {
            let Some(text) = record.idempotency_key.as_deref() else {
                continue;
            };
            if matches!(
                record.state,
                ExecutionState::Queued | ExecutionState::Running
            ) {
                record.state = ExecutionState::Failed;
            }
            let key = key_hash(record.customer.as_ref(), &record.route, text);
            if let Some(slot) = self.slots.find_by_key(&key) {
                if self.slots.state(slot) != Some(ExecutionState::Forbidden) {
                    continue;
                }
                self.slots.remove(slot);
            }
            self.check_space()?;
            let slot = self.slots.insert(record, Some(key), false);
            self.slots.start_retention(now, slot);
        }
        Ok(())
    }

    /// Returns the keyed records for the next home and refuses keyed requests from now on.
    ///
    /// Called when nothing is in flight any more.
    pub fn hand_over(&mut self, now: Moment) -> Vec<ExecutionRecord> {
        self.expire(now);
        self.handed_over = true;
        let records = self.slots.records();
        // A key forbidden here may be run by its next home.
        let keyed = records.filter(|record| {
            record.idempotency_key.is_some() && record.state != ExecutionState::Forbidden
        });
        keyed.cloned().collect()
    }
}
