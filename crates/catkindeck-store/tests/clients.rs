//! Tests of the HTTP clients against fake servers with injected faults.

use {
    catkindeck::{
        Clock, ErrorKind, ExecutionOutcome, Moment,
        id::ObjectName,
        log::discard_logger,
        platform::{
            HostList, LeaseOutcome, StoreClient, SwapOutcome, UsageSink, WeightStore, ZoneOrder,
            ZoneOrders,
        },
        time::SystemClock,
        token::WeightVersion,
    },
    catkindeck_fakes::{
        fault::{FakeHandler, FakeRequest, FakeServer, FaultPlan, free_address},
        hosts::FakeHostList,
        store::FakeStore,
        usage::FakeUsage,
        weights::FakeWeights,
        zones::FakeZones,
    },
    catkindeck_store::{
        ClientSettings, HttpHosts, HttpStore, HttpUsage, HttpWeights, HttpZones, LeaseHolder,
        LeaseSettings,
        backoff::RetryPolicy,
        rate_limit::{CallKind, TokenBucket},
    },
    std::{sync::Arc, time::Duration},
};

fn clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock::new())
}

fn server(mode: impl FakeHandler + 'static) -> (FakeServer, ClientSettings) {
    let server = FakeServer::new(Box::new(mode));
    let any = "127.0.0.1:0".parse().expect("a valid address");
    let address = server.spawn(any, None).expect("a loopback port is free");
    (server, ClientSettings::new(address))
}

fn store() -> (FakeServer, HttpStore) {
    let (server, settings) = server(FakeStore::default());
    (server, HttpStore::new(settings, clock(), discard_logger()))
}

fn control(server: &FakeServer, method: &str, path: &str, body: &str) -> String {
    let call = FakeRequest {
        method: method.to_owned(),
        path: format!("control/{path}")
            .split('/')
            .map(str::to_owned)
            .collect(),
        query: String::new(),
        body: body.as_bytes().to_vec(),
    };
    let reply = server.control(&call);
    assert_eq!(reply.status, 200);
    String::from_utf8(reply.body).expect("the response is text")
}

fn lose_responses(server: &FakeServer, lose_responses: u32) {
    server.set_faults(FaultPlan {
        lose_responses,
        ..FaultPlan::default()
    });
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

/// Guards against a write at another version, and against a conflict without the current value.
#[test]
fn swap_requires_the_expected_version() {
    let (_server, store) = store();
    assert_eq!(store.read("a/b").expect("reads"), None);
    assert_eq!(
        store.swap("a/b", 0, b"one").expect("writes"),
        SwapOutcome::Written(1)
    );
    assert_eq!(
        store.swap("a/b", 1, b"two").expect("writes"),
        SwapOutcome::Written(2)
    );
    let SwapOutcome::Conflict(Some(current)) = store.swap("a/b", 1, b"three").expect("responds")
    else {
        panic!("a swap at an old version was accepted");
    };
    assert_eq!(
        (current.value.as_slice(), current.version),
        (b"two".as_slice(), 2)
    );
    let listed = store.list("a/").expect("lists");
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].0, "a/b");
}

/// Guards against a write that took effect being reported as a conflict with itself.
#[test]
fn write_is_recognised_after_lost_response() {
    let (server, store) = store();
    lose_responses(&server, 1);
    assert_eq!(
        store.swap("key", 0, b"mine").expect("resolves"),
        SwapOutcome::Written(1)
    );
    lose_responses(&server, 1);
    assert_eq!(
        store.swap("key", 1, b"mine").expect("resolves"),
        SwapOutcome::Written(2)
    );
    assert_eq!(
        store.counters().get(CallKind::Swap),
        2,
        "no write was sent twice"
    );
}

/// Guards against a write whose request was lost being reported as a conflict although it may still
/// arrive.
#[test]
fn lost_write_is_retried() {
    let (server, store) = store();
    server.set_faults(FaultPlan {
        lose_requests: 1,
        ..FaultPlan::default()
    });
    assert_eq!(
        store.swap("key", 0, b"mine").expect("resolves"),
        SwapOutcome::Written(1)
    );
    assert_eq!(store.counters().get(CallKind::Swap), 2);
}

