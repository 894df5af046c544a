//! Work for others on hosts of different sizes, and hosts that near their bounds, without a network.

mod common;

use {
    catkindeck::Moment,
    catkindeck_policy::direct::{
        CapacityScale, DiscoveredUpstream, HostCapacity, HostLoad, LinkMeter, LoadBoard,
        PeerStanding, PlainQuery, RateLimits, ShedGuard, ShedStage, UnreadyAllowance, UpstreamKey,
        UpstreamTable, ZoneEntry, rank_by_room, rendezvous_score,
    },
    common::{fuzz_config, name},
    proptest::prelude::*,
    std::collections::VecDeque,
};

/// The entries of the tile utility: from a sixteenth to half a core, 112 to 512 MB, 42 to 200 Mbit/s.
const ENTRIES: usize = 31;

/// How long a plain upstream takes for a lookup, in microseconds.
const LOOKUP_US: u64 = 21_000;

/// The age at which a list of processes is no longer used, in milliseconds.
const MAX_LIST_AGE_MS: u64 = 3_000;

fn capacity(number: usize) -> HostCapacity {
    let size = 1 + (number % 8) as u32;
    HostCapacity {
        cpu_millicores: 63 * size,
        memory_mb: 64 + 56 * size,
        link_mbps: 25 * size,
        descriptors: 1_024 * size,
    }
}

fn hosts() -> Vec<(String, HostCapacity)> {
    (0..ENTRIES)
        .map(|number| (format!("entry-{number}"), capacity(number)))
        .collect()
}

fn scale_of(hosts: &[(String, HostCapacity)]) -> CapacityScale {
    CapacityScale::of(hosts.iter().map(|(_, capacity)| *capacity))
}

fn use_percent(units: u32, capacity: HostCapacity) -> u32 {
    units * 100 * 8 / (capacity.link_mbps / 25) / 100
}

/// Returns the use of the fullest host after every process has relayed `calls` calls, one after the other.
fn fullest_host(calls: u32, choose: impl Fn(usize, u32, &[u32]) -> usize) -> u32 {
    let hosts = hosts();
    let mut units = vec![0; ENTRIES];
    for call in 0..calls {
        for process in 0..ENTRIES {
            let chosen = choose(process, call, &units);
            units[chosen] += 1;
        }
    }
    let uses = units.iter().zip(&hosts);
    uses.map(|(units, (_, capacity))| use_percent(*units, *capacity))
        .max()
        .expect("there are hosts")
}

/// Guards against relayed calls that fill the smallest hosts: when the store turns many processes away, each of them
/// sends all of its calls to the peers that are next in the list, whatever these can carry.
#[test]
fn relayed_calls_go_where_there_is_room() {
    let hosts = hosts();
    let scale = scale_of(&hosts);
    let by_name = fullest_host(6, |process, _, _| {
        // The list of processes, rotated by a part of the process's random identifier.
        let offset = rendezvous_score(&[&process.to_le_bytes()]) % ENTRIES as u64;
        match usize::try_from(offset).expect("it is an index") {
            own if own == process => (own + 1) % ENTRIES,
            other => other,
        }
    });
    let by_room = fullest_host(6, |process, _, units| {
        let load = |index: usize| HostLoad {
            link_percent: u8::try_from(use_percent(units[index], hosts[index].1)).unwrap_or(100),
            ..HostLoad::default()
        };
        let standings: Vec<PeerStanding<'_>> = hosts
            .iter()
            .enumerate()
            .map(|(index, (host, capacity))| PeerStanding {
                host,
                capacity: *capacity,
                load: Some(load(index)),
                is_same_zone: index % 3 == process % 3,
            })
            .collect();
        let order = rank_by_room(&scale, hosts[process].0.as_bytes(), &standings);
        let others = order.into_iter().find(|index| *index != process);
        others.expect("there is another host")
    });
    assert!(
        by_room * 2 <= by_name,
        "{by_room} % by room, {by_name} % by name"
    );
}

/// Guards against calls that a host without room gets although another one has some, and against bytes between
/// zones while a host of the same zone has room.
#[test]
fn hosts_without_room_come_last_and_the_own_zone_first() {
    let load = |link_percent: u8, is_shedding: bool| {
        Some(HostLoad {
            link_percent,
            is_shedding,
            ..HostLoad::default()
        })
    };
    let peer = |host, load, is_same_zone| PeerStanding {
        host,
        capacity: capacity(3),
        load,
        is_same_zone,
    };
    let peers = [
        peer("sheds", load(10, true), true),
        peer("full", load(90, false), true),
        peer("other-zone", load(10, false), false),
        peer("near", load(50, false), true),
        peer("unknown", None, true),
    ];
    let scale = CapacityScale::of([capacity(3)].into_iter());
    for own in 0..50_u32 {
        let order = rank_by_room(&scale, &own.to_le_bytes(), &peers);
        let names: Vec<&str> = order.iter().map(|index| peers[*index].host).collect();
        assert_eq!(names[2..], ["other-zone", "full", "sheds"], "{names:?}");
    }
}

