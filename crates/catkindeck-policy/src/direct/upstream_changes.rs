//! What changes in the list of upstreams from read to read, for processes that get it from the leader
//! (`docs/platform.md`).
//!
//! Load pattern: thousands of upstreams that renew their entries about once a second, and hundreds of
//! processes that need the list as often. Nearly all renewals change nothing but the number of the
//! heartbeat, so the changes that matter are a small part of the list.
//!
//! Load pattern: the leader changes. Hundreds of processes would need the whole list from the next one at once, which at
//! its share of a core takes longer than its lease lasts, so that it loses leadership again. Each process therefore
//! keeps the history that it follows, and a new leader goes on with the numbering of the former one.

use {
    super::upstream::DiscoveredUpstream,
    catkindeck::{
        SortedMap,
        id::{IncarnationId, ObjectName},
        message,
    },
};

/// The number of removed upstreams that are remembered. A process that missed more removals gets the
/// complete list.
pub const REMOVED_LIMIT: usize = 1_024;

/// The difference between two versions of the list of upstreams.
#[message]
#[derive(Default)]
pub struct UpstreamChangeset {
    /// The version to which the changes lead.
    pub version: u64,
    /// Whether the records are the whole list.
    pub is_complete: bool,
    /// The new and changed records, in the order of their names.
    pub records: Vec<DiscoveredUpstream>,
    /// The upstreams that are no longer listed, in the order of their names.
    pub removed: Vec<ObjectName>,
}

impl UpstreamChangeset {
    /// Brings a list in the order of names from the version of the query to that of the changes.
    pub fn apply_to(self, list: &mut Vec<DiscoveredUpstream>) {
        if self.is_complete {
            *list = self.records;
            return;
        }
        for record in self.records {
            match list.binary_search_by(|known| known.id.cmp(&record.id)) {
                Ok(index) => list[index] = record,
                Err(index) => list.insert(index, record),
            }
        }
        if !self.removed.is_empty() {
            list.retain(|record| self.removed.binary_search(&record.id).is_err());
        }
    }
}

/// The number of former leaders whose numbering a history remembers. A process that knows only an earlier one gets the
/// complete list.
const LINEAGE_LIMIT: usize = 8;

/// A version of the list, as numbered by a leader.
#[message]
#[derive(Copy)]
pub struct ListPosition {
    /// The leader that numbered the version.
    pub origin: IncarnationId,
    pub version: u64,
}

/// A record with the version of the list in which it last changed.
#[derive(Debug, Clone)]
struct VersionedRecord {
    record: DiscoveredUpstream,
    changed_in: u64,
}

/// The latest list of upstreams and the versions in which its records changed.
#[derive(Debug, Clone, Default)]
pub struct UpstreamHistory {
    version: u64,
    records: SortedMap<ObjectName, VersionedRecord>,
    /// The version in which each upstream was removed.
    removed: SortedMap<ObjectName, u64>,
    /// The latest version in which an upstream was removed that is not remembered.
    forgotten_in: u64,
    /// The leaders that numbered the versions, in the order of these.
    lineage: Vec<NumberedSpan>,
    /// The latest version that this process numbered.
    led_version: u64,
}

/// The versions of a history that one leader numbered.
#[derive(Debug, Clone, Copy)]
struct NumberedSpan {
    origin: IncarnationId,
    /// The first known version of the leader's term.
    first: u64,
    last: u64,
}

impl UpstreamHistory {
    /// Records the list of a read, and returns the number of upstreams that it changed.
    ///
    /// A later heartbeat that says the same is no change. An entry that is older than the known one is a
    /// delayed write, which must not restore an earlier state.
    pub fn record_list(&mut self, list: &[DiscoveredUpstream]) -> usize {
        let next = self.version + 1;
        let mut changed = 0;
        for record in list {
            changed += usize::from(self.record_entry(next, record));
        }
        changed += self.remove_missing(next, list);
        if changed > 0 || self.version == 0 {
            self.version = next;
        }
        changed
    }

    /// Records the list of a read of the leader `origin`, which goes on with the numbering that this history followed.
    pub fn lead(&mut self, origin: IncarnationId, list: &[DiscoveredUpstream]) -> usize {
        if !self.is_led_by(origin) {
            // What this process numbered in an earlier term may belong to another history, so no number is used twice.
            self.version = self.version.max(self.led_version) + 1;
        }
        let changed = self.record_list(list);
        self.led_version = self.version;
        self.extend_lineage(origin);
        changed
    }

