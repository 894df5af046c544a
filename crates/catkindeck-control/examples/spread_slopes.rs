//! Prints the cost of configuration propagation and of leases, in total and per node, by the number
//! of nodes.
//!
//! Calls and bytes are counted while the decision logic runs in virtual time. Bytes are those of
//! encoded messages, without the overhead of the transport. Microseconds depend on the machine and
//! differ between runs.

use {
    catkindeck::{
        Moment,
        config::{ConfigRevision, ConfigSnapshot, CustomerRecord, KeyRecord, UpstreamRecord},
        id::{KeyDigest, ObjectName},
        message::{PeerEnvelope, PeerFrame, PeerRequest, PropagationReport, ShardBytes, ShardRef},
        platform::LeaseGrant,
    },
    catkindeck_control::propagation::{
        ConfigHead, FOLLOW_PERIOD_MS, FreshnessTracker, IDLE_REFRESH_PERIOD_MS, LoadedConfig,
        READER_LEASE_TTL_MS, REFRESH_PERIOD_MS, TREE_FANOUT, WATCH_WAIT, encode_shards,
    },
    catkindeck_policy::lease::{LeaseCall, LeaseState},
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SIMULATED_MS: u64 = 600_000;

/// The time between two changes of the configuration at 8,800 changes a day, in milliseconds.
const CHANGE_PERIOD_MS: u64 = 86_400_000 / 8800;

/// The number of leases for which the nodes of a zone compete: the zone lease and two reader
/// leases.
const LEASES: usize = 3;

struct Node {
    zone: usize,
    rank: usize,
    tracker: FreshnessTracker,
    leases: Vec<LeaseState>,
    loaded: Arc<LoadedConfig>,
    next_follow: u64,
    next_watch: u64,
    next_refresh: u64,
    cost: Cost,
}

#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    store_calls: u64,
    store_bytes: u64,
    host_calls: u64,
    peer_calls: u64,
    peer_bytes: u64,
}

struct Fleet {
    zones: usize,
    nodes: Vec<Node>,
    newest: Arc<LoadedConfig>,
    busy: Duration,
    changes: u64,
}

fn main() {
    println!(
        "{:>6} {:>6} {:>12} {:>12} {:>12} {:>12} {:>12} {:>12} {:>10}",
        "nodes",
        "zones",
        "store c/s",
        "per node",
        "store B/s",
        "hosts c/s",
        "peer B/s",
        "most B/s",
        "us/s"
    );
    for count in [1, 10, 100, 600] {
        let mut fleet = Fleet::new(count);
        fleet.run();
        fleet.print();
    }
}

impl Fleet {
    fn new(count: usize) -> Self {
        let zones = (count / 4).clamp(1, 12);
        let newest = Arc::new(build(&LoadedConfig::default(), &content(count), 1));
        let nodes = (0..count)
            .map(|index| {
                let zone = index % zones;
                let mut tracker = FreshnessTracker::new(zone_name(zone), Moment(0));
                tracker.on_head(ConfigRevision(1), Moment(1));
                tracker.on_fetched(ConfigRevision(1), zones);
                let rank = index / zones;
                let leases = (0..LEASES).map(|_| lease(rank)).collect();
                // Nodes start at different times, so their periodic work does not coincide.
                let offset = (index as u64).wrapping_mul(977);
                Node {
                    zone,
                    rank,
                    tracker,
                    leases,
                    loaded: newest.clone(),
                    next_follow: offset % FOLLOW_PERIOD_MS,
                    next_watch: 0,
                    next_refresh: offset % IDLE_REFRESH_PERIOD_MS,
                    cost: Cost::default(),
                }
            })
            .collect();
        Self {
            zones,
            nodes,
            newest,
            busy: Duration::ZERO,
            changes: 0,
        }
    }

    fn run(&mut self) {
        for now in (0..SIMULATED_MS).step_by(250) {
            if now / CHANGE_PERIOD_MS > self.changes {
                self.changes += 1;
                self.change(now);
            }
            for index in 0..self.nodes.len() {
                self.hold_leases(index, now);
                self.follow(index, now);
            }
        }
    }

    fn hold_leases(&mut self, index: usize, now: u64) {
        let started = Instant::now();
        let node = &mut self.nodes[index];
        for (slot, state) in node.leases.iter_mut().enumerate() {
            let Some(call) = state.poll(Moment(now)) else {
                continue;
            };
            node.cost.store_calls += 1;
            node.cost.store_bytes += 150;
            // The node with rank 0 holds the zone lease, and those with ranks 0 and 1 hold the
            // reader leases.
            let holder = slot.saturating_sub(1);
            match call {
                LeaseCall::Release(_) => state.on_released(),
                _ if node.rank == holder => state.on_granted(&LeaseGrant {
                    number: 1,
                    ttl_ms: READER_LEASE_TTL_MS,
                }),
                _ => state.on_held(READER_LEASE_TTL_MS * 2 / 3, Moment(now)),
            }
        }
        self.busy += started.elapsed();
    }

