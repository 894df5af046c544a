//! Tests of configuration replicas that use the fake store and peers in the same process.

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot, CustomerRecord, ZoneRecord, ZoneState},
        id::ObjectName,
        link::{FrameStream, PeerLink},
        log::discard_logger,
        message::{PeerFrame, PeerRequest},
        platform::{HostList, HostRecord, HostState},
        time::SystemClock,
    },
    catkindeck_control::{
        intent::{CommitOutcome, ConfigStore, PlanId},
        members::MemberList,
        propagation::{ConfigReplica, KvConfigStore, ReplicaParts, ReplicaSettings},
        source::{ConfigPeer, ConfigSource},
    },
    catkindeck_fakes::{
        fault::{FakeServer, FaultPlan},
        store::FakeStore,
    },
    catkindeck_store::{ClientSettings, HttpStore},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// A link and a host list for replicas in this process.
#[derive(Default)]
struct LocalPeers {
    replicas: Mutex<BTreeMap<SocketAddr, LocalPeer>>,
}

/// The host, the zone and the replica.
type LocalPeer = (ObjectName, ObjectName, Arc<ConfigReplica>);

struct OneFrame(Option<PeerFrame>);

impl FrameStream for OneFrame {
    fn receive(&mut self, _timeout: Duration) -> Result<Option<PeerFrame>, ServiceError> {
        Ok(self.0.take())
    }
}

impl PeerLink for LocalPeers {
    fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        _timeout: Duration,
    ) -> Result<Box<dyn FrameStream>, ServiceError> {
        let replica = self.replicas.lock().unwrap().get(&address).cloned();
        let gone = || ServiceError::not_run(ErrorKind::PeerUnavailable, "no such peer");
        let (_, _, replica) = replica.ok_or_else(gone)?;
        Ok(Box::new(OneFrame(replica.answer(&request))))
    }
}

impl HostList for LocalPeers {
    fn hosts(&self) -> Result<Vec<HostRecord>, ServiceError> {
        let replicas = self.replicas.lock().unwrap();
        let records = replicas
            .iter()
            .map(|(address, (host, zone, _))| HostRecord {
                host: host.clone(),
                zone: zone.clone(),
                address: *address,
                role: "entry".to_owned(),
                state: HostState::Live,
            });
        Ok(records.collect())
    }
}

struct Fleet {
    server: FakeServer,
    store: SocketAddr,
    peers: Arc<LocalPeers>,
    clock: Arc<SystemClock>,
}

impl Fleet {
    fn new() -> Self {
        let server = FakeServer::new(Box::new(FakeStore::default()));
        let any = "127.0.0.1:0".parse().expect("a valid address");
        let store = server.spawn(any, None).expect("a loopback port is free");
        Self {
            server,
            store,
            peers: Arc::default(),
            clock: Arc::new(SystemClock::new()),
        }
    }

    fn store(&self) -> Arc<HttpStore> {
        let settings = ClientSettings::new(self.store);
        Arc::new(HttpStore::new(
            settings,
            self.clock.clone(),
            discard_logger(),
        ))
    }

    fn join(&self, host: &str, zone: &str, port: u16) -> Arc<ConfigReplica> {
        let settings = ReplicaSettings {
            host: name(host),
            zone: name(zone),
            holder: format!("{host}-1"),
        };
        let parts = ReplicaParts {
            store: self.store(),
            members: Arc::new(MemberList::new(self.peers.clone())),
            clock: self.clock.clone(),
            logger: discard_logger(),
        };
        let replica = ConfigReplica::new(settings, parts);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let entry = (name(host), name(zone), Arc::clone(&replica));
        self.peers.replicas.lock().unwrap().insert(address, entry);
        replica
            .start(self.peers.clone())
            .expect("the threads start");
        replica
    }
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn content() -> ConfigSnapshot {
    let mut snapshot = ConfigSnapshot::default();
    for zone in ["a", "b", "c"] {
        snapshot.zones.push(ZoneRecord {
            name: name(zone),
            region: name("r"),
            state: ZoneState::In,
        });
    }
    snapshot.customers.push(CustomerRecord {
        name: name("c0"),
        weight: 1,
        retry_percent: 10,
        priority: None,
    });
    snapshot
}

/// Waits until `done` returns true, and fails after about 60 s.
fn wait_for(what: &str, done: impl Fn() -> bool) {
    for _ in 0..3000 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("{what} did not happen");
}

/// Guards against a change that does not reach every node, and against a node that cannot start or
/// serve during an outage of the store.
#[test]
fn change_reaches_every_node_and_a_node_starts_during_an_outage() {
    let fleet = Fleet::new();
    let nodes = [
        fleet.join("n0", "a", 1),
        fleet.join("n1", "b", 2),
        fleet.join("n2", "c", 3),
    ];
    let config_store = KvConfigStore::new(
        fleet.store(),
        nodes[0].clone(),
        fleet.clock.clone(),
        discard_logger(),
    );
    let next = content();
    let id = PlanId::derive(ConfigRevision(0), &next);
    let outcome = config_store.commit(&id, &next).expect("commits");
    assert_eq!(outcome, CommitOutcome::Committed(ConfigRevision(1)));
    let state = config_store
        .await_propagation(ConfigRevision(1))
        .expect("the host list can be read");
    assert!(state.is_complete(), "the change is in force: {state:?}");
    assert_eq!(state.confirmed, 3);
    for node in &nodes {
        assert_eq!(node.current().revision, ConfigRevision(1));
        wait_for("freshness", || node.is_fresh());
    }

    // While the store is down, a new node fetches the configuration from the peer in its zone.
    fleet.server.set_faults(FaultPlan {
        outage: true,
        ..FaultPlan::default()
    });
    let new = fleet.join("n3", "a", 4);
    assert!(!new.is_fresh(), "a new node has no configuration");
    wait_for("start of the new node", || new.is_fresh());
    assert_eq!(new.current().customers, next.customers);
    let mut last = next;
    last.customers[0].weight = 2;
    let id = PlanId::derive(ConfigRevision(1), &last);
    let error = config_store
        .commit(&id, &last)
        .expect_err("the store is down");
    assert_eq!(error.kind, ErrorKind::StoreUnavailable);
    for node in nodes.iter().chain([&new]) {
        node.drain();
    }
}

/// Guards against a node that reports a fresh configuration although it reaches neither the store
/// nor a peer.
#[test]
fn lone_node_stays_unready_during_an_outage() {
    let fleet = Fleet::new();
    fleet.server.set_faults(FaultPlan {
        outage: true,
        ..FaultPlan::default()
    });
    let node = fleet.join("n0", "a", 1);
    wait_for("attempts to reach the store", || {
        fleet.server.counters().values().sum::<u64>() > 6
    });
    assert!(!node.is_fresh());
    assert_eq!(node.current().revision, ConfigRevision(0));
    node.drain();
}
