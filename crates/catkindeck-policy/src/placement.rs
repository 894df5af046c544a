//! The placement of control work on entries.

use {crate::hash, catkindeck::id::ObjectName, std::cmp::Reverse};

/// The number of entries that may own one piece of control work.
///
/// Three candidates survive the loss of two hosts, and keep the store's load from one lease
/// independent of the number of entries.
pub const CANDIDATE_COUNT: usize = 3;

/// Chooses the entries that may own `work`, best first, by rendezvous hashing.
///
/// Entries with different host lists may choose different candidates. The lease in the store then
/// decides, and a request is forwarded until it reaches the candidate that holds the lease.
pub fn choose_candidates(work: &str, hosts: &[ObjectName]) -> Vec<ObjectName> {
    let mut ranked: Vec<(Reverse<u64>, &ObjectName)> = hosts
        .iter()
        .map(|host| {
            let rank = hash::digest64(&[work.as_bytes(), host.as_str().as_bytes()]);
            (Reverse(rank), host)
        })
        .collect();
    ranked.sort_unstable();
    let best = ranked.into_iter().take(CANDIDATE_COUNT);
    best.map(|(_, host)| host.clone()).collect()
}
