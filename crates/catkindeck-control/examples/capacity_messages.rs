//! Prints the encoded sizes of messages and of the configuration for `docs/CAPACITY.md`.
//!
//! Bytes are exact: they include the length prefix of a frame, but no overhead of the transport.
//! Microseconds depend on the machine and differ between runs.

use {
    catkindeck::{
        config::{
            ConfigRevision, ConfigSnapshot, CustomerRecord, KeyRecord, UpstreamRecord, ZoneRecord,
            ZoneState,
        },
        id::{BodyDigest, BootId, IncarnationId, KeyDigest, ObjectName, RequestId},
        message::{
            CompletionBody, ExecuteRequest, ExecutionRecord, ExecutionState, LoadReport, OrderKind,
            PeerEnvelope, PeerFrame, PeerRequest, SampleId, ShardRef, UpstreamOrder, UsageLine,
            WorkBody, WorkClass,
        },
        platform::{HostRecord, HostState},
        token::{VersionLabels, WeightVersion},
    },
    catkindeck_control::{
        propagation::{ConfigHead, encode_shards},
        usage::{AgentWatermark, SealedUsage},
    },
    catkindeck_policy::{BatchRecord, BatchSample, StepEntry},
    serde::{Serialize, de::DeserializeOwned},
    std::{hint::black_box, time::Instant},
};

/// The numbers of customers, keys and upstreams for which sizes are printed.
const SIZES: [usize; 4] = [8, 100, 1_000, 10_000];

fn main() {
    println!("# frames: bytes, microseconds to encode, microseconds to decode");
    for prompt in [0, 1_000, 4_000] {
        print_frame(
            &format!("Execute, prompt of {prompt} bytes"),
            &call(execute(prompt)),
        );
    }
    for tokens in [1, 16, 256] {
        print_frame(&format!("Chunk of {tokens} tokens"), &chunk(tokens));
    }
    for prefixes in [0, 64] {
        let load = PeerFrame::Load(Box::new(load(prefixes)));
        print_frame(&format!("Load, {prefixes} prefixes"), &load);
        print_frame(
            &format!("Finished, {prefixes} prefixes"),
            &finished(prefixes),
        );
    }
    print_frame("ReadLoad", &call(PeerRequest::ReadLoad));
    print_frame("ReadRevision", &call(PeerRequest::ReadRevision));
    print_frame("Revision", &PeerFrame::Revision(ConfigRevision(1_000_000)));
    print_frame("FetchConfiguration", &call(PeerRequest::FetchConfiguration));
    print_frame("Order", &call(order()));
    print_frame("Done", &PeerFrame::Done);
    print_frame(
        "CollectUsage",
        &call(PeerRequest::CollectUsage {
            sealed_through: Some(29_000_000),
        }),
    );
    for lines in [8, 100, 1_000] {
        print_frame(
            &format!("Usage, {lines} lines"),
            &PeerFrame::Usage(usage(lines)),
        );
    }
    for count in [1, 128] {
        let samples = sample_ids(count);
        print_frame(
            &format!("ReleaseSamples of {count}"),
            &call(PeerRequest::ReleaseSamples { samples }),
        );
    }

    println!("\n# values in the store and of platform lists, as JSON: bytes");
    let entry = StepEntry::Offer(BatchRecord {
        cursor: 1,
        samples: batch(128),
    });
    print_json("log entry of a batch of 128 samples", &entry);
    print_json("sealed usage, 475 agents, 1,000 lines", &sealed(475, 1_000));
    for hosts in [11, 100, 1_000, 6_300] {
        let list = host_list(hosts);
        print_json(&format!("host list of {hosts}"), &list);
        let bytes = serde_json::to_vec(&list).expect("the value is encodable");
        let started = Instant::now();
        for _ in 0..10 {
            let parsed = serde_json::from_slice::<Vec<HostRecord>>(black_box(&bytes));
            black_box(parsed.expect("the value is decodable"));
        }
        let each = started.elapsed().as_secs_f64() * 1e6 / 10.0;
        println!("  parsed in {each:.0} us");
    }

    println!("\n# configuration with N customers, N keys and N upstreams");
    println!(
        "{:>7} {:>12} {:>10} {:>10} {:>8} {:>10} {:>10} {:>8}",
        "N", "whole bytes", "enc us", "dec us", "shards", "largest", "all shards", "head"
    );
    SIZES
        .iter()
        .for_each(|size| print_configuration(*size, *size));
    println!("  5,700 upstreams, 600 customers, 1,200 keys:");
    let target = configuration(600, 1_200, 5_700);
    print_snapshot(600, &target);
}

