//! Look-up, prohibition and hand-over of idempotency keys.

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
    /// Finds the record of a key; `None` proves that the key has not run here.
    ///
    /// # Errors
    ///
    /// Returns `outcome_unknown` if a restart may have lost the record.
    pub fn find(
        &mut self,
        now: Moment,
        customer: Option<&ObjectName>,
        route: &ObjectName,
        idempotency_key: &str,
    ) -> Result<Option<ExecutionRecord>, ServiceError> {
        self.expire(now);
        let key = key_hash(customer, route, idempotency_key);
        let id = self.records.find_by_key(&key);
        let record = id.and_then(|id| self.records.get(id));
        let record = record.map(|entry| entry.record.clone());
        // A forbidden key does not prove that no record was lost earlier.
        if record
            .as_ref()
            .is_none_or(|record| record.state == ExecutionState::Forbidden)
        {
            self.check_records_complete(now, false)?;
        }
        Ok(record)
    }

    /// Records that a key must never start here, unless it has started, and returns its record.
    ///
    /// A queued request of the key is forbidden too. If the returned record names a request and is
    /// `Forbidden`, the caller must withdraw that request from the queue.
    ///
    /// # Errors
    ///
    /// Returns `outcome_unknown` if a restart may have lost the record (the key is forbidden
    /// nevertheless), and `overloaded` with `unknown` if there is no space.
    pub fn forbid(
        &mut self,
        now: Moment,
        customer: Option<&ObjectName>,
        route: &ObjectName,
        idempotency_key: &str,
    ) -> Result<ExecutionRecord, ServiceError> {
        self.expire(now);
        let key = key_hash(customer, route, idempotency_key);
        if let Some(id) = self.records.find_by_key(&key)
            && let Some(entry) = self.records.get_mut(id)
        {
            let queued = entry.record.state == ExecutionState::Queued;
            if queued {
                entry.record.state = ExecutionState::Forbidden;
            }
            let record = entry.record.clone();
            if queued {
                self.records.start_retention(now, id);
            }
            if record.state == ExecutionState::Forbidden {
                self.check_records_complete(now, false)?;
            }
            return Ok(record);
        }
        self.check_space()?;
        let mut record = forbidden_record(customer, route);
        record.idempotency_key = Some(idempotency_key.to_owned());
        let id = self.records.insert(record.clone(), Some(key), false);
        self.records.start_retention(now, id);
        self.check_records_complete(now, false)?;
        Ok(record)
    }

    /// Takes over the records of a draining agent.
    ///
    /// A record of an unfinished request is kept as failed, because its outcome will never be
    /// known.
    ///
    /// # Errors
    ///
    /// Returns `overloaded` if not all records fit; the records before the limit are kept.
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
            if let Some(id) = self.records.find_by_key(&key) {
                if self.records.state(id) != Some(ExecutionState::Forbidden) {
                    continue;
                }
                self.records.remove(id);
            }
            self.check_space()?;
            let id = self.records.insert(record, Some(key), false);
            self.records.start_retention(now, id);
        }
        Ok(())
    }

    /// Returns the keyed records for the next home agent and rejects keyed requests from now on.
    ///
    /// Must be called only when no request is in flight.
    pub fn hand_over(&mut self, now: Moment) -> Vec<ExecutionRecord> {
        self.expire(now);
        self.handed_over = true;
        let records = self.records.iter();
        // A key that is forbidden here may run at its next home agent.
        let keyed = records.filter(|record| {
            record.idempotency_key.is_some() && record.state != ExecutionState::Forbidden
        });
        keyed.cloned().collect()
    }
}
