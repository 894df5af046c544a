//! An index of the engines with free places, for scheduling rounds over many engines and items.
//!
//! Load pattern: a thousand engines and as many waiting items. A round that looks at every engine for every item would
//! grow with the square of the engines.

use {
    super::{
        selection::loaded_cost,
        upstream::{UpstreamKey, UpstreamState},
    },
    catkindeck::{SortedMap, id::ObjectName, token::WeightVersion},
    std::collections::BTreeSet,
};

/// Engines of one service that differ only in their speed and load.
#[derive(Debug, Clone)]
pub(super) struct EngineGroup {
    pub version: WeightVersion,
    pub zone: ObjectName,
    /// Whether the time between events was measured. If not, `engines` holds the cost for a time of one.
    pub is_measured: bool,
    /// The engines with their cost without discounts, in ascending order.
    pub engines: Vec<(u64, UpstreamKey)>,
}

/// What the index holds of one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct IndexedEngine {
    service: Option<ObjectName>,
    zone: Option<ObjectName>,
    gap_us: u64,
    /// The cost without discounts if this process may use all slots, which is the least that it may be; `None` if no
    /// slot is free.
    cost: Option<u64>,
    versions: SortedMap<ObjectName, WeightVersion>,
    /// The changes of the prompt parts that the index has followed.
    part_changes: u64,
    parts: Vec<u64>,
}

#[derive(Debug, Clone, Default)]
struct ServiceIndex {
    /// The measured mean times between events, in ascending order.
    gaps: Vec<(u64, UpstreamKey)>,
    /// The engines with free places by model.
    models: SortedMap<ObjectName, Vec<EngineGroup>>,
    /// The engines by the prompt parts that are probably in their caches. Each has hundreds, so that an insertion into a
    /// sorted vector would move megabytes.
    parts: BTreeSet<(u64, UpstreamKey)>,
}

/// The engines with free places by service, model, version, zone and cost.
///
/// An engine is indexed again before the next use after a change of its state.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineIndex {
    is_built: bool,
    services: SortedMap<ObjectName, ServiceIndex>,
    engines: SortedMap<UpstreamKey, IndexedEngine>,
    changed: Vec<UpstreamKey>,
}

impl EngineIndex {
    /// Requires that all engines are indexed again, because the list has changed.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Requires that an engine is indexed again.
    pub fn mark_changed(&mut self, key: UpstreamKey) {
        if !self.is_built || self.changed.last() == Some(&key) {
            return;
        }
        self.changed.push(key);
        // A process that assigns no items never reads the index.
        if self.changed.len() > 2 * self.engines.len() {
            self.clear();
        }
    }

    /// Indexes all engines unless that was done since the last call of [`Self::clear`].
    pub fn build<'a>(&mut self, states: impl Iterator<Item = (UpstreamKey, &'a UpstreamState)>) {
        if self.is_built {
            return;
        }
        self.is_built = true;
        for (key, state) in states {
            self.engines.insert(key, IndexedEngine::default());
            self.update(key, state);
        }
    }

    /// Removes and returns an engine that must be indexed again.
    pub fn take_changed(&mut self) -> Option<UpstreamKey> {
        self.changed.pop()
    }

    /// Indexes an engine. Engines that are not in the list are left out.
    pub fn update(&mut self, key: UpstreamKey, state: &UpstreamState) {
        let Some(known) = self.engines.get_mut(&key) else {
            return;
        };
        let is_free = state.free_places() > 0 && !state.record.draining;
        let cost =
            is_free.then(|| loaded_cost(state, state.event_gap_us.max(1), state.record.slots));
        let is_same = known.service.is_some()
            && known.gap_us == state.event_gap_us
            && known.cost == cost
            && known.part_changes == state.part_changes()
            && known.versions == *state.versions();
        if is_same {
            return;
        }
        let service = &state.record.service;
        let new = ServiceIndex::default;
        let index = self.services.get_or_insert_with(service.clone(), new);
        index.remove(key, known);
        let parts = match known.part_changes == state.part_changes() {
            true => std::mem::take(&mut known.parts),
            false => {
                let parts: Vec<u64> = state.prompt_parts().collect();
                index.replace_parts(key, &known.parts, &parts);
                parts
            }
        };
        *known = IndexedEngine {
            service: Some(service.clone()),
            zone: Some(state.record.zone.clone()),
            gap_us: state.event_gap_us,
            cost,
            versions: state.versions().clone(),
            part_changes: state.part_changes(),
            parts,
        };
        index.insert(key, known);
    }

    /// Returns the measured mean times between events of the engines of a service, in ascending order.
    pub fn gaps(&self, service: &ObjectName) -> &[(u64, UpstreamKey)] {
        self.services
            .get(service)
            .map_or(&[], |index| index.gaps.as_slice())
    }

    /// Iterates over the engines with free places that have weights of `model` from `least` on.
    pub fn groups(
        &self,
        service: &ObjectName,
        model: &ObjectName,
        least: WeightVersion,
    ) -> impl Iterator<Item = &EngineGroup> {
        let index = self.services.get(service);
        let groups = index.and_then(|index| index.models.get(model));
        let groups = groups.into_iter().flatten();
        groups.filter(move |group| group.version >= least)
    }

    /// Iterates over the engines of a service that probably have a prompt part in their caches.
    pub fn cached(
        &self,
        service: &ObjectName,
        part: u64,
    ) -> impl Iterator<Item = UpstreamKey> + '_ {
        let all = (part, UpstreamKey(u32::MIN))..=(part, UpstreamKey(u32::MAX));
        let index = self.services.get(service).into_iter();
        let found = index.flat_map(move |index| index.parts.range(all.clone()));
        found.map(|(_, key)| *key)
    }
}

