//! Tests of concurrent commits to the configuration in a store that loses responses.

mod common;
mod support;

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot, CustomerRecord, ZoneRecord, ZoneState},
        id::ObjectName,
        log::discard_logger,
        platform::{LeaseGrant, LeaseOutcome, StoreClient, StoreValue, SwapOutcome},
        time::SystemClock,
    },
    catkindeck_control::{
        intent::{CommitOutcome, ConfigStore, PlanId},
        propagation::{ConfirmPoller, ConfirmTally, KvConfigStore, LoadedConfig, encode_shards},
    },
    proptest::prelude::*,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{MemoryStore, StoreFault},
};

/// Reports that the only node uses every revision.
struct ConfirmingPoller;

impl ConfirmPoller for ConfirmingPoller {
    fn poll(&self, tally: &mut ConfirmTally) -> Result<(), ServiceError> {
        tally.set_nodes([(name("n0"), name("a"))].into_iter());
        tally.on_revision_in_use(&name("n0"), ConfigRevision(u64::MAX), Default::default());
        Ok(())
    }
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn config_store(store: &Arc<MemoryStore>) -> KvConfigStore {
    let store: Arc<dyn StoreClient> = store.clone();
    KvConfigStore::new(
        store,
        Arc::new(ConfirmingPoller),
        Arc::new(SystemClock::new()),
        discard_logger(),
    )
}

fn with_customer(base: &ConfigSnapshot, customer: &str, weight: u32) -> ConfigSnapshot {
    let mut next = base.clone();
    next.customers
        .retain(|record| record.name.as_str() != customer);
    next.customers.push(CustomerRecord {
        name: name(customer),
        weight,
        retry_percent: 10,
        priority: None,
    });
    next.sort();
    next
}

/// An action of one of three operators, or a change of the store's behavior.
#[derive(Debug, Clone)]
enum Action {
    /// The operator reads the head and plans a change of it.
    Plan(usize, u32),
    /// The operator commits its last plan.
    Commit(usize),
    /// Sets the store's behavior: available, down or losing responses.
    Fault(u8),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        4 => (0..3_usize, 1..50_u32).prop_map(|(who, weight)| Action::Plan(who, weight)),
        5 => (0..3_usize).prop_map(Action::Commit),
        3 => (0..4_u8).prop_map(Action::Fault),
    ];
    prop::collection::vec(action, 1..60)
}

proptest! {
    #![proptest_config(common::fuzz_config(300))]

    /// Guards against two operators that both change the same revision, a change that is reported
    /// as refused but was written, a revision whose content changes later, and a head that goes
    /// back to a lower revision.
    #[test]
    fn racing_operators_never_overwrite(actions in actions()) {
        let store = Arc::new(MemoryStore::default());
        let config_stores = [config_store(&store), config_store(&store), config_store(&store)];
        let mut plans: [Option<(PlanId, ConfigSnapshot)>; 3] = [None, None, None];
        // The oracle: the content of each revision when it was first read, and the plans by outcome.
        let mut history: Vec<ConfigSnapshot> = vec![ConfigSnapshot::default()];
        let mut refused: Vec<PlanId> = Vec::new();
        let mut unknown: Vec<PlanId> = Vec::new();
        for action in actions {
            match action {
                Action::Plan(who, weight) => {
                    let Ok(head) = config_stores[who].head() else { continue };
                    let next = with_customer(&head, &format!("c{who}"), weight);
                    plans[who] = Some((PlanId::derive(head.revision, &next), next));
                }
                Action::Commit(who) => {
                    let Some((id, next)) = plans[who].clone() else { continue };
                    match config_stores[who].commit(&id, &next) {
                        Ok(CommitOutcome::Committed(revision)) => {
                            prop_assert_eq!(revision.0, id.base.0 + 1);
                            prop_assert!(!refused.contains(&id));
                        }
                        Ok(CommitOutcome::Moved) => {
                            if !unknown.contains(&id) {
                                refused.push(id);
                            }
                        }
                        Ok(CommitOutcome::Unknown) => unknown.push(id),
                        Err(error) => prop_assert_eq!(error.kind, ErrorKind::StoreUnavailable),
                    }
                }
                Action::Fault(fault) => store.set_fault(match fault {
                    0 => StoreFault::Outage,
                    1 => StoreFault::ResponseLost,
                    _ => StoreFault::None,
                }),
            }
            check_history(&store, &mut history)?;
        }
    }
}