    fn follow(&mut self, index: usize, now: u64) {
        let node = &mut self.nodes[index];
        if now >= node.next_refresh {
            node.next_refresh = now
                + match node.rank < 2 {
                    true => REFRESH_PERIOD_MS,
                    false => IDLE_REFRESH_PERIOD_MS,
                };
            node.cost.host_calls += 1;
        }
        let reader = node.rank < 2;
        if reader && now >= node.next_watch {
            node.next_watch = now + u64::try_from(WATCH_WAIT.as_millis()).unwrap_or(u64::MAX);
            node.cost.store_calls += 1;
            node.cost.store_bytes += 150;
            let revision = node.loaded.head.revision;
            node.tracker.on_head(revision, Moment(now));
        }
        if now < node.next_follow {
            return;
        }
        node.next_follow = now + FOLLOW_PERIOD_MS;
        let (zone, turn) = (node.zone, (now / FOLLOW_PERIOD_MS) as usize);
        for other in 0..self.zones {
            if other == zone || reader {
                // In each zone, two nodes are polled in alternate periods.
                let peer = other + (turn % 2) * self.zones;
                self.poll_peer(index, peer, now);
            }
        }
    }

    fn poll_peer(&mut self, from: usize, to: usize, now: u64) {
        if from == to || to >= self.nodes.len() {
            return;
        }
        let started = Instant::now();
        let report = self.nodes[to].tracker.report(true, Moment(now));
        self.nodes[from].tracker.on_report(&report, Moment(now));
        let fresh = self.nodes[from].tracker.is_fresh(Moment(now));
        self.busy += started.elapsed();
        assert!(fresh, "node {from} is stale at {now}");
        let bytes = request_len(PeerRequest::ReadSpread) + report_len(report);
        self.count_call(from, to, bytes);
    }

    fn count_call(&mut self, from: usize, to: usize, bytes: u64) {
        self.nodes[from].cost.peer_calls += 1;
        for end in [from, to] {
            self.nodes[end].cost.peer_bytes += bytes;
        }
    }

    /// Commits a change of one upstream and propagates it to all nodes.
    fn change(&mut self, now: u64) {
        let mut content = (*self.newest.snapshot).clone();
        let changed = (self.changes as usize * 31) % content.upstreams.len();
        content.upstreams[changed].added_ms += 1;
        let number = self.newest.head.revision.0 + 1;
        self.newest = Arc::new(build(&self.newest, &content, number));
        let missing = self.nodes[0].loaded.missing_shards(&self.newest.head);
        let encoded_shards = self.newest.shard_bytes(&missing);
        let encoded_len: u64 = encoded_shards
            .iter()
            .map(|encoded| encoded.bytes.len() as u64)
            .sum();
        let head_bytes = len(&self.newest.head);

        // The node that commits reads the head and the host list, and writes shards, manifest and
        // head.
        let committer = self.changes as usize % self.nodes.len();
        let cost = &mut self.nodes[committer].cost;
        cost.host_calls += 1;
        cost.store_calls += 3 + encoded_shards.len() as u64;
        cost.store_bytes += 2 * (3 * head_bytes + encoded_len);
        // Every node does the same work to assemble the configuration, so the time is measured once
        // and multiplied.
        let started = Instant::now();
        let joined = self.nodes[0]
            .loaded
            .assemble(self.newest.head.clone(), encoded_shards.clone());
        let count = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        self.busy += started.elapsed() * count;
        assert!(joined.is_ok_and(|joined| joined.snapshot == self.newest.snapshot));
        for index in 0..self.nodes.len() {
            self.fetch_change(index, now, &encoded_shards, head_bytes);
        }
        // Each node is polled twice before it confirms.
        for _ in 0..2 {
            for index in 0..self.nodes.len() {
                self.poll_peer(committer, index, now);
            }
        }
    }