impl ServiceIndex {
    fn remove(&mut self, key: UpstreamKey, known: &IndexedEngine) {
        if known.service.is_none() {
            return;
        }
        if known.gap_us > 0 {
            remove_sorted(&mut self.gaps, (known.gap_us, key));
        }
        let (Some(cost), Some(zone)) = (known.cost, &known.zone) else {
            return;
        };
        for (model, version) in known.versions.iter() {
            let Some(groups) = self.models.get_mut(model) else {
                continue;
            };
            let found = groups
                .iter()
                .position(|group| group.holds(*version, zone, known.gap_us > 0));
            if let Some(position) = found {
                remove_sorted(&mut groups[position].engines, (cost, key));
                if groups[position].engines.is_empty() {
                    groups.swap_remove(position);
                }
            }
        }
    }

    fn insert(&mut self, key: UpstreamKey, known: &IndexedEngine) {
        if known.gap_us > 0 {
            insert_sorted(&mut self.gaps, (known.gap_us, key));
        }
        let (Some(cost), Some(zone)) = (known.cost, &known.zone) else {
            return;
        };
        let is_measured = known.gap_us > 0;
        for (model, version) in known.versions.iter() {
            let groups = self.models.get_or_insert_with(model.clone(), Vec::new);
            let found = groups
                .iter()
                .position(|group| group.holds(*version, zone, is_measured));
            let position = found.unwrap_or_else(|| {
                groups.push(EngineGroup {
                    version: *version,
                    zone: zone.clone(),
                    is_measured,
                    engines: Vec::new(),
                });
                groups.len() - 1
            });
            insert_sorted(&mut groups[position].engines, (cost, key));
        }
    }

    fn replace_parts(&mut self, key: UpstreamKey, former: &[u64], parts: &[u64]) {
        // The oldest parts go first and the newest come last, so most stay.
        let kept = former
            .iter()
            .position(|part| parts.first() == Some(part))
            .unwrap_or(former.len());
        let (gone, kept) = former.split_at(kept);
        let is_tail = parts.starts_with(kept);
        for part in if is_tail { gone } else { former } {
            self.parts.remove(&(*part, key));
        }
        for part in if is_tail { &parts[kept.len()..] } else { parts } {
            self.parts.insert((*part, key));
        }
    }
}

impl EngineGroup {
    fn holds(&self, version: WeightVersion, zone: &ObjectName, is_measured: bool) -> bool {
        self.version == version && self.is_measured == is_measured && self.zone == *zone
    }
}

fn insert_sorted(entries: &mut Vec<(u64, UpstreamKey)>, entry: (u64, UpstreamKey)) {
    if let Err(position) = entries.binary_search(&entry) {
        entries.insert(position, entry);
    }
}

fn remove_sorted(entries: &mut Vec<(u64, UpstreamKey)>, entry: (u64, UpstreamKey)) {
    if let Ok(position) = entries.binary_search(&entry) {
        entries.remove(position);
    }
}
