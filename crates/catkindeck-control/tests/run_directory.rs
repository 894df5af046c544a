//! Tests of two entries that are candidates for the same run, with a change of owner.

mod support;

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        id::ObjectName,
        link::{FrameStream, PeerLink},
        log::discard_logger,
        message::{PeerFrame, PeerRequest, StepAction, StepAnswer, StepRequest},
        time::SystemClock,
    },
    catkindeck_control::{
        run::directory::{DirectoryParts, DirectorySettings, EntryDirectory, RunDirectory},
        source::ConfigSource,
        step::StepService,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, Weak},
        thread,
        time::Duration,
    },
    support::{
        MemoryStore,
        agents::{TestAgents, TestObserver, TestPublisher, name, plan, run},
    },
};

struct FixedSource(Arc<ConfigSnapshot>);

impl ConfigSource for FixedSource {
    fn current(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.0)
    }

    fn is_fresh(&self) -> bool {
        true
    }

    fn observe_revision(&self, _revision: ConfigRevision) {}
}

/// A link that passes calls between entries directly to their run directories.
#[derive(Default)]
struct TestNetwork {
    directories: Mutex<Vec<(SocketAddr, Weak<RunDirectory>)>>,
}

struct OneFrame(Option<PeerFrame>);

impl FrameStream for OneFrame {
    fn receive(&mut self, _timeout: Duration) -> Result<Option<PeerFrame>, ServiceError> {
        Ok(self.0.take())
    }
}

impl PeerLink for TestNetwork {
    fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        _timeout: Duration,
    ) -> Result<Box<dyn FrameStream>, ServiceError> {
        let directories = self.directories.lock().unwrap();
        let found = directories.iter().find(|(present, _)| *present == address);
        let directory = found
            .and_then(|(_, directory)| directory.upgrade())
            .ok_or_else(|| ServiceError::not_run(ErrorKind::PeerUnavailable, "no such entry"))?;
        drop(directories);
        let PeerRequest::ForwardStep(request) = request else {
            panic!("unexpected {request:?}")
        };
        let answer = directory.handle_forwarded(request);
        Ok(Box::new(OneFrame(Some(PeerFrame::StepAnswer(answer)))))
    }
}

impl EntryDirectory for TestNetwork {
    fn entries(&self) -> Vec<(ObjectName, SocketAddr)> {
        vec![(name("entry-1"), address(1)), (name("entry-2"), address(2))]
    }
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index))
}

struct TestSetup {
    network: Arc<TestNetwork>,
    store: Arc<MemoryStore>,
    agents: Arc<TestAgents>,
}

impl TestSetup {
    fn directory(&self, index: u16) -> Arc<RunDirectory> {
        let settings = DirectorySettings {
            host: name(&format!("entry-{index}")),
            holder: format!("entry-{index}"),
            lease_ttl_ms: 3000,
            lease_margin_ms: 500,
            order_ms: 100,
            workers: 4,
        };
        let snapshot = ConfigSnapshot {
            runs: vec![run()],
            ..ConfigSnapshot::default()
        };
        let parts = DirectoryParts {
            source: Arc::new(FixedSource(Arc::new(snapshot))),
            entries: self.network.clone(),
            link: self.network.clone(),
            store: self.store.clone(),
            runner: self.agents.clone(),
            publisher: Arc::new(TestPublisher::default()),
            observer: Arc::new(TestObserver::default()),
            clock: Arc::new(SystemClock::new()),
            logger: discard_logger(),
        };
        let directory = Arc::new(RunDirectory::new(settings, parts));
        let mut directories = self.network.directories.lock().unwrap();
        directories.push((address(index), Arc::downgrade(&directory)));
        directory
    }
}

fn request(action: StepAction) -> StepRequest {
    StepRequest {
        run: run().name,
        customer: run().customer,
        action,
    }
}

/// Repeats a request while its result is pending or the run has no owner, and fails after about 40
/// s.
fn settle(directory: &RunDirectory, action: &StepAction) -> StepAnswer {
    for _ in 0..20_000 {
        match directory.handle(request(action.clone())) {
            StepAnswer::Pending { .. } => {}
            StepAnswer::Refused(error) if error.kind == ErrorKind::NoUpstream => {}
            answer => return answer,
        }
        thread::sleep(Duration::from_millis(2));
    }
    panic!("the request never settled");
}

/// Guards against a run that remains without an owner after its owner drained, and against a batch
/// that the next owner delivers with other samples. Requests are sent to both entries.
#[test]
fn any_entry_reaches_the_owner_and_its_successor() {
    let setup = TestSetup {
        network: Arc::new(TestNetwork::default()),
        store: Arc::new(MemoryStore::default()),
        agents: Arc::new(TestAgents::default()),
    };
    let (first, second) = (setup.directory(1), setup.directory(2));
    first.reconcile().unwrap();
    second.reconcile().unwrap();

    assert_eq!(
        settle(&first, &StepAction::Open(plan(1, 2))),
        StepAnswer::Accepted
    );
    assert_eq!(
        settle(&second, &StepAction::Open(plan(1, 2))),
        StepAnswer::Accepted
    );
    let fetch = StepAction::Fetch { step: 1, cursor: 0 };
    let StepAnswer::Batch { samples, .. } = settle(&second, &fetch) else {
        panic!()
    };

    first.drain();
    let StepAnswer::Batch { samples: again, .. } = settle(&second, &fetch) else {
        panic!()
    };
    assert_eq!(samples, again);
    second.drain();
}

/// Guards against delivering samples to a customer that does not own the run.
#[test]
fn other_customers_are_refused() {
    let setup = TestSetup {
        network: Arc::new(TestNetwork::default()),
        store: Arc::new(MemoryStore::default()),
        agents: Arc::new(TestAgents::default()),
    };
    let directory = setup.directory(1);
    let mut foreign = request(StepAction::Fetch { step: 1, cursor: 0 });
    foreign.customer = name("dispatch-ledger");
    let StepAnswer::Refused(error) = directory.handle(foreign) else {
        panic!()
    };
    assert_eq!(error.kind, ErrorKind::Forbidden);
}