/// Guards against shared work at small hosts, and against the loss of one host that moves the work of all others.
#[test]
fn shared_choices_fall_on_strong_hosts_and_few_move() {
    let hosts = hosts();
    let choose = |hosts: &[(String, HostCapacity)], service: usize| {
        let scale = scale_of(hosts);
        let service = format!("service-{service}");
        let rank = |(host, capacity): &&(String, HostCapacity)| {
            scale.shared_rank(*capacity, &[service.as_bytes(), host.as_bytes()])
        };
        hosts
            .iter()
            .max_by_key(rank)
            .expect("there are hosts")
            .0
            .clone()
    };
    let before: Vec<String> = (0..200).map(|service| choose(&hosts, service)).collect();
    let scale = scale_of(&hosts);
    for chosen in &before {
        let (_, capacity) = hosts
            .iter()
            .find(|(host, _)| host == chosen)
            .expect("it is listed");
        assert!(scale.weight(*capacity) >= 500, "{chosen}");
    }
    let mut reversed = hosts.clone();
    reversed.reverse();
    for lost in [4, 6, 12, 0] {
        let name = &hosts[lost].0;
        reversed.retain(|(host, _)| host != name);
        for (service, former) in before.iter().enumerate() {
            let chosen = choose(&reversed, service);
            assert!(chosen == *former || former == name, "service {service}");
        }
        reversed.push(hosts[lost].clone());
    }
}

/// Guards against a deployment of equal hosts that is served in another way than before, also while some of them run
/// an earlier build and only their processor is known.
#[test]
fn equal_hosts_and_those_of_earlier_builds_are_even() {
    let known = capacity(3);
    let earlier = HostCapacity {
        cpu_millicores: known.cpu_millicores,
        ..HostCapacity::default()
    };
    assert!(!CapacityScale::of([known, earlier, known].into_iter()).is_uneven());
    assert!(!CapacityScale::default().is_uneven());
    let scale = CapacityScale::of([known, earlier, capacity(7)].into_iter());
    assert!(scale.is_uneven());
    // Its unknown memory and link neither favour nor exclude it.
    assert_eq!(scale.weight(earlier), 500);
}

/// Guards against a host that is avoided, or filled, for what it said long ago.
#[test]
fn loads_are_forgotten() {
    let host = "10.0.0.1:7660".parse().expect("the address is valid");
    let mut board = LoadBoard::default();
    board.record(Moment(1_000), host, HostLoad::default());
    assert!(board.find(Moment(5_900), host).is_some());
    assert_eq!(board.find(Moment(6_000), host), None);
}

/// Guards against a host that refuses callers before it refuses relayed work, and against one that says that it is
/// not ready for a short peak.
#[test]
fn relayed_work_is_refused_first_and_readiness_last() {
    let mut guard = ShedGuard::default();
    let mut stages = Vec::new();
    for step in 0..40 {
        let stage = guard.observe(Moment(step * 100), 60 + step as u32, true);
        if stages.last() != Some(&stage) {
            stages.push(stage);
        }
    }
    let order = [
        ShedStage::Open,
        ShedStage::RelayedWork,
        ShedStage::NewWork,
        ShedStage::Unready,
    ];
    assert_eq!(stages, order);

    let mut guard = ShedGuard::default();
    for now in [0, 200, 400] {
        assert_eq!(guard.observe(Moment(now), 95, true), ShedStage::NewWork);
    }
    assert_eq!(guard.observe(Moment(450), 20, true), ShedStage::NewWork);
}

/// Guards against a host that is ready and unready by turns: bodies of slow callers come and go within fractions of
/// a second.
#[test]
fn a_use_that_swings_does_not_change_the_stage() {
    let mut guard = ShedGuard::default();
    let mut changes = 0;
    let mut before = guard.stage();
    for step in 0..600 {
        let used = if step % 7 < 3 { 95 } else { 55 };
        let stage = guard.observe(Moment(step * 100), used, true);
        changes += usize::from(stage != before);
        before = stage;
    }
    assert!(changes <= 2, "{changes} changes");
}

