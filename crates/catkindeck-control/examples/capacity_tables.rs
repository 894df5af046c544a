//! Prints figures for `docs/CAPACITY.md`: the memory of tables of agents and entries by the number
//! of table entries, and the processor time in which an entry recomputes its subset of upstreams.
//!
//! Bytes are counted at the allocator, without its own overhead: those that are allocated and not
//! freed. Milliseconds depend on the machine and differ between runs.

#![allow(unsafe_code)]

use {
    catkindeck::{
        Moment,
        config::{ConfigRevision, ConfigSnapshot, CustomerRecord, KeyRecord, UpstreamRecord},
        id::{BodyDigest, BootId, IncarnationId, KeyDigest, ObjectName, RequestId},
        message::{
            CallBody, CrashReport, ExecuteRequest, PeerFrame, ShardBytes, ShardRef, WorkBody,
            WorkClass,
        },
    },
    catkindeck_control::propagation::{ConfigHead, LoadedConfig, encode_shards},
    catkindeck_policy::{
        AdmissionQueue, AdmissionRequest, AdmissionSettings, CrashQuarantine, ExecutionSettings,
        ExecutionTable, RecordHistory, RetryBudget, RouterSettings, UpstreamRouter,
    },
    std::{
        alloc::{GlobalAlloc, Layout, System},
        sync::atomic::{AtomicUsize, Ordering},
        time::Instant,
    },
};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Forwards to the system allocator and counts the bytes in use.
struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator, and counting does not
// allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];

fn main() {
    println!("# bytes in use with {SIZES:?} entries, and bytes per additional entry");
    print_row("agent: ExecutionTable, without idempotency keys", |size| {
        table(size, false)
    });
    print_row("agent: ExecutionTable, with idempotency keys", |size| {
        table(size, true)
    });
    print_row("agent: AdmissionQueue, 50 customers", |size| {
        queue(size, 50)
    });
    print_row("agent: AdmissionQueue, one customer per request", |size| {
        queue(size, size)
    });
    print_row("agent and entry: CrashQuarantine", quarantine);
    print_row(
        "agent and entry: ConfigSnapshot (1 customer, key, upstream each)",
        configuration,
    );
    print_row("entry: LoadedConfig (shards, snapshot)", loaded_config);
    print_row("entry: RetryBudget, customers", budget);
    print_row("entry: UpstreamRouter, subset of upstreams", |size| {
        router(size, 60)
    });

    println!("\n# processor time of UpstreamRouter::set_members, ms");
    for (upstreams, entries) in [(95, 10), (950, 100), (2_850, 300), (5_700, 600)] {
        let (upstream_list, entry_list) = (upstream_records(upstreams), entry_names(entries));
        let settings = RouterSettings::default();
        let mut router = UpstreamRouter::new(settings, name("entry-0"), 1);
        let started = Instant::now();
        for _ in 0..5 {
            router.set_members(&upstream_list, &[], &entry_list);
        }
        let time = started.elapsed().as_secs_f64() * 1e3 / 5.0;
        let members = router.members(&name("drafting")).len();
        println!("{upstreams:>6} upstreams {entries:>4} entries {time:>9.3} ms {members:>4} used");
    }
}

fn print_row<T>(what: &str, build: impl Fn(usize) -> T) {
    let bytes = SIZES.map(|size| {
        let before = LIVE_BYTES.load(Ordering::Relaxed);
        let built = build(size);
        let used = LIVE_BYTES.load(Ordering::Relaxed) - before;
        drop(built);
        used
    });
    let slope = (bytes[3] - bytes[2]) / (SIZES[3] - SIZES[2]);
    println!("{what:<64} {bytes:?} {slope}");
}

fn table(size: usize, keyed: bool) -> ExecutionTable {
    let settings = ExecutionSettings::default();
    let incarnation = IncarnationId([1; 16]);
    let mut table = ExecutionTable::new(settings, incarnation, Moment(0), RecordHistory::Complete);
    let boot = BootId("boot-0123456789abcdef".to_owned());
    for number in 0..size {
        let work = execute(number, keyed);
        table
            .begin(Moment(0), &work)
            .expect("the table is not full");
        table
            .start(&work.request, &boot)
            .expect("the request is not started");
    }
    table
}

