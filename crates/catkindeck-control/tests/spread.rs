//! Model test of configuration propagation: six nodes in three zones, with outages and partitions,
//! in virtual time.

mod common;

use {
    catkindeck::{Moment, config::ConfigRevision, id::ObjectName, message::PropagationReport},
    catkindeck_control::propagation::{ConfirmTally, FreshnessTracker},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
};

const NODES: usize = 6;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// By how much the clock of each node is slow, in thousandths.
const CLOCK_DRIFT: [u64; NODES] = [0, 40, 0, 40, 20, 40];

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    /// A node sends a read of the head to the store. The response is pending.
    QueryStore(usize),
    /// A node polls another one. The response is pending.
    PollPeer(usize, usize),
    /// A pending response arrives.
    Deliver(usize),
    /// A node fetches the configuration that another one uses.
    Fetch(usize, usize),
    /// A node reads the complete configuration from the store.
    Load(usize),
    Commit(usize),
    /// The node with the latest commit polls a node for the revision that it uses.
    Confirm(usize),
    /// Sets the partition of each node. Nodes in different partitions cannot reach each other.
    Partition([u8; NODES]),
    /// Sets which nodes can reach the store.
    Store([bool; NODES]),
    /// A node restarts and loses its state.
    Restart(usize),
    /// Runs all nodes for a number of seconds as their threads would: they poll, fetch, load and
    /// confirm. The second number determines which peers they poll.
    Run(usize, usize),
}

/// A reference state machine without state, which only generates steps. The oracle is in the model:
/// the head of the store and the accepted revision.
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Step> {
        let node = || 0..NODES;
        prop_oneof![
            6 => (1..1500_u64).prop_map(Step::Advance),
            2 => (1500..12_000_u64).prop_map(Step::Advance),
            5 => node().prop_map(Step::QueryStore),
            10 => (node(), node()).prop_map(|(from, to)| Step::PollPeer(from, to)),
            14 => (0..8_usize).prop_map(Step::Deliver),
            5 => (node(), node()).prop_map(|(from, to)| Step::Fetch(from, to)),
            4 => node().prop_map(Step::Load),
            2 => node().prop_map(Step::Commit),
            10 => node().prop_map(Step::Confirm),
            1 => prop::array::uniform6(0..2_u8).prop_map(Step::Partition),
            1 => Just(Step::Partition([0; NODES])),
            1 => prop::array::uniform6(any::<bool>()).prop_map(Step::Store),
            1 => Just(Step::Store([false; NODES])),
            1 => Just(Step::Store([true; NODES])),
            // Whole zones are partitioned, or lose access to the store.
            2 => prop::array::uniform3(0..2_u8).prop_map(|zones| {
                Step::Partition(std::array::from_fn(|node| zones[node / 2]))
            }),
            2 => prop::array::uniform3(any::<bool>()).prop_map(|zones| {
                Step::Store(std::array::from_fn(|node| zones[node / 2]))
            }),
            1 => node().prop_map(Step::Restart),
            6 => (1..16_usize, 0..NODES).prop_map(|(seconds, offset)| Step::Run(seconds, offset)),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &Step) {}
}

enum Response {
    Head(ConfigRevision),
    Peer(PropagationReport),
}

struct PendingResponse {
    node: usize,
    sent_at: Moment,
    response: Response,
}

struct PropagationModel {
    now: u64,
    head: ConfigRevision,
    nodes: Vec<FreshnessTracker>,
    highest: [ConfigRevision; NODES],
    pending: Vec<PendingResponse>,
    groups: [u8; NODES],
    store: [bool; NODES],
    tally: Option<(usize, ConfirmTally)>,
    accepted: ConfigRevision,
}

impl PropagationModel {
    fn local_time(&self, node: usize) -> Moment {
        Moment(self.now * (1000 - CLOCK_DRIFT[node]) / 1000)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from != to && self.groups[from] == self.groups[to]
    }

    fn use_revision(&mut self, node: usize, revision: ConfigRevision) {
        if self.nodes[node].on_fetched(revision, ZONES.len()) {
            assert!(revision > self.highest[node], "node {node} reverted");
            self.highest[node] = revision;
        }
    }

    fn commit(&mut self, node: usize) {
        if !self.store[node] {
            return;
        }
        self.head = ConfigRevision(self.head.0 + 1);
        let zones = || ZONES.iter().map(|zone| name(zone)).collect();
        let mut tally = ConfirmTally::new(self.head, self.local_time(node), [zones(), zones()]);
        tally.set_nodes((0..NODES).map(|node| (name(&format!("n{node}")), zone_of(node))));
        self.tally = Some((node, tally));
    }