    /// Records what another process, the leader `origin`, answered.
    pub fn follow(&mut self, origin: IncarnationId, changes: &UpstreamChangeset) {
        if changes.is_complete {
            *self = Self {
                forgotten_in: changes.version,
                led_version: self.led_version,
                ..Self::default()
            };
        }
        self.version = changes.version;
        for record in &changes.records {
            self.removed.remove(&record.id);
            let entry = VersionedRecord {
                record: record.clone(),
                changed_in: changes.version,
            };
            self.records.insert(record.id.clone(), entry);
        }
        for id in &changes.removed {
            self.records.remove(id);
            self.removed.insert(id.clone(), changes.version);
        }
        self.forget_removed();
        self.extend_lineage(origin);
    }

    /// Returns whether this process numbers the versions.
    pub fn is_led_by(&self, origin: IncarnationId) -> bool {
        self.position().is_some_and(|last| last.origin == origin)
    }

    /// Returns the latest version; `None` before the first one.
    pub fn position(&self) -> Option<ListPosition> {
        let span = self.lineage.last()?;
        Some(ListPosition {
            origin: span.origin,
            version: span.last,
        })
    }

    /// Returns the version of this history that a process has at a position, or zero if the position does not belong to
    /// this history: the former leader numbered further versions that did not reach this process.
    pub fn version_at(&self, position: ListPosition) -> u64 {
        let version = position.version;
        let mut lineage = self.lineage.iter();
        let span = lineage.find(|span| span.origin == position.origin);
        match span {
            Some(span) if (span.first..=span.last).contains(&version) => version,
            _ => 0,
        }
    }

    /// Returns the latest list, in the order of the names.
    pub fn list(&self) -> Vec<DiscoveredUpstream> {
        let records = self.records.values();
        records.map(|entry| entry.record.clone()).collect()
    }

    /// Returns what changed since a version; the complete list if that version is unknown.
    pub fn changes_since(&self, known: u64) -> UpstreamChangeset {
        let is_complete = known == 0 || known > self.version || known < self.forgotten_in;
        let records = self.records.values();
        let records = records.filter(|entry| is_complete || entry.changed_in > known);
        let records = records.map(|entry| entry.record.clone()).collect();
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, removed_in)| !is_complete && **removed_in > known);
        UpstreamChangeset {
            version: self.version,
            is_complete,
            records,
            removed: removed.map(|(id, _)| id.clone()).collect(),
        }
    }

    fn extend_lineage(&mut self, origin: IncarnationId) {
        let version = self.version;
        match self.lineage.last_mut() {
            Some(span) if span.origin == origin => span.last = version,
            _ => {
                self.lineage.retain(|span| span.origin != origin);
                self.lineage.push(NumberedSpan {
                    origin,
                    first: version,
                    last: version,
                });
            }
        }
        let excess = self.lineage.len().saturating_sub(LINEAGE_LIMIT);
        self.lineage.drain(..excess);
    }

    fn record_entry(&mut self, next: u64, record: &DiscoveredUpstream) -> bool {
        let Some(entry) = self.records.get_mut(&record.id) else {
            self.removed.remove(&record.id);
            let entry = VersionedRecord {
                record: record.clone(),
                changed_in: next,
            };
            self.records.insert(record.id.clone(), entry);
            return true;
        };
        let known = &mut entry.record;
        if (record.born_ms, record.heartbeat) < (known.born_ms, known.heartbeat) {
            return false;
        }
        known.heartbeat = record.heartbeat;
        let is_changed = known != record;
        if is_changed {
            known.clone_from(record);
            entry.changed_in = next;
        }
        is_changed
    }

    fn remove_missing(&mut self, next: u64, list: &[DiscoveredUpstream]) -> usize {
        let mut listed: Vec<&ObjectName> = list.iter().map(|record| &record.id).collect();
        listed.sort_unstable();
        let missing: Vec<ObjectName> = self
            .records
            .keys()
            .filter(|id| listed.binary_search(id).is_err())
            .cloned()
            .collect();
        self.records
            .retain(|id, _| missing.binary_search(id).is_err());
        let count = missing.len();
        for id in missing {
            self.removed.insert(id, next);
        }
        self.forget_removed();
        count
    }

    /// Forgets the oldest removals beyond the limit.
    fn forget_removed(&mut self) {
        let excess = self.removed.len().saturating_sub(REMOVED_LIMIT);
        if excess == 0 {
            return;
        }
        let mut versions: Vec<u64> = self.removed.values().copied().collect();
        versions.sort_unstable();
        self.forgotten_in = versions[excess - 1];
        let forgotten_in = self.forgotten_in;
        self.removed
            .retain(|_, removed_in| *removed_in > forgotten_in);
    }
}