fn print_configuration(customers: usize, upstreams: usize) {
    print_snapshot(customers, &configuration(customers, customers, upstreams));
}

fn print_snapshot(label: usize, snapshot: &ConfigSnapshot) {
    let frame = PeerFrame::Configuration(Box::new(snapshot.clone()));
    let (bytes, encode, decode) = cost(&frame, 20);
    let shards = encode_shards(snapshot).expect("the content fits into shards");
    let lengths: Vec<usize> = shards.iter().map(|(_, bytes)| bytes.len()).collect();
    println!(
        "{label:>7} {bytes:>12} {encode:>10.1} {decode:>10.1} {:>8} {:>10} {:>10} {:>8}",
        lengths.len(),
        lengths.iter().max().unwrap_or(&0),
        lengths.iter().sum::<usize>(),
        head_len(shards.iter().map(|(shard_name, _)| shard_name)),
    );
}

/// Returns the encoded length of a head with the given shards.
fn head_len<'a>(shard_names: impl Iterator<Item = &'a String>) -> usize {
    let shards = shard_names.map(|shard_name| ShardRef {
        name: shard_name.clone(),
        number: 1_000_000,
    });
    let head = ConfigHead {
        revision: ConfigRevision(1_000_000),
        shards: shards.collect(),
    };
    head.encode().expect("the head is encodable").len()
}

fn print_frame<T: Serialize + DeserializeOwned>(what: &str, value: &T) {
    let (bytes, encode, decode) = cost(value, 2_000);
    println!("{what:<36} {bytes:>9} {encode:>9.2} {decode:>9.2}");
}

/// Returns the length including the length prefix, and the microseconds to encode and to decode the
/// value.
fn cost<T: Serialize + DeserializeOwned>(value: &T, rounds: u32) -> (usize, f64, f64) {
    let bytes = postcard::to_allocvec(value).expect("the value is encodable");
    let started = Instant::now();
    for _ in 0..rounds {
        black_box(postcard::to_allocvec(black_box(value)).expect("the value is encodable"));
    }
    let encode = started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    let started = Instant::now();
    for _ in 0..rounds {
        black_box(postcard::from_bytes::<T>(black_box(&bytes)).expect("the value is decodable"));
    }
    let decode = started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    (bytes.len() + 4, encode, decode)
}

fn print_json(what: &str, value: &impl Serialize) {
    let bytes = serde_json::to_vec(value).expect("the value is encodable");
    println!("{what:<40} {:>9}", bytes.len());
}

fn call(request: PeerRequest) -> PeerEnvelope {
    PeerEnvelope {
        revision: ConfigRevision(1_000_000),
        request,
    }
}

fn execute(prompt: usize) -> PeerRequest {
    PeerRequest::Execute(Box::new(ExecuteRequest {
        request: RequestId([7; 16]),
        incarnation: Some(IncarnationId([8; 16])),
        customer: Some(name("customer-0001")),
        route: name("drafting"),
        service: name("drafting"),
        class: WorkClass::Interactive,
        priority: 0,
        attempt: 1,
        deadline_ms: 30_000,
        idempotent: false,
        idempotency_key: None,
        digest: BodyDigest([9; 32]),
        sample: None,
        body: WorkBody::Completion(CompletionBody {
            prompt: "x".repeat(prompt),
            max_tokens: 256,
            resume_text: String::new(),
            resume_tokens: 0,
        }),
    }))
}

/// Returns a chunk of tokens of four bytes each.
fn chunk(tokens: u32) -> PeerFrame {
    PeerFrame::Chunk {
        request: RequestId([7; 16]),
        sequence: 100,
        bytes: "word".repeat(tokens as usize).into_bytes(),
        tokens,
        version: Some(WeightVersion(5_000)),
    }
}