/// Guards against a write during an outage being reported as not run.
#[test]
fn outage_leaves_a_write_unknown() {
    let (server, store) = store();
    server.set_faults(FaultPlan {
        outage: true,
        ..FaultPlan::default()
    });
    let error = store
        .swap("key", 0, b"value")
        .expect_err("the store is down");
    assert_eq!(error.kind, ErrorKind::StoreUnavailable);
    assert_eq!(error.execution, ExecutionOutcome::Unknown);
    let error = store.read("key").expect_err("the store is down");
    assert_eq!(error.execution, ExecutionOutcome::NotRun);
}

/// Guards against a refused connection being reported as unknown, which operators would have to
/// resolve manually.
#[test]
fn write_to_unreachable_store_is_not_run() {
    let settings = ClientSettings::new(free_address().expect("a loopback port is free"));
    let store = HttpStore::new(settings, clock(), discard_logger());
    let error = store
        .swap("key", 0, b"value")
        .expect_err("nothing listens at the address");
    assert_eq!(error.kind, ErrorKind::StoreUnavailable);
    assert_eq!(error.execution, ExecutionOutcome::NotRun);
}

/// Guards against a watch that misses a change, reports one under another prefix, or counts as more
/// than one call while it waits.
#[test]
fn watch_reports_changes_under_its_prefix() {
    let (_server, store) = store();
    store.swap("other", 0, b"x").expect("writes");
    let idle = store
        .watch("config/", 0, Duration::from_millis(30))
        .expect("waits");
    assert_eq!(idle, 0);
    store.swap("config/head", 0, b"x").expect("writes");
    let changed = store
        .watch("config/", 0, Duration::from_secs(5))
        .expect("responds");
    assert!(changed > 0);
    let idle = store
        .watch("config/", changed, Duration::from_millis(30))
        .expect("waits");
    assert_eq!(idle, changed);
    assert_eq!(store.counters().get(CallKind::Watch), 3);
}

/// Guards against a fencing token that is granted twice, and against two simultaneous holders.
#[test]
fn fencing_tokens_increase() {
    let (server, store) = store();
    let LeaseOutcome::Granted(first) = store.acquire("l", "a", 60_000).expect("responds") else {
        panic!("a free lease was not granted");
    };
    let LeaseOutcome::Held { remaining_ms } = store.acquire("l", "b", 60_000).expect("responds")
    else {
        panic!("a held lease was granted");
    };
    assert!(remaining_ms <= 60_000);
    // A holder whose response was lost acquires the lease again and gets a new fencing token.
    lose_responses(&server, 1);
    let LeaseOutcome::Granted(second) = store.acquire("l", "a", 60_000).expect("responds") else {
        panic!("the holder was not granted its own lease");
    };
    assert!(second.number > first.number);
    let error = store
        .renew("l", first.number, 60_000)
        .expect_err("the fencing token is old");
    assert_eq!(error.kind, ErrorKind::Fenced);
    store.renew("l", second.number, 60_000).expect("renews");
    store.release("l", second.number).expect("releases");
    assert!(matches!(
        store.acquire("l", "b", 60_000).expect("responds"),
        LeaseOutcome::Granted(_)
    ));
}

/// Guards against a drained holder that does not release its lease.
#[test]
fn drained_holder_releases_the_lease() {
    let (_server, store) = store();
    let store: Arc<dyn StoreClient> = Arc::new(store);
    let settings = LeaseSettings {
        name: "zone/a".to_owned(),
        holder: "one".to_owned(),
        ttl_ms: 60_000,
        margin_ms: 1000,
        order_ms: 20,
    };
    let holder = LeaseHolder::start(settings, Arc::clone(&store), clock(), discard_logger())
        .expect("the thread starts");
    let mut attempts = 0;
    while holder.check().is_err() {
        attempts += 1;
        assert!(attempts < 2000, "the lease was never granted");
        std::thread::sleep(Duration::from_millis(5));
    }
    holder.drain();
    assert_eq!(holder.check().expect_err("drained").kind, ErrorKind::Fenced);
    let outcome = store.acquire("zone/a", "two", 1000).expect("responds");
    assert!(matches!(outcome, LeaseOutcome::Granted(_)));
}

