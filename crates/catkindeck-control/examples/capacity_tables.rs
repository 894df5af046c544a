//! Prints the memory of the tables of an agent and an entry by the number of table entries, and the
//! processor time of recomputing an entry's subset, for `docs/CAPACITY.md`.
//!
//! Bytes are those allocated and not freed, counted at the allocator without its own overhead.
//! Milliseconds are measured on this machine and differ between runs.

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

static LIVE: AtomicUsize = AtomicUsize::new(0);

/// Counts the bytes in use.
struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator; counting does not allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];

fn main() {
    println!("# bytes in use at {SIZES:?} entries, and a further entry's share");
    row("agent: ExecutionTable, no key", |size| table(size, false));
    row("agent: ExecutionTable, keyed", |size| table(size, true));
    row("agent: AdmissionQueue, 50 customers", |size| {
        queue(size, 50)
    });
    row("agent: AdmissionQueue, 1 each", |size| queue(size, size));
    row("both: CrashQuarantine", quarantine);
    row(
        "both: ConfigSnapshot (1 customer, key, upstream each)",
        configuration,
    );
    row("entry: LoadedConfig (shards, snapshot)", loaded);
    row("entry: RetryBudget, customers", budget);
    row("entry: UpstreamRouter, subset of upstreams", |size| {
        router(size, 60)
    });

    println!("\n# processor time of UpstreamRouter::set_members, ms");
    for (upstreams, entries) in [(95, 10), (950, 100), (2_850, 300), (5_700, 600)] {
        let (upstreams_list, entries_list) = (upstreams_of(upstreams), entries_of(entries));
        let settings = RouterSettings::default();
        let mut router = UpstreamRouter::new(settings, name("entry-0"), 1);
        let started = Instant::now();
        for _ in 0..5 {
            router.set_members(&upstreams_list, &[], &entries_list);
        }
        let time = started.elapsed().as_secs_f64() * 1e3 / 5.0;
        let members = router.members(&name("drafting")).len();
        println!("{upstreams:>6} upstreams {entries:>4} entries {time:>9.3} ms {members:>4} used");
    }
}

fn row<T>(what: &str, build: impl Fn(usize) -> T) {
    let bytes = SIZES.map(|size| {
        let before = LIVE.load(Ordering::Relaxed);
        let built = build(size);
        let used = LIVE.load(Ordering::Relaxed) - before;
        drop(built);
        used
    });
    let slope = (bytes[3] - bytes[2]) / (SIZES[3] - SIZES[2]);
    println!("{what:<54} {bytes:?} {slope}");
}

fn table(size: usize, keyed: bool) -> ExecutionTable {
    let settings = ExecutionSettings::default();
    let incarnation = IncarnationId([1; 16]);
    let mut table = ExecutionTable::new(settings, incarnation, Moment(0), RecordHistory::Complete);
    let boot = BootId("boot-0123456789abcdef".to_owned());
    for number in 0..size {
        let work = execute(number, keyed);
        table.begin(Moment(0), &work).expect("there is room");
        table.start(&work.request, &boot).expect("it is queued");
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
        queue.offer(Moment(0), offered).expect("there is room");
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
        upstreams: upstreams_of(size),
        ..ConfigSnapshot::default()
    };
    snapshot.sort();
    // The copy that a node holds was decoded from a message.
    let bytes = postcard::to_allocvec(&PeerFrame::Configuration(Box::new(snapshot)));
    match postcard::from_bytes(&bytes.expect("the value is encodable")) {
        Ok(PeerFrame::Configuration(snapshot)) => *snapshot,
        _ => unreachable!("the frame was encoded just before"),
    }
}

fn loaded(size: usize) -> LoadedConfig {
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
        .advance(head, shard_bytes)
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

/// Returns a router that uses all of `size` upstreams.
fn router(size: usize, entries: usize) -> UpstreamRouter {
    let settings = RouterSettings {
        subset_size: size,
        ..RouterSettings::default()
    };
    let mut router = UpstreamRouter::new(settings, name("entry-0"), 1);
    router.set_members(&upstreams_of(size), &[], &entries_of(entries));
    router
}

fn upstreams_of(count: usize) -> Vec<UpstreamRecord> {
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

fn entries_of(count: usize) -> Vec<ObjectName> {
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