fn execute(number: usize, keyed: bool) -> ExecuteRequest {
    ExecuteRequest {
        request: request(number),
        incarnation: None,
        customer: Some(name(&format!("customer-{:04}", number % 1_000))),
        route: name("drafting"),
        service: name("drafting"),
        class: WorkClass::Interactive,
        priority: 0,
        attempt: 1,
        deadline_ms: 30_000,
        idempotent: false,
        idempotency_key: keyed.then(|| format!("key-{number:028}")),
        digest: BodyDigest([7; 32]),
        sample: None,
        body: WorkBody::Call(CallBody {
            method: "POST".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            bytes: Vec::new(),
        }),
    }
}

fn queue(size: usize, customers: usize) -> AdmissionQueue {
    let settings = AdmissionSettings {
        queue_limit: 20_000,
        ..AdmissionSettings::default()
    };
    let mut queue = AdmissionQueue::new(settings, Moment(0));
    for number in 0..size {
        let offered = AdmissionRequest {
            request: request(number),
            customer: Some(name(&format!("customer-{:05}", number % customers))),
            class: WorkClass::Interactive,
            priority: 0,
            deadline: Moment(1_000_000),
            service_limit: 10,
            entry: None,
        };
        queue
            .offer(Moment(0), offered)
            .expect("the table is not full");
    }
    queue
}

fn quarantine(size: usize) -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::new();
    for number in 0..size {
        let mut digest = [0; 32];
        digest[..8].copy_from_slice(&number.to_be_bytes());
        for upstream in ["upstream-00001", "upstream-00002"] {
            let crash = CrashReport {
                digest: BodyDigest(digest),
                upstream: name(upstream),
            };
            quarantine.report(Moment(1), &crash);
        }
    }
    quarantine
}

fn configuration(size: usize) -> ConfigSnapshot {
    let customers = (0..size).map(|number| CustomerRecord {
        name: name(&format!("customer-{number:05}")),
        weight: 1,
        retry_percent: 10,
        priority: None,
    });
    let keys = (0..size).map(|number| KeyRecord {
        digest: KeyDigest::of(&format!("key-{number}")),
        customer: name(&format!("customer-{number:05}")),
        label: name("label-0"),
    });
    let mut snapshot = ConfigSnapshot {
        customers: customers.collect(),
        keys: keys.collect(),
        upstreams: upstream_records(size),
        ..ConfigSnapshot::default()
    };
    snapshot.sort();
    // Nodes hold a copy that was decoded from a message.
    let bytes = postcard::to_allocvec(&PeerFrame::Configuration(Box::new(snapshot)));
    match postcard::from_bytes(&bytes.expect("the value is encodable")) {
        Ok(PeerFrame::Configuration(snapshot)) => *snapshot,
        _ => unreachable!("the frame was encoded just before"),
    }
}

fn loaded_config(size: usize) -> LoadedConfig {
    let shards = encode_shards(&configuration(size)).expect("the content fits into shards");
    let mut head = ConfigHead {
        revision: ConfigRevision(1),
        shards: Vec::new(),
    };
    let mut shard_bytes = Vec::new();
    for (shard_name, bytes) in shards.iter() {
        let shard = ShardRef {
            name: shard_name.clone(),
            number: 1,
        };
        head.shards.push(shard.clone());
        shard_bytes.push(ShardBytes {
            shard,
            bytes: bytes.clone(),
        });
    }
    LoadedConfig::default()
        .assemble(head, shard_bytes)
        .expect("all shards are given")
}

fn budget(size: usize) -> RetryBudget {
    let mut budget = RetryBudget::new();
    for number in 0..size {
        let customer = name(&format!("customer-{number:05}"));
        budget.deposit(Moment(1), Some(&customer), &name("drafting"), 10);
    }
    budget
}

/// Creates a router whose subset contains all of the `size` upstreams.
fn router(size: usize, entries: usize) -> UpstreamRouter {
    let settings = RouterSettings {
        subset_size: size,
        ..RouterSettings::default()
    };
    let mut router = UpstreamRouter::new(settings, name("entry-0"), 1);
    router.set_members(&upstream_records(size), &[], &entry_names(entries));
    router
}

fn upstream_records(count: usize) -> Vec<UpstreamRecord> {
    let upstream = |number: usize| UpstreamRecord {
        name: name(&format!("upstream-{number:05}")),
        service: name("drafting"),
        zone: name(&format!("zone-{:02}", number % 12)),
        agent: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000).into(),
        added_ms: 1_700_000_000_000,
        removed_ms: None,
    };
    (0..count).map(upstream).collect()
}

fn entry_names(count: usize) -> Vec<ObjectName> {
    let entry = |number| name(&format!("entry-{number}"));
    (0..count).map(entry).collect()
}

fn request(number: usize) -> RequestId {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestId(bytes)
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}
