//! Indexed storage of execution records with retention.

use {
    crate::record::KeyHash,
    catkindeck::{
        Moment,
        id::RequestId,
        message::{ExecutionRecord, ExecutionState},
    },
    std::collections::{BTreeMap, VecDeque},
};

/// The ID of a stored record, which is never reused, so that an expiry cannot affect a later
/// record.
pub(crate) type RecordId = u64;

/// A record with its index entries.
#[derive(Debug, Clone)]
pub(crate) struct IndexedRecord {
    pub(crate) record: ExecutionRecord,
    pub(crate) key: Option<KeyHash>,
    pub(crate) response_dropped: bool,
    /// Whether the record can be removed when the request ends, because the request is idempotent
    /// and has no idempotency key.
    pub(crate) repeatable: bool,
    by_request: bool,
}

/// Execution records indexed by request and key, and ordered by expiry.
#[derive(Debug, Clone)]
pub(crate) struct RecordIndex {
    retention_ms: u64,
    response_limit: usize,
    next_id: RecordId,
    records: BTreeMap<RecordId, IndexedRecord>,
    by_request: BTreeMap<RequestId, RecordId>,
    by_key: BTreeMap<KeyHash, RecordId>,
    expiries: VecDeque<(Moment, RecordId)>,
    responses: VecDeque<RecordId>,
    response_bytes: usize,
}

impl RecordIndex {
    pub(crate) fn new(retention_ms: u64, response_limit: usize) -> Self {
        Self {
            retention_ms,
            response_limit,
            next_id: 0,
            records: BTreeMap::new(),
            by_request: BTreeMap::new(),
            by_key: BTreeMap::new(),
            expiries: VecDeque::new(),
            responses: VecDeque::new(),
            response_bytes: 0,
        }
    }

    /// Inserts a record, indexed by its request if `by_request` and by its key if it has one.
    pub(crate) fn insert(
        &mut self,
        record: ExecutionRecord,
        key: Option<KeyHash>,
        by_request: bool,
    ) -> RecordId {
        let id = self.next_id;
        self.next_id += 1;
        if by_request {
            self.by_request.insert(record.request, id);
        }
        if let Some(key) = key {
            self.by_key.insert(key, id);
        }
        let finished = record.state == ExecutionState::Finished;
        let stored = IndexedRecord {
            key,
            response_dropped: finished && !record.answer_kept,
            record,
            repeatable: false,
            by_request,
        };
        self.records.insert(id, stored);
        id
    }

    /// Starts the retention of an ended record, or removes a repeatable one. Drops the oldest
    /// responses above the size limit.
    pub(crate) fn start_retention(&mut self, now: Moment, id: RecordId) {
        if self.get(id).is_some_and(|stored| stored.repeatable) {
            self.remove(id);
            return;
        }
        self.expiries.push_back((now + self.retention_ms, id));
        let size = self.get(id).map_or(0, |stored| stored.record.answer.len());
        if size == 0 {
            return;
        }
        self.response_bytes += size;
        self.responses.push_back(id);
        while self.response_bytes > self.response_limit {
            let Some(oldest) = self.responses.pop_front() else {
                return;
            };
            if let Some(stored) = self.records.get_mut(&oldest) {
                self.response_bytes -= stored.record.answer.len();
                stored.record.answer = Vec::new();
                stored.record.answer_kept = false;
                stored.response_dropped = true;
            }
        }
    }

    /// Removes a record and its index entries.
    pub(crate) fn remove(&mut self, id: RecordId) {
        let Some(stored) = self.records.remove(&id) else {
            return;
        };
        self.response_bytes -= stored.record.answer.len();
        if stored.by_request {
            self.by_request.remove(&stored.record.request);
        }
        if let Some(key) = stored.key {
            self.by_key.remove(&key);
        }
    }

    /// Removes the records whose retention has ended.
    pub(crate) fn expire(&mut self, now: Moment) {
        while let Some((expiry, id)) = self.expiries.front().copied()
            && expiry <= now
        {
            self.expiries.pop_front();
            self.remove(id);
        }
        while let Some(id) = self.responses.front()
            && !self.records.contains_key(id)
        {
            self.responses.pop_front();
        }
    }

    pub(crate) fn find_by_request(&self, request: &RequestId) -> Option<RecordId> {
        self.by_request.get(request).copied()
    }

    pub(crate) fn find_by_key(&self, key: &KeyHash) -> Option<RecordId> {
        self.by_key.get(key).copied()
    }

    pub(crate) fn get(&self, id: RecordId) -> Option<&IndexedRecord> {
        self.records.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RecordId) -> Option<&mut IndexedRecord> {
        self.records.get_mut(&id)
    }

    pub(crate) fn state(&self, id: RecordId) -> Option<ExecutionState> {
        Some(self.records.get(&id)?.record.state)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &ExecutionRecord> {
        self.records.values().map(|stored| &stored.record)
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
