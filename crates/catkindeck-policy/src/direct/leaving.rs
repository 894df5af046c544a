//! Upstreams that said in a response that they leave (`docs/design/leaving.md`).

use {
    super::upstream::UpstreamKey,
    catkindeck::{SortedMap, id::ObjectName, message},
};

/// The number of upstreams that are remembered in any case, the latest notices first.
const UPSTREAM_LIMIT: usize = 4_096;

/// The number of upstreams that are remembered for each listed one. A release replaces every upstream once, so that
/// those of the latest release are remembered while they drain, and as many again.
const REMEMBERED_PER_LISTED: usize = 3;

/// The difference between the clocks of two hosts for which the start of an instance allows, in milliseconds.
const CLOCK_TOLERANCE_MS: u64 = 5_000;

/// The notice of an instance of an upstream that it leaves.
#[message]
pub struct LeavingNotice {
    pub id: ObjectName,
    /// When the instance started, in milliseconds since the Unix epoch, as far as the receiver of the response knew.
    pub born_ms: u64,
    /// When the request was sent whose response held the notice, in milliseconds since the Unix epoch.
    pub asked_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct LeavingEntry {
    born_ms: u64,
    asked_ms: u64,
    /// Grows with each entry.
    order: u64,
}

/// The instances that said that they leave.
///
/// A notice holds whatever the platform's list says before or after it, and also while the list does not contain the
/// instance. Only a later instance of the same upstream takes work again. The register grows with the list and never
/// forgets an upstream that is listed.
#[derive(Debug, Clone, Default)]
pub struct LeavingRegister {
    entries: SortedMap<ObjectName, LeavingEntry>,
    last_order: u64,
}

impl LeavingRegister {
    /// Records a notice and returns whether the instance was not known to leave.
    pub fn record(&mut self, notice: &LeavingNotice) -> bool {
        self.record_beside(notice, &SortedMap::new())
    }

    /// As [`Self::record`], but keeps the notices of the `listed` upstreams.
    pub fn record_beside(
        &mut self,
        notice: &LeavingNotice,
        listed: &SortedMap<ObjectName, UpstreamKey>,
    ) -> bool {
        match self.entries.get_mut(&notice.id) {
            Some(entry) if notice.born_ms == entry.born_ms => {
                entry.asked_ms = entry.asked_ms.max(notice.asked_ms);
                return false;
            }
            Some(entry) if notice.born_ms < entry.born_ms => return false,
            _ => {}
        }
        self.last_order += 1;
        let entry = LeavingEntry {
            born_ms: notice.born_ms,
            asked_ms: notice.asked_ms,
            order: self.last_order,
        };
        self.entries.insert(notice.id.clone(), entry);
        if self.entries.len() > UPSTREAM_LIMIT.max(listed.len() * REMEMBERED_PER_LISTED) {
            self.remove_oldest(listed);
        }
        true
    }

    /// Returns whether an instance said that it leaves, or an instance did that started after it.
    ///
    /// An upstream may have restarted under its ID before the sender of a request read so in the list. A response to
    /// a request that was sent well after an instance started therefore counts as that instance's own.
    pub fn contains(&self, id: &ObjectName, born_ms: u64) -> bool {
        self.entries.get(id).is_some_and(|entry| {
            born_ms <= entry.born_ms || born_ms.saturating_add(CLOCK_TOLERANCE_MS) < entry.asked_ms
        })
    }

    /// Returns the notice of an upstream.
    pub fn notice(&self, id: &ObjectName) -> Option<LeavingNotice> {
        self.entries.get(id).map(|entry| LeavingNotice {
            id: id.clone(),
            born_ms: entry.born_ms,
            asked_ms: entry.asked_ms,
        })
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_oldest(&mut self, listed: &SortedMap<ObjectName, UpstreamKey>) {
        let unlisted = self
            .entries
            .iter()
            .filter(|(id, _)| listed.get(id).is_none());
        let oldest = unlisted.min_by_key(|(_, entry)| entry.order);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.entries.remove(&id);
        }
    }
}