/// Guards against a return time at which the caller would be refused again though the host has emptied at once, and
/// against a host that stays closed.
#[test]
fn the_return_time_holds_once_the_host_is_empty() {
    for full_ms in [100, 2_000] {
        let mut guard = ShedGuard::default();
        let mut now = 0;
        while now < full_ms {
            guard.observe(Moment(now), 100, true);
            now += 100;
        }
        guard.observe(Moment(now), 10, true);
        let return_ms = guard.return_ms(Moment(now));
        let end = now + return_ms;
        let mut stage = guard.stage();
        assert!(stage >= ShedStage::NewWork);
        while now < end {
            assert!(stage >= ShedStage::NewWork, "open {} ms early", end - now);
            now += 50;
            stage = guard.observe(Moment(now), 10, true);
        }
        // Between two observations, a stage begins up to 50 ms late.
        stage = guard.observe(Moment(now + 50), 10, true);
        assert!(stage < ShedStage::NewWork, "{stage:?} after {return_ms} ms");
        for later in 0..30 {
            stage = guard.observe(Moment(now + 100 + later * 50), 10, true);
        }
        assert_eq!(stage, ShedStage::Open);
    }
}

/// Guards against an entry that stays unready after others of its zone have left.
#[test]
fn an_entry_that_is_needed_is_ready_at_once_and_refuses_request_by_request() {
    let mut guard = ShedGuard::default();
    for step in 0..20 {
        guard.observe(Moment(step * 100), 100, true);
    }
    assert_eq!(guard.stage(), ShedStage::Unready);
    assert_eq!(guard.observe(Moment(2_000), 100, false), ShedStage::NewWork);
    assert_eq!(guard.observe(Moment(9_000), 100, false), ShedStage::NewWork);
}

/// Guards against a single entry of a zone that is unready, and against entries beside drained ones.
#[test]
fn a_zone_keeps_half_of_its_entries() {
    let allowed = |total: usize, draining: usize| {
        let hosts: Vec<String> = (0..total).map(|number| format!("entry-{number}")).collect();
        let entries: Vec<ZoneEntry<'_>> = hosts
            .iter()
            .enumerate()
            .map(|(number, host)| ZoneEntry {
                host,
                is_draining: number < draining,
            })
            .collect();
        let is_allowed = |own: &String| {
            let mut allowance = UnreadyAllowance::default();
            allowance.observe(Moment(0), own, &entries, 0);
            allowance.observe(Moment(MAX_LIST_AGE_MS), own, &entries, 0)
        };
        hosts.iter().filter(|host| is_allowed(host)).count()
    };
    assert_eq!(allowed(1, 0), 0);
    assert_eq!(allowed(2, 0), 1);
    assert_eq!(allowed(11, 0), 5);
    assert_eq!(allowed(11, 3), 2);
    assert_eq!(allowed(4, 3), 0);
}

/// A change of the entries of a zone: after this time, the entry with this number registers, or leaves.
type ZoneChange = (u64, usize, bool);

/// What one entry knows of its zone.
struct ZoneView {
    allowance: UnreadyAllowance,
    list: Vec<usize>,
    listed_at: u64,
    /// The time between two lists, in milliseconds; a cut entry gets none after the first one.
    interval_ms: u64,
    is_cut: bool,
}

impl ZoneView {
    fn restart(&mut self) {
        self.allowance = UnreadyAllowance::default();
        self.list.clear();
    }
}

/// Plays changes of a zone in which all entries are always full, and returns the first moment at which more than
/// half of the entries were unready, of those listed at any time that a list may be old.
fn first_breach(changes: &[ZoneChange], views: &mut [ZoneView]) -> Option<u64> {
    let mut listed: Vec<usize> = vec![0, 1, 2];
    let mut history: VecDeque<(u64, usize)> = VecDeque::new();
    let mut pending: VecDeque<ZoneChange> = changes.iter().copied().collect();
    let mut next_at = pending.front().map_or(u64::MAX, |change| change.0);
    for now in (0..40_000).step_by(100) {
        while now >= next_at {
            let (_, entry, joins) = pending.pop_front().expect("a change is due");
            listed.retain(|known| *known != entry);
            if !joins && entry % 2 == 0 {
                // The process ended; one that only lost its registration goes on with what it knows.
                views[entry].restart();
            }
            if joins || listed.is_empty() {
                listed.push(entry);
            }
            next_at = pending.front().map_or(u64::MAX, |change| now + change.0);
        }
        history.push_back((now, listed.len()));
        while history
            .front()
            .is_some_and(|(at, _)| at + MAX_LIST_AGE_MS + 200 < now)
        {
            history.pop_front();
        }
        let mut unready = 0;
        for (entry, view) in views.iter_mut().enumerate() {
            let is_listed = listed.contains(&entry);
            if !is_listed && view.list.is_empty() {
                continue;
            }
            if now >= view.listed_at + view.interval_ms && !view.is_cut || view.list.is_empty() {
                view.list.clone_from(&listed);
                view.listed_at = now;
            }
            let names: Vec<String> = view
                .list
                .iter()
                .map(|entry| format!("entry-{entry}"))
                .collect();
            let entries: Vec<ZoneEntry<'_>> = names
                .iter()
                .map(|host| ZoneEntry {
                    host,
                    is_draining: false,
                })
                .collect();
            let own = format!("entry-{entry}");
            let age_ms = now - view.listed_at;
            let is_allowed = view.allowance.observe(Moment(now), &own, &entries, age_ms);
            unready += usize::from(is_allowed && is_listed);
        }
        let most = history.iter().map(|(_, count)| *count).max().unwrap_or(0);
        if unready * 2 > most {
            return Some(now);
        }
    }
    None
}

