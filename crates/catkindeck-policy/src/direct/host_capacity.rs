//! Which host gets work for others, by what it can carry and what it carries now.
//!
//! The load pattern: hosts differ by a factor of eight in processor time and of five in memory and link. Relays,
//! copies and jobs that go to a host by its name alone meet the smallest as often as the largest, and fill it while
//! larger ones have room.

use {
    super::selection::rendezvous_score,
    catkindeck::{Moment, SortedMap, message},
    std::{cmp::Reverse, net::SocketAddr},
};

/// The factor between the largest and the smallest entry from which entries count as uneven.
const UNEVEN_FACTOR: u32 = 2;

/// The weight of the largest host.
const FULL_WEIGHT: u32 = 1_000;

/// Hosts with at least this weight precede all others, in any order of hashes. Without it, one choice in a few would
/// still meet a small host where there are many of them.
const STRONG_WEIGHT: u32 = FULL_WEIGHT / 2;

/// How long what a host carries is believed, in milliseconds. Processes that work together talk several times within
/// this time.
const LOAD_LIFETIME_MS: u64 = 5_000;

/// The most hosts whose load is remembered. Beyond it a new host takes the place of one whose load has expired.
const LOAD_LIMIT: usize = 4_096;

/// The share of a host that counts as free while its load is unknown, in percent.
const UNKNOWN_FREE_PERCENT: u32 = 50;

/// Below this share of free room, the availability zone of a host no longer counts, in percent.
const SCARCE_FREE_PERCENT: u32 = 25;

/// What a host can carry, as its settings say. Zero stands for an unknown value.
#[message]
#[derive(Copy, Default)]
pub struct HostCapacity {
    /// The CPU time, in thousandths of a core.
    pub cpu_millicores: u32,
    /// The memory, in MiB.
    pub memory_mb: u32,
    /// The rate of the host's link, in megabits per second.
    pub link_mbps: u32,
    /// The maximum number of open file descriptors.
    pub descriptors: u32,
}

/// What a host carries, each value in percent of what it allows itself.
#[message]
#[derive(Copy, Default)]
pub struct HostLoad {
    /// The bodies that it holds.
    pub memory_percent: u8,
    /// The bytes on its link within the last seconds.
    pub link_percent: u8,
    /// The connections of callers.
    pub connections_percent: u8,
    /// The share of time in which its event loop was busy.
    pub busy_percent: u8,
    /// Whether it refuses relayed work.
    pub is_shedding: bool,
}

impl HostLoad {
    /// Returns the free share of the resource of which least is free, in percent.
    pub fn free_percent(self) -> u32 {
        let used = [
            self.memory_percent,
            self.link_percent,
            self.connections_percent,
            self.busy_percent,
        ];
        let most = used.into_iter().max().unwrap_or(0);
        u32::from(100_u8.saturating_sub(most))
    }
}

impl HostCapacity {
    /// Returns the resources that carry work for others.
    fn resources(self) -> [u32; 3] {
        [self.cpu_millicores, self.memory_mb, self.link_mbps]
    }
}

/// The largest value of each resource among the hosts that are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CapacityScale {
    largest: [u32; 3],
    smallest: [u32; 3],
}

impl CapacityScale {
    /// Compares hosts. Unknown values are left out, so that hosts of earlier builds, of which only the processor is
    /// known, do not make a deployment uneven.
    pub fn of(capacities: impl Iterator<Item = HostCapacity>) -> Self {
        let mut scale = Self::default();
        for capacity in capacities {
            for (index, value) in capacity.resources().into_iter().enumerate() {
                if value == 0 {
                    continue;
                }
                let smallest = &mut scale.smallest[index];
                *smallest = match *smallest {
                    0 => value,
                    known => known.min(value),
                };
                scale.largest[index] = scale.largest[index].max(value);
            }
        }
        scale
    }

    /// Returns whether hosts differ so much that it matters which one gets work.
    pub fn is_uneven(&self) -> bool {
        let pairs = self.largest.iter().zip(self.smallest);
        pairs
            .into_iter()
            .any(|(largest, smallest)| *largest >= smallest.saturating_mul(UNEVEN_FACTOR).max(1))
    }