    fn run(mut self, seconds: usize, offset: usize) -> Self {
        for second in 0..seconds {
            self.now += 1000;
            for node in 0..NODES {
                let mut steps = vec![Step::Load(node)];
                for peer in [node ^ 1, (node + offset + second) % NODES] {
                    steps.extend([
                        Step::PollPeer(node, peer),
                        Step::Deliver(self.pending.len()),
                    ]);
                    if self.nodes[node].revision_to_fetch().is_some() {
                        steps.push(Step::Fetch(node, peer));
                    }
                }
                steps.push(Step::Confirm(node));
                for step in steps {
                    let pending = self.pending.len();
                    // The response to the request that was just sent is the last one.
                    let step = match step {
                        Step::Deliver(_) => Step::Deliver(pending.saturating_sub(1)),
                        other => other,
                    };
                    self = Self::apply(self, &(), step);
                }
            }
            Self::check_invariants(&self, &());
        }
        self
    }

    fn confirm(&mut self, node: usize) {
        let Some((committer, mut tally)) = self.tally.take() else {
            return;
        };
        let now = self.local_time(committer);
        if committer == node || self.reaches(committer, node) {
            let used = self.nodes[node].revision_in_use();
            tally.on_revision_in_use(&name(&format!("n{node}")), used, now);
            let sent = self.nodes[committer].revision_in_use();
            self.nodes[node].on_message(sent);
        }
        if tally.state(now).is_complete() {
            self.accepted = self.head;
        }
        self.tally = Some((committer, tally));
    }
}

impl StateMachineTest for PropagationModel {
    type SystemUnderTest = Self;
    type Reference = StepGenerator;

    fn init_test(_state: &()) -> Self {
        let head = ConfigRevision(1);
        let mut model = Self {
            now: 1000,
            head,
            nodes: (0..NODES)
                .map(|node| FreshnessTracker::new(zone_of(node), Moment(0)))
                .collect(),
            highest: [ConfigRevision(0); NODES],
            pending: Vec::new(),
            groups: [0; NODES],
            store: [true; NODES],
            tally: None,
            accepted: head,
        };
        for node in 0..NODES {
            let now = model.local_time(node);
            model.nodes[node].on_head(head, now);
            model.use_revision(node, head);
        }
        model
    }

    fn apply(mut model: Self, _state: &(), step: Step) -> Self {
        match step {
            Step::Advance(ms) => model.now += ms,
            Step::QueryStore(node) if model.store[node] => {
                let pending_response = PendingResponse {
                    node,
                    sent_at: model.local_time(node),
                    response: Response::Head(model.head),
                };
                model.pending.push(pending_response);
            }
            Step::PollPeer(from, to) if model.reaches(from, to) => {
                // The request also contains the caller's revision.
                let sent_at = model.local_time(from);
                let used = model.nodes[from].revision_in_use();
                model.nodes[to].on_message(used);
                let report = model.nodes[to].report(false, model.local_time(to));
                model.pending.push(PendingResponse {
                    node: from,
                    sent_at,
                    response: Response::Peer(report),
                });
            }
            Step::Deliver(index) if index < model.pending.len() => {
                let pending_response = model.pending.remove(index);
                let node = &mut model.nodes[pending_response.node];
                match pending_response.response {
                    Response::Head(revision) => node.on_head(revision, pending_response.sent_at),
                    Response::Peer(report) => node.on_report(&report, pending_response.sent_at),
                }
            }
            Step::Fetch(from, to) if model.reaches(from, to) => {
                let used = model.nodes[to].revision_in_use();
                model.use_revision(from, used);
            }
            Step::Load(node) if model.store[node] => {
                let now = model.local_time(node);
                let head = model.head;
                model.nodes[node].on_head(head, now);
                model.use_revision(node, head);
            }
            Step::Commit(node) => model.commit(node),
            Step::Confirm(node) => model.confirm(node),
            Step::Run(seconds, offset) => model = model.run(seconds, offset),
            Step::Partition(groups) => model.groups = groups,
            Step::Store(store) => model.store = store,
            Step::Restart(node) => {
                model.nodes[node] = FreshnessTracker::new(zone_of(node), model.local_time(node));
                model.highest[node] = ConfigRevision(0);
                model
                    .pending
                    .retain(|pending_response| pending_response.node != node);
                if model
                    .tally
                    .as_ref()
                    .is_some_and(|(committer, _)| *committer == node)
                {
                    model.tally = None;
                }
            }
            _ => {}
        }
        model
    }