/// Checks that each revision still has the content with which it was first read.
fn check_history(
    store: &Arc<MemoryStore>,
    history: &mut Vec<ConfigSnapshot>,
) -> Result<(), TestCaseError> {
    let fresh = config_store(store);
    let Ok(head) = fresh.head() else {
        return Ok(());
    };
    let known = u64::try_from(history.len()).expect("few revisions");
    prop_assert!(
        head.revision.0 + 1 >= known,
        "the head went back to a lower revision"
    );
    for revision in 0..=head.revision.0 {
        let content = fresh
            .read_revision(ConfigRevision(revision))
            .map_err(|error| TestCaseError::fail(error.to_string()))?;
        let Some(content) = content else {
            return Err(TestCaseError::fail(format!("revision {revision} is gone")));
        };
        prop_assert_eq!(content.revision.0, revision);
        match history.get(usize::try_from(revision).expect("few revisions")) {
            Some(first) => prop_assert_eq!(&content, first),
            None => {
                // Each revision contains the change of a single operator.
                let before = history.last().expect("revision zero is there");
                let added = content
                    .customers
                    .iter()
                    .filter(|record| !before.customers.contains(record));
                prop_assert!(
                    added.count() <= 1,
                    "revision {} combines two changes",
                    revision
                );
                let lost = before
                    .customers
                    .iter()
                    .filter(|record| content.customer(&record.name).is_none());
                prop_assert_eq!(lost.count(), 0, "a committed change was lost");
                history.push(content);
            }
        }
    }
    Ok(())
}

/// Guards against a change whose outcome the operator cannot determine after the response to the
/// commit was lost.
#[test]
fn lost_commit_is_found_by_its_content() {
    let store = Arc::new(MemoryStore::default());
    let config_store = config_store(&store);
    let base = ConfigSnapshot::default();
    let next = with_customer(&base, "c0", 3);
    let id = PlanId::derive(base.revision, &next);
    // The first change is committed. The second one fails because the response to the write of a
    // shard is lost.
    config_store.commit(&id, &next).expect("commits");
    let second = with_customer(&next, "c1", 4);
    let second_id = PlanId::derive(ConfigRevision(1), &second);
    store.set_fault(StoreFault::ResponseLost);
    let first_try = config_store.commit(&second_id, &second);
    assert!(
        first_try.is_err(),
        "the response for a shard was lost, and nothing refers to the shard"
    );
    store.set_fault(StoreFault::None);
    assert_eq!(
        config_store.commit(&second_id, &second).expect("commits"),
        CommitOutcome::Committed(ConfigRevision(2))
    );
    assert_eq!(
        config_store
            .commit(&second_id, &second)
            .expect("the store responds"),
        CommitOutcome::Moved
    );
    let written = config_store
        .read_revision(ConfigRevision(2))
        .expect("reads")
        .expect("kept");
    assert_eq!(PlanId::derive(ConfigRevision(1), &written), second_id);
    assert!(
        config_store
            .await_propagation(ConfigRevision(2))
            .expect("the poller works")
            .is_complete()
    );
}

/// Guards against records that are lost or reordered when the configuration is split into shards.
#[test]
fn shards_assemble_to_the_same_configuration() {
    let mut snapshot = ConfigSnapshot::default();
    for number in 0..500 {
        snapshot = with_customer(&snapshot, &format!("c{number}"), number + 1);
    }
    for zone in ["b", "a"] {
        snapshot.zones.push(ZoneRecord {
            name: name(zone),
            region: name("r"),
            state: ZoneState::In,
        });
    }
    snapshot.sort();
    let shards = encode_shards(&snapshot).expect("encodes");
    let head = catkindeck_control::propagation::ConfigHead {
        revision: ConfigRevision(0),
        shards: shards
            .keys()
            .map(|name| catkindeck::message::ShardRef {
                name: name.clone(),
                number: 1,
            })
            .collect(),
    };
    let shard_bytes = shards
        .iter()
        .map(|(name, bytes)| catkindeck::message::ShardBytes {
            shard: catkindeck::message::ShardRef {
                name: name.clone(),
                number: 1,
            },
            bytes: bytes.clone(),
        })
        .collect();
    let loaded = LoadedConfig::default()
        .assemble(head.clone(), shard_bytes)
        .expect("joins");
    assert_eq!(*loaded.snapshot, snapshot);
    // A missing shard is an error, and the configuration is not assembled without it.
    let error = LoadedConfig::default().assemble(head, Vec::new());
    assert_eq!(
        error.expect_err("shards are missing").kind,
        ErrorKind::Internal
    );
}