proptest! {
    #![proptest_config(fuzz_config(0x5ed_0001))]

    /// Guards against a zone whose entries are all unready while lists reach them at different times, some not at
    /// all, and entries register and leave.
    #[test]
    fn at_most_half_of_a_zone_is_unready(
        changes in prop::collection::vec((100_u64..4_000, 0_usize..8, any::<bool>()), 0..16),
        intervals in prop::collection::vec((100_u64..2_900, prop::bool::weighted(0.2)), 8),
    ) {
        let mut views: Vec<ZoneView> = intervals
            .iter()
            .map(|(interval_ms, is_cut)| ZoneView {
                allowance: UnreadyAllowance::default(),
                list: Vec::new(),
                listed_at: 0,
                interval_ms: *interval_ms,
                is_cut: *is_cut,
            })
            .collect();
        prop_assert_eq!(first_breach(&changes, &mut views), None);
    }
}

/// Guards against a host that refuses callers because one copy or one list used its link fully for a moment.
#[test]
fn a_single_transfer_does_not_fill_a_link() {
    let mut meter = LinkMeter::default();
    let mut total = 0;
    let mut used = Vec::new();
    // 42 Mbit/s carry 5,250,000 bytes a second.
    for second in 0..12_u64 {
        total += if second == 3 || second >= 6 {
            5_250_000
        } else {
            100_000
        };
        meter.record(Moment(second * 1_000), total);
        used.push(meter.use_percent(42));
    }
    assert!(used[..6].iter().all(|percent| *percent < 50), "{used:?}");
    assert!(used[11] >= 85, "{used:?}");
    assert_eq!(meter.use_percent(0), 0, "an unknown rate is no bound");
}

fn desk(number: usize, zone: &str) -> DiscoveredUpstream {
    DiscoveredUpstream {
        id: name(&format!("desk-{number}")),
        service: name("desks"),
        zone: name(zone),
        address: format!("127.0.0.1:{}", number + 1)
            .parse()
            .expect("the address is valid"),
        slots: 6,
        draining: false,
        cold_ms: 0,
        heartbeat: 1,
        born_ms: 1,
        software: "1".try_into().expect("the version is valid"),
        weights: Vec::new(),
    }
}

/// Returns the zones of the upstreams that get requests of `zone-a` one after the other, none of which ends, while
/// connections are open to the upstream of `zone-a` only.
fn zones_in_turn(avoids_slow: bool, avoids_full: bool) -> Vec<String> {
    let mut table = UpstreamTable::new();
    let zones = ["zone-a", "zone-b", "zone-c"].into_iter().enumerate();
    let list = zones.map(|(number, zone)| desk(number, zone)).collect();
    table.apply(Moment(0), list);
    let keys: Vec<UpstreamKey> = table.iter().map(|(key, _)| key).collect();
    for key in keys {
        let state = table.get_mut(key);
        state.record_latency(LOOKUP_US);
        state.plain.record_latency(Moment(900), LOOKUP_US);
    }
    let own = desk(0, "zone-a").address;
    let mut chosen_zones = Vec::new();
    for request in 0..18 {
        let query = PlainQuery {
            service: &name("desks"),
            avoids_slow,
            avoids_full,
            software: None,
            excluded: &[],
            zone: &name("zone-a"),
            connected: &|address| address == own,
        };
        let chosen = table.select_plain(Moment(1_000 + request), &query, RateLimits::NONE);
        let state = table.get_mut(chosen.expect("an upstream is listed"));
        state.in_flight += 1;
        chosen_zones.push(state.record.zone.to_string());
    }
    chosen_zones
}

/// Guards against plain requests that wait at the full upstream of their own zone, to which a connection is open,
/// while places of other zones are free.
#[test]
fn the_overflow_of_a_zone_goes_to_other_zones() {
    for avoids_slow in [false, true] {
        let full = |zones: &[String]| zones.iter().filter(|zone| *zone == "zone-a").count();
        let before = zones_in_turn(avoids_slow, false);
        assert!(full(&before) > 6, "the load fills no upstream: {before:?}");
        let chosen = zones_in_turn(avoids_slow, true);
        assert_eq!(full(&chosen), 6, "{chosen:?}");
        // The own zone and its connections are still preferred while it has room.
        assert_eq!(full(&chosen[..3]), 3, "{chosen:?}");
    }
}