    fn check_invariants(model: &Self, _state: &()) {
        for node in 0..NODES {
            let tracker = &model.nodes[node];
            assert!(
                !tracker.is_fresh(model.local_time(node))
                    || tracker.revision_in_use() >= model.accepted,
                "node {node} serves revision {} after {} was accepted",
                tracker.revision_in_use().0,
                model.accepted.0
            );
        }
    }
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn zone_of(node: usize) -> ObjectName {
    name(ZONES[node / 2])
}

prop_state_machine! {
    #![proptest_config(common::fuzz_config(600))]

    /// Guards against a node that serves authenticated requests with a configuration that is older
    /// than an accepted one, and against a node that goes back to an older configuration.
    #[test]
    fn accepted_revision_is_used_by_every_serving_node(sequential 1..60 => PropagationModel);
}

/// Guards against nodes that stop serving because of a complete outage of the store.
#[test]
fn outage_of_the_store_keeps_nodes_fresh() {
    let mut model = PropagationModel::init_test(&());
    model.store = [false; NODES];
    for round in 0..100 {
        model.now += 1000;
        for node in 0..NODES {
            let peer = (node + 1 + round % (NODES - 1)) % NODES;
            model = PropagationModel::apply(model, &(), Step::PollPeer(node, peer));
            model = PropagationModel::apply(model, &(), Step::Deliver(0));
        }
        // A node that restarts during the outage fetches the configuration from a peer.
        if round == 50 {
            model = PropagationModel::apply(model, &(), Step::Restart(0));
            model = PropagationModel::apply(model, &(), Step::Fetch(0, 1));
            assert!(!model.nodes[0].is_fresh(model.local_time(0)));
        }
        if round >= 20 && round != 50 {
            let stale: Vec<usize> = (0..NODES)
                .filter(|node| !model.nodes[*node].is_fresh(model.local_time(*node)))
                .collect();
            assert!(
                stale.is_empty() || (round < 60 && stale == [0]),
                "nodes {stale:?} are stale in round {round}"
            );
        }
    }
}

/// Guards against an isolated node that continues to serve.
#[test]
fn isolated_node_stops_serving() {
    let mut model = PropagationModel::init_test(&());
    let fresh = |model: &PropagationModel| model.nodes[0].is_fresh(model.local_time(0));
    model.now += 10_000;
    assert!(fresh(&model));
    model.now += 1;
    assert!(!fresh(&model));
}

/// Guards against reporting a change as accepted while a node has neither confirmed nor lapsed, and
/// against a change that is never accepted because a node is gone.
#[test]
fn unreachable_node_delays_acceptance() {
    let zones = || ZONES.iter().map(|zone| name(zone)).collect::<Vec<_>>();
    let mut tally = ConfirmTally::new(ConfigRevision(2), Moment(0), [zones(), zones()]);
    tally.set_nodes((0..NODES).map(|node| (name(&format!("n{node}")), zone_of(node))));
    for node in 1..NODES {
        tally.on_revision_in_use(&name(&format!("n{node}")), ConfigRevision(2), Moment(500));
    }
    assert_eq!(tally.state(Moment(10_999)).waiting, 1);
    let state = tally.state(Moment(11_001));
    assert_eq!((state.confirmed, state.lapsed, state.waiting), (5, 1, 0));
    // If not all nodes in a majority of the zones confirmed, the unreachable partition could keep
    // itself fresh, so its nodes never count as lapsed.
    let mut tally = ConfirmTally::new(ConfigRevision(2), Moment(0), [zones(), zones()]);
    tally.set_nodes((0..NODES).map(|node| (name(&format!("n{node}")), zone_of(node))));
    for node in 3..NODES {
        tally.on_revision_in_use(&name(&format!("n{node}")), ConfigRevision(2), Moment(500));
    }
    assert_eq!(tally.state(Moment(1_000_000)).waiting, 3);
}

/// Guards against a partition that stays fresh because a restarted node counts for its zone
/// although it has lost a revision that it confirmed.
#[test]
fn node_that_lost_its_revision_does_not_count_for_its_zone() {
    let mut model = PropagationModel::init_test(&());
    let steps = [
        Step::Run(3, 2),
        // Zone b is isolated from the other zones and from the store.
        Step::Partition([0, 0, 1, 1, 0, 0]),
        Step::Store([true, true, false, false, true, true]),
        Step::Commit(0),
        Step::Run(13, 4),
    ];
    for step in steps {
        model = PropagationModel::apply(model, &(), step);
    }
    assert_eq!(
        model.accepted,
        ConfigRevision(2),
        "zones a and c confirmed, zone b lapsed"
    );
    let steps = [
        Step::Partition([1, 0, 1, 1, 0, 0]),
        Step::Store([false, true, false, false, true, true]),
        Step::Restart(0),
        Step::Run(5, 1),
        Step::Run(5, 2),
        Step::Run(5, 4),
    ];
    for step in steps {
        model = PropagationModel::apply(model, &(), step);
    }
    for node in [0, 2, 3] {
        assert!(
            !model.nodes[node].is_fresh(model.local_time(node)),
            "node {node} is fresh"
        );
    }
}

/// Guards against a node that serves authenticated requests although it knows that there is a newer
/// configuration.
#[test]
fn known_revision_is_fetched_before_serving() {
    let mut tracker = FreshnessTracker::new(zone_of(0), Moment(0));
    tracker.on_head(ConfigRevision(1), Moment(100));
    assert!(tracker.on_fetched(ConfigRevision(1), ZONES.len()));
    assert!(tracker.is_fresh(Moment(200)));
    tracker.on_message(ConfigRevision(2));
    assert_eq!(tracker.revision_to_fetch(), Some(ConfigRevision(2)));
    assert!(!tracker.is_fresh(Moment(200)));
    assert!(tracker.on_fetched(ConfigRevision(2), ZONES.len()));
    assert!(tracker.is_fresh(Moment(200)));
    assert!(!tracker.on_fetched(ConfigRevision(1), ZONES.len()));
    assert_eq!(tracker.revision_in_use(), ConfigRevision(2));
}