    /// Returns the weight of a host, from 1 to 1,000: its share of the largest host in the resource of which it has
    /// least.
    pub fn weight(&self, capacity: HostCapacity) -> u32 {
        let resources = capacity.resources().into_iter().zip(self.largest);
        let shares = resources
            .filter(|(value, largest)| *value > 0 && *largest > 0)
            .map(|(value, largest)| {
                let share = u64::from(value) * u64::from(FULL_WEIGHT) / u64::from(largest);
                u32::try_from(share).unwrap_or(FULL_WEIGHT)
            });
        shares.min().unwrap_or(1).clamp(1, FULL_WEIGHT)
    }

    /// Returns the rank of a host by its registration alone, highest first, by which all processes choose alike. The
    /// loss of a host changes only the choices that fell on it, unless it was the largest.
    pub fn shared_rank(&self, capacity: HostCapacity, parts: &[&[u8]]) -> SharedRank {
        let weight = self.weight(capacity);
        SharedRank {
            is_strong: weight >= STRONG_WEIGHT,
            score: weighted_score(parts, weight),
        }
    }
}

/// The rank of a host by its registration, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SharedRank {
    is_strong: bool,
    score: u64,
}

/// A host that may get work from this process.
#[derive(Debug, Clone, Copy)]
pub struct PeerStanding<'a> {
    pub host: &'a str,
    pub capacity: HostCapacity,
    /// What the host carries, if it said so recently.
    pub load: Option<HostLoad>,
    pub is_same_zone: bool,
}

/// Returns the indices of `peers` in the order in which this process should give them relayed work.
///
/// Hosts that refuse such work come last, then those with little room; of the others those of the same availability
/// zone come first, because bytes between zones are dear. `own` is different at each process, so that the processes do
/// not all choose the one host with the most room.
pub fn rank_by_room(scale: &CapacityScale, own: &[u8], peers: &[PeerStanding<'_>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..peers.len()).collect();
    order.sort_by_cached_key(|index| {
        let peer = &peers[*index];
        let is_shedding = peer.load.is_some_and(|load| load.is_shedding);
        let free = peer
            .load
            .map_or(UNKNOWN_FREE_PERCENT, HostLoad::free_percent);
        let weight = scale.weight(peer.capacity) * free.max(1);
        let score = weighted_score(&[own, peer.host.as_bytes()], weight);
        (
            is_shedding,
            free < SCARCE_FREE_PERCENT,
            !peer.is_same_zone,
            scale.weight(peer.capacity) < STRONG_WEIGHT,
            Reverse(score),
        )
    });
    order
}

/// Returns a rendezvous hashing score by which a host wins in proportion to its weight.
fn weighted_score(parts: &[&[u8]], weight: u32) -> u64 {
    // The upper 53 bits of the hash, which a float holds exactly, as a number between 0 and 1.
    let uniform = ((rendezvous_score(parts) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    // The bits of positive floats have the order of their values.
    (f64::from(weight) / -uniform.ln()).to_bits()
}

/// What other hosts said that they carry.
#[derive(Debug, Clone, Default)]
pub struct LoadBoard {
    loads: SortedMap<SocketAddr, (Moment, HostLoad)>,
}

impl LoadBoard {
    /// Records what the host at an address said at `now`.
    pub fn record(&mut self, now: Moment, host: SocketAddr, load: HostLoad) {
        if self.loads.len() >= LOAD_LIMIT {
            self.loads
                .retain(|_, (at, _)| now.since(*at) < LOAD_LIFETIME_MS);
        }
        if self.loads.len() < LOAD_LIMIT || self.loads.contains_key(&host) {
            self.loads.insert(host, (now, load));
        }
    }

    /// Returns what a host carries, if it said so recently.
    pub fn find(&self, now: Moment, host: SocketAddr) -> Option<HostLoad> {
        let (at, load) = self.loads.get(&host)?;
        (now.since(*at) < LOAD_LIFETIME_MS).then_some(*load)
    }
}
