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

/// The key of a slot, which is never reused, so that an expiry cannot affect a later record.
pub(crate) type SlotKey = u64;

/// A record with its index entries.
#[derive(Debug, Clone)]
pub(crate) struct RecordSlot {
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
pub(crate) struct RecordSlots {
    retention_ms: u64,
    response_limit: usize,
    next_slot: SlotKey,
    slots: BTreeMap<SlotKey, RecordSlot>,
    by_request: BTreeMap<RequestId, SlotKey>,
    by_key: BTreeMap<KeyHash, SlotKey>,
    expiries: VecDeque<(Moment, SlotKey)>,
    responses: VecDeque<SlotKey>,
    response_bytes: usize,
}

impl RecordSlots {
    pub(crate) fn new(retention_ms: u64, response_limit: usize) -> Self {
        Self {
            retention_ms,
            response_limit,
            next_slot: 0,
            slots: BTreeMap::new(),
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
    ) -> SlotKey {
        let slot = self.next_slot;
        self.next_slot += 1;
        if by_request {
            self.by_request.insert(record.request, slot);
        }
        if let Some(key) = key {
            self.by_key.insert(key, slot);
        }
        let finished = record.state == ExecutionState::Finished;
        let stored = RecordSlot {
            key,
            response_dropped: finished && !record.answer_kept,
            record,
            repeatable: false,
            by_request,
        };
        self.slots.insert(slot, stored);
        slot
    }

    /// Starts the retention of an ended record, or removes a repeatable one. Drops the oldest
    /// responses above the size limit.
    pub(crate) fn start_retention(&mut self, now: Moment, slot: SlotKey) {
        if self.get(slot).is_some_and(|stored| stored.repeatable) {
            self.remove(slot);
            return;
        }
        self.expiries.push_back((now + self.retention_ms, slot));
        let size = self
            .get(slot)
            .map_or(0, |stored| stored.record.answer.len());
        if size == 0 {
            return;
        }
        self.response_bytes += size;
        self.responses.push_back(slot);
        while self.response_bytes > self.response_limit {
            let Some(oldest) = self.responses.pop_front() else {
                return;
            };
            if let Some(stored) = self.slots.get_mut(&oldest) {
                self.response_bytes -= stored.record.answer.len();
                stored.record.answer = Vec::new();
                stored.record.answer_kept = false;
                stored.response_dropped = true;
            }
        }
    }

    /// Removes a record and its index entries.
    pub(crate) fn remove(&mut self, slot: SlotKey) {
        let Some(stored) = self.slots.remove(&slot) else {
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
        while let Some((expiry, slot)) = self.expiries.front().copied()
            && expiry <= now
        {
            self.expiries.pop_front();
            self.remove(slot);
        }
        while let Some(slot) = self.responses.front()
            && !self.slots.contains_key(slot)
        {
            self.responses.pop_front();
        }
    }

    pub(crate) fn find_by_request(&self, request: &RequestId) -> Option<SlotKey> {
        self.by_request.get(request).copied()
    }

    pub(crate) fn find_by_key(&self, key: &KeyHash) -> Option<SlotKey> {
        self.by_key.get(key).copied()
    }

    pub(crate) fn get(&self, slot: SlotKey) -> Option<&RecordSlot> {
        self.slots.get(&slot)
    }

    pub(crate) fn get_mut(&mut self, slot: SlotKey) -> Option<&mut RecordSlot> {
        self.slots.get_mut(&slot)
    }

    pub(crate) fn state(&self, slot: SlotKey) -> Option<ExecutionState> {
        Some(self.slots.get(&slot)?.record.state)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &ExecutionRecord> {
        self.slots.values().map(|stored| &stored.record)
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