/// A store that runs another operator's commit before call number `race_at`.
struct RacingStore {
    inner: Arc<MemoryStore>,
    calls: AtomicUsize,
    race_at: usize,
    race: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

impl RacingStore {
    fn count(&self) {
        if self.calls.fetch_add(1, Ordering::Relaxed) == self.race_at {
            let race = self.race.lock().unwrap().take();
            race.expect("each call number occurs once")();
        }
    }
}

impl StoreClient for RacingStore {
    fn read(&self, key: &str) -> Result<Option<StoreValue>, ServiceError> {
        self.count();
        self.inner.read(key)
    }

    fn swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<SwapOutcome, ServiceError> {
        self.count();
        self.inner.swap(key, expected, value)
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreValue)>, ServiceError> {
        self.inner.list(prefix)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, ServiceError> {
        self.inner.watch(prefix, after, wait)
    }

    fn acquire(&self, lease: &str, holder: &str, ttl: u64) -> Result<LeaseOutcome, ServiceError> {
        self.inner.acquire(lease, holder, ttl)
    }

    fn renew(&self, lease: &str, number: u64, ttl: u64) -> Result<LeaseGrant, ServiceError> {
        self.inner.renew(lease, number, ttl)
    }

    fn release(&self, lease: &str, number: u64) -> Result<(), ServiceError> {
        self.inner.release(lease, number)
    }
}

/// Guards against commits that interleave, at any call to the store. Exactly one complete change
/// must be in force, and the other operator must get the outcome that the head has changed.
#[test]
fn racing_commits_have_one_winner() {
    let mut raced = 0;
    for race_at in 0..12 {
        let inner = Arc::new(MemoryStore::default());
        let setup = config_store(&inner);
        let first = with_customer(&ConfigSnapshot::default(), "c0", 1);
        let id = PlanId::derive(ConfigRevision(0), &first);
        setup.commit(&id, &first).expect("commits");
        let base = setup.head().expect("reads");

        // Both operators change the same record, so both write the same shard.
        let theirs = with_customer(&base, "c0", 7);
        let ours = with_customer(&base, "c0", 9);
        let their_id = PlanId::derive(base.revision, &theirs);
        let our_id = PlanId::derive(base.revision, &ours);
        let (store, expected) = (inner.clone(), theirs.clone());
        let race = move || {
            let outcome = config_store(&store)
                .commit(&their_id, &expected)
                .expect("commits");
            assert_eq!(outcome, CommitOutcome::Committed(ConfigRevision(2)));
        };
        let racing = Arc::new(RacingStore {
            inner: inner.clone(),
            calls: AtomicUsize::new(0),
            race_at,
            race: Mutex::new(Some(Box::new(race))),
        });
        let our_configs = KvConfigStore::new(
            racing.clone(),
            Arc::new(ConfirmingPoller),
            Arc::new(SystemClock::new()),
            discard_logger(),
        );
        let outcome = our_configs
            .commit(&our_id, &ours)
            .expect("the store responds");
        let head = config_store(&inner).head().expect("reads");
        assert_eq!(
            head.revision,
            ConfigRevision(2),
            "race before call {race_at}"
        );
        if racing.race.lock().unwrap().is_some() {
            assert_eq!(outcome, CommitOutcome::Committed(ConfigRevision(2)));
            assert_eq!(head.customers, ours.customers);
            continue;
        }
        raced += 1;
        assert_eq!(outcome, CommitOutcome::Moved, "race before call {race_at}");
        assert_eq!(
            head.customers, theirs.customers,
            "race before call {race_at}"
        );
    }
    assert!(raced >= 4, "the race hit only {raced} calls of a commit");
}

/// Guards against using a shard that was written by a commit that lost a race.
#[test]
fn shards_of_lost_races_are_skipped() {
    let store = Arc::new(MemoryStore::default());
    let base = ConfigSnapshot::default();
    let lost = with_customer(&base, "c0", 7);
    let shards = encode_shards(&lost).expect("encodes");
    for (name, bytes) in shards.iter() {
        let key = format!("config/shard/{name}/1");
        store.swap(&key, 0, bytes).expect("writes");
    }
    let ours = with_customer(&base, "c0", 9);
    let id = PlanId::derive(base.revision, &ours);
    let config_store = config_store(&store);
    let outcome = config_store.commit(&id, &ours).expect("commits");
    assert_eq!(outcome, CommitOutcome::Committed(ConfigRevision(1)));
    assert_eq!(
        config_store.head().expect("reads").customers,
        ours.customers
    );
}