/// A clock that never advances, so that no bucket refills.
struct FrozenClock;

impl Clock for FrozenClock {
    fn now(&self) -> Moment {
        Moment(1)
    }
}

/// Guards against one node exhausting the store's capacity.
#[test]
fn rate_limit_rejects_before_sending() {
    let (server, mut settings) = server(FakeStore::default());
    settings.calls_per_s = 1;
    settings.timeout_ms = 500;
    let store = HttpStore::new(settings, Arc::new(FrozenClock), discard_logger());
    let failed = (0..10).filter(|_| store.read("key").is_err()).count();
    assert_eq!(failed, 8, "the bucket holds two calls");
    assert_eq!(server.counters().values().sum::<u64>(), 2);
    assert_eq!(store.counters().get(CallKind::Read), 2);
}

/// Guards against a bucket that refills at the wrong rate or beyond its burst.
#[test]
fn token_bucket_refills_over_time() {
    let mut bucket = TokenBucket::new(4, 2, Moment(0));
    assert_eq!(
        [bucket.take(Moment(0)), bucket.take(Moment(0))],
        [Ok(()), Ok(())]
    );
    assert_eq!(bucket.take(Moment(0)), Err(250));
    assert_eq!(bucket.take(Moment(249)), Err(1));
    assert_eq!(bucket.take(Moment(250)), Ok(()));
    let taken = (0..10).filter(|_| bucket.take(Moment(99_000)).is_ok());
    assert_eq!(taken.count(), 2);
}

/// Guards against delays outside their range.
#[test]
fn backoff_stays_in_range() {
    let retry = RetryPolicy::default();
    for attempt in 1..70 {
        for random in [0, 1, 12_345, u64::MAX] {
            let delay = retry.delay_ms(attempt, random);
            assert!((retry.base_ms / 2..=retry.cap_ms).contains(&delay));
        }
    }
}

/// Guards against accepting an order of a former lease holder, and shows that an interface without
/// fencing accepts it.
#[test]
fn zone_orders_are_fenced() {
    let (server, settings) = server(FakeZones::default());
    let zones = HttpZones::new(settings, clock(), discard_logger());
    let zone = name("vault-a");
    let order = |id: &str, fence: u64, count: u32| ZoneOrder {
        order_id: id.to_owned(),
        service: name("drafting"),
        count,
        fence,
    };
    let timeout = Duration::from_secs(1);
    zones
        .order(&zone, &order("one", 2, 3), timeout)
        .expect("accepted");
    let error = zones
        .order(&zone, &order("two", 1, 5), timeout)
        .expect_err("fenced");
    assert_eq!(
        (error.kind, error.execution),
        (ErrorKind::Fenced, ExecutionOutcome::NotRun)
    );
    assert_eq!(zones.counts(&zone).expect("reads")[0].ordered, 3);
    server.set_faults(FaultPlan {
        ignore_fence: true,
        lose_responses: 1,
        ..FaultPlan::default()
    });
    let error = zones
        .order(&zone, &order("three", 1, 5), timeout)
        .expect_err("lost");
    assert_eq!(error.execution, ExecutionOutcome::Unknown);
    assert_eq!(zones.counts(&zone).expect("reads")[0].ordered, 5);
    assert!(control(&server, "GET", "orders", "").contains("three"));
}

/// Guards against a usage window being reported twice with different contents.
#[test]
fn usage_reports_are_idempotent() {
    let (server, settings) = server(FakeUsage::default());
    let usage = HttpUsage::new(settings, clock(), discard_logger());
    let zone = name("vault-a");
    lose_responses(&server, 1);
    usage
        .report(&zone, 7, b"figures")
        .expect("retried after the lost response");
    usage.report(&zone, 7, b"figures").expect("the same bytes");
    let error = usage.report(&zone, 7, b"others").expect_err("other bytes");
    assert_eq!(error.kind, ErrorKind::Conflict);
    assert!(control(&server, "GET", "reports", "").contains("figures"));
}