fn load(prefixes: u64) -> LoadReport {
    LoadReport {
        incarnation: IncarnationId([8; 16]),
        boot: BootId("boot-0123456789abcdef".to_owned()),
        limit: 128,
        in_flight: 70,
        queued: 200,
        credits: 4,
        closed: false,
        version: Some(WeightVersion(5_000)),
        revision: ConfigRevision(1_000_000),
        prefixes: (0..prefixes).map(|number| u64::MAX - number).collect(),
    }
}

fn finished(prefixes: u64) -> PeerFrame {
    let mut labels = VersionLabels::default();
    labels.push(222, Some(WeightVersion(5_000)));
    PeerFrame::Finished {
        request: RequestId([7; 16]),
        chunks: 100,
        record: Box::new(ExecutionRecord {
            request: RequestId([7; 16]),
            customer: Some(name("customer-0001")),
            route: name("drafting"),
            idempotency_key: None,
            digest: BodyDigest([9; 32]),
            state: ExecutionState::Finished,
            boot: BootId("boot-0123456789abcdef".to_owned()),
            labels,
            status: 200,
            headers: Vec::new(),
            answer: Vec::new(),
            answer_kept: false,
        }),
        load: Box::new(load(prefixes)),
    }
}

fn order() -> PeerRequest {
    PeerRequest::Order(UpstreamOrder {
        order: RequestId([7; 16]),
        lease: name("run-07"),
        fence: 5_000,
        kind: OrderKind::Activate(WeightVersion(5_000)),
    })
}

fn usage(lines: usize) -> Vec<UsageLine> {
    let line = |number| UsageLine {
        window: 29_000_000,
        customer: Some(name(&format!("customer-{number:04}"))),
        service: name("drafting"),
        requests: 1_000,
        tokens: 200_000,
    };
    (0..lines).map(line).collect()
}

fn sealed(agents: usize, lines: usize) -> SealedUsage {
    let mark = |number| AgentWatermark {
        agent: name(&format!("upstream-{number:05}")),
        sealed_through: 29_000_000,
    };
    SealedUsage {
        zone: name("zone-01"),
        window: 29_000_000,
        lines: usage(lines),
        marks: (0..agents).map(mark).collect(),
    }
}

fn sample_ids(count: u32) -> Vec<SampleId> {
    let id = |number| SampleId {
        run: name("run-07"),
        step: 5_000,
        group: number / 8,
        index: number % 8,
        generation: 0,
    };
    (0..count).map(id).collect()
}

fn batch(count: u32) -> Vec<BatchSample> {
    let samples = sample_ids(count).into_iter();
    samples
        .map(|id| BatchSample {
            id,
            digest: [200; 32],
        })
        .collect()
}

fn host_list(count: usize) -> Vec<HostRecord> {
    let host = |number: usize| HostRecord {
        host: name(&format!("upstream-{number:05}")),
        zone: name(&format!("zone-{:02}", number % 12)),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000).into(),
        role: "agent".to_owned(),
        state: HostState::Live,
    };
    (0..count).map(host).collect()
}

fn configuration(customers: usize, keys: usize, upstreams: usize) -> ConfigSnapshot {
    let mut snapshot = ConfigSnapshot {
        revision: ConfigRevision(1_000_000),
        ..ConfigSnapshot::default()
    };
    snapshot.customers = (0..customers)
        .map(|number| CustomerRecord {
            name: name(&format!("customer-{number:05}")),
            weight: 1,
            retry_percent: 10,
            priority: None,
        })
        .collect();
    snapshot.keys = (0..keys)
        .map(|number| KeyRecord {
            digest: KeyDigest::of(&format!("key-{number}")),
            customer: name(&format!("customer-{:05}", number % customers)),
            label: name("label-0"),
        })
        .collect();
    snapshot.upstreams = (0..upstreams)
        .map(|number| UpstreamRecord {
            name: name(&format!("upstream-{number:05}")),
            service: name("drafting"),
            zone: name(&format!("zone-{:02}", number % 12)),
            agent: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000).into(),
            added_ms: 1_700_000_000_000,
            removed_ms: None,
        })
        .collect();
    snapshot.zones = (0..12)
        .map(|number| ZoneRecord {
            name: name(&format!("zone-{number:02}")),
            region: name("region-0"),
            state: ZoneState::In,
        })
        .collect();
    snapshot.sort();
    snapshot
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}