    fn fetch_change(
        &mut self,
        index: usize,
        now: u64,
        encoded_shards: &[ShardBytes],
        head_bytes: u64,
    ) {
        let (zone, rank) = (self.nodes[index].zone, self.nodes[index].rank);
        let shards: Vec<ShardRef> = encoded_shards
            .iter()
            .map(|encoded| encoded.shard.clone())
            .collect();
        let encoded_len: u64 = encoded_shards.iter().map(len).sum();
        if rank < 2 {
            // Readers read the head and the changed shards from the store, which sends values as
            // hexadecimal digits.
            let cost = &mut self.nodes[index].cost;
            cost.store_calls += 1 + encoded_shards.len() as u64;
            cost.store_bytes += 2 * (head_bytes + encoded_len);
        } else {
            let parent = zone + (rank - 1) / TREE_FANOUT * self.zones;
            let empty = request_len(PeerRequest::FetchShards { shards: Vec::new() });
            let named = request_len(PeerRequest::FetchShards { shards });
            self.count_call(index, parent, empty + head_bytes + 8);
            self.count_call(index, parent, named + head_bytes + encoded_len + 8);
        }
        let started = Instant::now();
        let node = &mut self.nodes[index];
        let revision = self.newest.head.revision;
        node.loaded = Arc::clone(&self.newest);
        node.tracker.on_head(revision, Moment(now));
        node.tracker.on_fetched(revision, self.zones);
        self.busy += started.elapsed();
        // Each reader notifies the nodes of its zone of the change.
        if rank < 2 {
            let peers: Vec<usize> = (zone..self.nodes.len()).step_by(self.zones).collect();
            for peer in peers {
                self.poll_peer(index, peer, now);
            }
        }
    }

    fn print(&self) {
        let seconds = SIMULATED_MS as f64 / 1000.0;
        let count = self.nodes.len() as f64;
        let sum = |of: fn(&Cost) -> u64| -> f64 {
            self.nodes.iter().map(|node| of(&node.cost)).sum::<u64>() as f64 / seconds
        };
        let most = self.nodes.iter().map(|node| node.cost.peer_bytes).max();
        println!(
            "{:>6} {:>6} {:>12.2} {:>12.3} {:>12.0} {:>12.2} {:>12.0} {:>12.0} {:>10.1}",
            self.nodes.len(),
            self.zones,
            sum(|cost| cost.store_calls),
            sum(|cost| cost.store_calls) / count,
            sum(|cost| cost.store_bytes) / count,
            sum(|cost| cost.host_calls),
            sum(|cost| cost.peer_bytes) / count,
            most.unwrap_or(0) as f64 / seconds,
            self.busy.as_micros() as f64 / count / seconds,
        );
    }
}

/// Creates the loaded configuration with the given content. Shards that differ from those of
/// `loaded` get the number `number`.
fn build(loaded: &LoadedConfig, content: &ConfigSnapshot, number: u64) -> LoadedConfig {
    let shards = encode_shards(content).expect("the content fits into shards");
    let mut head = ConfigHead {
        revision: ConfigRevision(number),
        shards: Vec::new(),
    };
    let mut encoded_shards = Vec::new();
    for (name, bytes) in shards.iter() {
        let same = loaded
            .shards
            .iter()
            .find(|(shard, known)| shard.name == *name && known.as_slice() == bytes.as_slice());
        let shard = same.map_or_else(
            || ShardRef {
                name: name.clone(),
                number,
            },
            |(shard, _)| shard.clone(),
        );
        head.shards.push(shard.clone());
        encoded_shards.push(ShardBytes {
            shard,
            bytes: bytes.clone(),
        });
    }
    loaded
        .assemble(head, encoded_shards)
        .expect("all shards are given")
}

/// Creates a configuration with 9.5 upstreams, two keys and one customer per node.
fn content(nodes: usize) -> ConfigSnapshot {
    let mut snapshot = ConfigSnapshot::default();
    for index in 0..nodes {
        snapshot.customers.push(CustomerRecord {
            name: name(&format!("customer-{index}")),
            weight: 1,
            retry_percent: 10,
            priority: None,
        });
        for key in 0..2 {
            snapshot.keys.push(KeyRecord {
                digest: KeyDigest::of(&format!("key-{index}-{key}")),
                customer: name(&format!("customer-{index}")),
                label: name(&format!("label-{key}")),
            });
        }
    }
    for index in 0..nodes * 19 / 2 {
        snapshot.upstreams.push(UpstreamRecord {
            name: name(&format!("upstream-{index:05}")),
            service: name("drafting"),
            zone: zone_name(index % 12),
            agent: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000)),
            added_ms: 1_700_000_000_000,
            removed_ms: None,
        });
    }
    snapshot.sort();
    snapshot
}

fn lease(rank: usize) -> LeaseState {
    let mut state = LeaseState::new(READER_LEASE_TTL_MS, READER_LEASE_TTL_MS / 10, 0);
    // The nodes of a zone compete alternately for its two reader leases, so the rank for a lease is
    // half the rank in the zone.
    state.set_rank(u32::try_from(rank / 2).unwrap_or(u32::MAX));
    state
}

fn request_len(request: PeerRequest) -> u64 {
    len(&PeerEnvelope {
        revision: ConfigRevision(1000),
        request,
    })
}

fn report_len(report: PropagationReport) -> u64 {
    len(&PeerFrame::Spread(report))
}

fn len(value: &impl Serialize) -> u64 {
    postcard::to_allocvec(value).map_or(0, |bytes| bytes.len() as u64 + 4)
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn zone_name(zone: usize) -> ObjectName {
    name(&format!("zone-{zone:02}"))
}