/// Guards against weights of the wrong version, and against a rate limit reported as a failure.
#[test]
fn weights_are_limited_and_versioned() {
    let (server, settings) = server(FakeWeights::default());
    let weights = HttpWeights::new(settings, clock(), discard_logger());
    let model = name("drafting");
    control(
        &server,
        "POST",
        "latest",
        r#"{"model": "drafting", "version": 4}"#,
    );
    let fourth = weights.fetch(&model, WeightVersion(4)).expect("present");
    assert_ne!(
        fourth,
        weights.fetch(&model, WeightVersion(3)).expect("present")
    );
    let error = weights.fetch(&model, WeightVersion(5)).expect_err("absent");
    assert_eq!(error.kind, ErrorKind::NotFound);
    server.set_faults(FaultPlan {
        rate_per_s: 1,
        ..FaultPlan::default()
    });
    let kinds: Vec<_> = (0..3)
        .filter_map(|_| weights.fetch(&model, WeightVersion(4)).err())
        .map(|error| error.kind)
        .collect();
    assert!(kinds.contains(&ErrorKind::Overloaded));
}

/// Guards against a host list format that differs between client and server.
#[test]
fn host_list_is_parsed() {
    let (server, settings) = server(FakeHostList::default());
    let hosts = HttpHosts::new(settings, clock(), discard_logger());
    assert!(hosts.hosts().expect("reads").is_empty());
    control(
        &server,
        "POST",
        "hosts",
        r#"{"hosts": [{"host": "n1", "zone": "vault-a", "address": "127.0.0.1:1",
            "role": "entry", "state": "leaving"}]}"#,
    );
    let hosts = hosts.hosts().expect("reads");
    assert_eq!(hosts[0].host, name("n1"));
}

/// Guards against a write that took effect being reported as a conflict, and against one that did
/// not being reported as written, while two writers race and responses are lost.
#[test]
fn racing_writers_account_for_every_version() {
    const WRITES: usize = 60;
    let (server, mut settings) = server(FakeStore::default());
    settings.calls_per_s = 10_000;
    settings.retry.base_ms = 1;
    lose_responses(&server, 50);
    let write = |writer: usize| -> (Vec<u64>, usize) {
        let store = HttpStore::new(settings.clone(), clock(), discard_logger());
        let mut written = Vec::new();
        let mut unknown = 0;
        for number in 0..WRITES {
            let Ok(current) = store.read("key") else {
                continue;
            };
            let version = current.map_or(0, |current| current.version);
            let value = format!("{writer}/{number}");
            match store.swap("key", version, value.as_bytes()) {
                Ok(SwapOutcome::Written(version)) => written.push(version),
                Ok(SwapOutcome::Conflict(_)) => {}
                Err(error) if error.execution == ExecutionOutcome::NotRun => {}
                Err(_) => unknown += 1,
            }
        }
        (written, unknown)
    };
    let (first, second) = std::thread::scope(|scope| {
        let first = scope.spawn(|| write(0));
        let second = scope.spawn(|| write(1));
        (first.join().expect("runs"), second.join().expect("runs"))
    });
    let store = HttpStore::new(settings.clone(), clock(), discard_logger());
    let last = store.read("key").expect("reads").expect("written").version;
    let mut versions = [first.0, second.0].concat();
    versions.sort_unstable();
    let unique = versions.windows(2).all(|pair| pair[0] < pair[1]);
    assert!(unique, "two writes were reported at the same version");
    let (written, unknown) = (versions.len() as u64, (first.1 + second.1) as u64);
    assert!(
        written <= last,
        "{written} writes reported, {last} versions"
    );
    assert!(
        last <= written + unknown,
        "{last} versions, {written} reported, {unknown} unknown"
    );
}
