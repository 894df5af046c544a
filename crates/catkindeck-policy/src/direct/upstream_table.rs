//! The table of the platform's upstreams.

use {
    super::{
        engine_index::EngineIndex,
        leaving::{LeavingNotice, LeavingRegister},
        service_speed::ServiceSpeed,
        upstream::{DiscoveredUpstream, UpstreamKey, UpstreamState},
    },
    catkindeck::{KeyArena, Moment, SortedMap, id::ObjectName},
    std::cell::{Cell, Ref, RefCell},
};

/// The time without a read of the list after which entries may have expired unnoticed, in
/// milliseconds.
///
/// An entry expires after three heartbeats of 1,200 ms; this is slightly less.
const LIST_STALE_AFTER_MS: u64 = 3_000;

/// How long after reads resume a missing entry is still treated as present, in milliseconds.
///
/// Entries that expired while the store was unavailable are rewritten within about two seconds of
/// its return.
const STORE_RECOVERY_GRACE_MS: u64 = 2_300;

/// The differences between two successive lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamChanges {
    /// Upstreams that are new or restarted.
    pub appeared: Vec<UpstreamKey>,
    /// Instances that left the list or were replaced by a restart.
    pub gone: Vec<UpstreamKey>,
    /// Upstreams that began to drain.
    pub draining: Vec<UpstreamKey>,
}

/// All upstreams of the platform's list with this process's measurements.
///
/// Instances are kept for the life of the process, because requests in progress refer to them by
/// key.
#[derive(Debug, Clone, Default)]
pub struct UpstreamTable {
    instances: KeyArena<UpstreamKey, UpstreamState>,
    current: SortedMap<ObjectName, UpstreamKey>,
    closed_zones: Vec<ObjectName>,
    leaving: LeavingRegister,
    last_read: Option<Moment>,
    grace_until: Moment,
    /// What the engines of each service have in common.
    speeds: SortedMap<ObjectName, ServiceSpeed>,
    index: RefCell<EngineIndex>,
    /// How often selections have looked at an engine.
    looks: Cell<u64>,
}

impl UpstreamTable {
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the list of a linearizable read sent at `sent`.
    ///
    /// Lists arrive both from this process's reads and from other processes; a list older than the
    /// current one is ignored.
    pub fn apply(&mut self, sent: Moment, list: Vec<DiscoveredUpstream>) -> UpstreamChanges {
        let mut listed: Vec<ObjectName> = list.iter().map(|record| record.id.clone()).collect();
        listed.sort_unstable();
        let is_listed = |id: &ObjectName| listed.binary_search(id).is_ok();
        self.apply_records(sent, list, &is_listed)
    }

    /// As [`Self::apply`], for a list in the order of names of which only the `changed` records differ from the list
    /// that was applied before. With thousands of upstreams, applying all records takes most of a small process's
    /// share of a core.
    pub fn apply_changed(
        &mut self,
        sent: Moment,
        list: &[DiscoveredUpstream],
        changed: Vec<DiscoveredUpstream>,
    ) -> UpstreamChanges {
        let is_listed = |id: &ObjectName| list.binary_search_by(|record| record.id.cmp(id)).is_ok();
        self.apply_records(sent, changed, &is_listed)
    }

    /// Returns whether a list that was read at `sent` is older than the current one, and ignored.
    pub fn is_superseded(&self, sent: Moment) -> bool {
        self.last_read.is_some_and(|last| sent < last)
    }

    fn apply_records(
        &mut self,
        sent: Moment,
        records: Vec<DiscoveredUpstream>,
        is_listed: &dyn Fn(&ObjectName) -> bool,
    ) -> UpstreamChanges {
        let mut changes = UpstreamChanges::default();
        if self.is_superseded(sent) {
            return changes;
        }
        if self
            .last_read
            .is_some_and(|last| sent.since(last) > LIST_STALE_AFTER_MS)
        {
            self.grace_until = sent + STORE_RECOVERY_GRACE_MS;
        }
        self.last_read = Some(sent);
        if !records.is_empty() {
            self.index.get_mut().clear();
        }
        for record in records {
            self.apply_record(sent, record, &mut changes);
        }
        if sent >= self.grace_until {
            self.remove_missing(is_listed, &mut changes);
        }
        if !changes.gone.is_empty() {
            self.index.get_mut().clear();
        }
        changes
    }

    /// Closes these availability zones for new work and opens all others.
    pub fn set_closed_zones(&mut self, zones: Vec<ObjectName>) {
        self.closed_zones = zones;
    }

    /// Returns an instance.
    ///
    /// # Panics
    ///
    /// Panics if the key is from another table.
    pub fn get(&self, key: UpstreamKey) -> &UpstreamState {
        self.instances
            .get(key)
            .expect("the upstream key belongs to this table")
    }

    /// Returns an instance for modification.
    ///
    /// # Panics
    ///
    /// Panics if the key is from another table.
    pub fn get_mut(&mut self, key: UpstreamKey) -> &mut UpstreamState {
        self.index.get_mut().mark_changed(key);
        let state = self.instances.get_mut(key);
        state.expect("the upstream key belongs to this table")
    }

    /// Returns the current instance of an upstream.
    pub fn current(&self, id: &ObjectName) -> Option<UpstreamKey> {
        self.current.get(id).copied()
    }

