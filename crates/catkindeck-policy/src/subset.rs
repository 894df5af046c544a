//! The bounded subset of upstreams that one entry uses.

use {
    crate::hash::{digest64, mix},
    catkindeck::{SortedMap, config::UpstreamRecord, id::ObjectName},
};

/// The minimum number of entries that use one upstream, so that the loss of one entry leaves no
/// upstream without work.
const MIN_ENTRIES: usize = 2;

/// Returns the upstreams in the subset of `entry`.
///
/// Each upstream chooses its entries by rendezvous hashing rather than each entry its upstreams: if
/// 600 entries drew 24 of 5,700 upstreams each, 8 % of the upstreams would not be drawn at all.
/// Adding or removing an entry or upstream changes only the pairs that contain it.
pub(crate) fn choose<'a>(
    entry: &ObjectName,
    entries: &[ObjectName],
    upstreams: &'a [UpstreamRecord],
    size: usize,
) -> Vec<&'a UpstreamRecord> {
    let own_seed = digest64(&[entry.as_str().as_bytes()]);
    let others = entries.iter().filter(|other| *other != entry);
    let others: Vec<u64> = others
        .map(|other| digest64(&[other.as_str().as_bytes()]))
        .collect();
    let members = upstreams
        .iter()
        .filter(|upstream| upstream.removed_ms.is_none());
    let mut counts: SortedMap<&ObjectName, usize> = SortedMap::new();
    for upstream in members.clone() {
        *counts.get_or_insert_with(&upstream.service, || 0) += 1;
    }
    let uses = |upstream: &&UpstreamRecord| {
        let count = counts.get(&&upstream.service).copied().unwrap_or(0);
        if count <= size {
            return true;
        }
        let share = ((others.len() + 1) * size).div_ceil(count);
        let seed = digest64(&[upstream.name.as_str().as_bytes()]);
        let score = mix(seed ^ own_seed);
        let better = others.iter().filter(|other| mix(seed ^ **other) > score);
        better.count() < share.max(MIN_ENTRIES)
    };
    members.filter(uses).collect()
}