    /// Iterates over the current instances in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamState)> {
        self.current.values().map(|key| (*key, self.get(*key)))
    }

    /// Modifies all current instances.
    pub fn for_each_mut(&mut self, mut modify: impl FnMut(&mut UpstreamState)) {
        for key in self.current.values() {
            if let Some(state) = self.instances.get_mut(*key) {
                modify(state);
            }
        }
    }

    /// Returns the index of the engines with free places.
    pub(super) fn index(&self) -> Ref<'_, EngineIndex> {
        let mut index = self.index.borrow_mut();
        index.build(self.iter());
        while let Some(key) = index.take_changed() {
            index.update(key, self.get(key));
        }
        drop(index);
        self.index.borrow()
    }

    /// Returns how often selections have looked at an engine.
    pub fn looks(&self) -> u64 {
        self.looks.get()
    }

    pub(super) fn count_look(&self) {
        self.looks.set(self.looks.get() + 1);
    }

    /// Returns whether an availability zone is closed for new work.
    pub(super) fn is_zone_closed(&self, zone: &ObjectName) -> bool {
        self.closed_zones.contains(zone)
    }

    /// Returns whether the list, the zones and the instance itself allow new work for it.
    pub fn accepts_work(&self, key: UpstreamKey) -> bool {
        let state = self.get(key);
        state.listed
            && !state.record.draining
            && !self.closed_zones.contains(&state.record.zone)
            && !self.is_leaving(key)
    }

    /// Records the notice of an instance that it leaves, which need not be in the list. Returns whether
    /// that was not known.
    pub fn record_leaving(&mut self, notice: &LeavingNotice) -> bool {
        self.leaving.record_beside(notice, &self.current)
    }

    /// Returns whether an instance said that it leaves. Nothing may be sent to it, also if a request
    /// was assigned to it before.
    pub fn is_leaving(&self, key: UpstreamKey) -> bool {
        let record = &self.get(key).record;
        self.leaving.contains(&record.id, record.born_ms)
    }

    /// Returns whether a run that breaks off at an instance may be the sign of a crash: the instance is listed and
    /// has not said that it will end.
    pub fn is_expected_to_run(&self, key: UpstreamKey) -> bool {
        let state = self.get(key);
        state.listed && !state.record.draining && !self.is_leaving(key)
    }

    /// Returns whether a later instance has taken the place of one.
    pub fn is_replaced(&self, key: UpstreamKey) -> bool {
        let current = self.current(&self.get(key).record.id);
        current.is_some_and(|current| current != key)
    }

    /// Returns the notices of the current instances that leave.
    pub fn leaving_notices(&self) -> Vec<LeavingNotice> {
        let leaving = self.iter().filter(|(key, _)| self.is_leaving(*key));
        leaving
            .filter_map(|(_, state)| self.leaving.notice(&state.record.id))
            .collect()
    }

    /// Returns whether a service gets no work because its upstreams leave.
    pub fn is_left(&self, service: &ObjectName) -> bool {
        !self.has_upstream(service)
            && self
                .iter()
                .any(|(key, state)| state.record.service == *service && self.is_leaving(key))
    }

    /// Returns the age of the list, in milliseconds.
    pub fn age(&self, now: Moment) -> Option<u64> {
        self.last_read.map(|read| now.since(read))
    }

    /// Returns the number of current instances that name a limit.
    pub fn limited(&self) -> usize {
        let limits = self.iter().map(|(_, state)| state.limit.rate());
        limits.flatten().count()
    }

    /// Returns the number of current instances.
    pub fn len(&self) -> usize {
        self.current.len()
    }

    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// Returns what was learned from all engines of a service.
    pub fn service_speed(&self, service: &ObjectName) -> Option<&ServiceSpeed> {
        self.speeds.get(service)
    }

    /// Returns the measurements of an instance's service for modification.
    pub(super) fn service_speed_mut(&mut self, key: UpstreamKey) -> &mut ServiceSpeed {
        let service = self.get(key).record.service.clone();
        self.speeds
            .get_or_insert_with(service, ServiceSpeed::default)
    }

    fn apply_record(
        &mut self,
        now: Moment,
        record: DiscoveredUpstream,
        changes: &mut UpstreamChanges,
    ) {
        let known = self.current(&record.id);
        if let Some(key) = known {
            let state = self.get_mut(key);
            let order = (record.born_ms, record.heartbeat);
            let current_order = (state.record.born_ms, state.record.heartbeat);
            // A delayed write of an earlier heartbeat must not restore an earlier state.
            if order < current_order {
                state.listed = true;
                return;
            }
            if record.born_ms == state.record.born_ms {
                if record.draining && !state.record.draining {
                    changes.draining.push(key);
                }
                state.update(now, record);
                return;
            }
            state.listed = false;
            changes.gone.push(key);
        }
        let id = record.id.clone();
        let key = self.instances.insert(UpstreamState::new(now, record));
        self.current.insert(id, key);
        changes.appeared.push(key);
    }

    fn remove_missing(
        &mut self,
        is_listed: &dyn Fn(&ObjectName) -> bool,
        changes: &mut UpstreamChanges,
    ) {
        let instances = &mut self.instances;
        self.current.retain(|id, key| {
            if is_listed(id) {
                return true;
            }
            if let Some(state) = instances.get_mut(*key) {
                state.listed = false;
            }
            changes.gone.push(*key);
            false
        });
    }
}
