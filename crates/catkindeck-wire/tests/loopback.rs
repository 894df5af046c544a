//! Tests of calls between two endpoints on the loopback interface.

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome,
        config::{ConfigRevision, ConfigSnapshot},
        id::{IncarnationId, RequestId},
        link::{FrameSink, PeerHandler, PeerIdentity, PeerRole},
        message::{MESSAGE_LIMIT, PeerFrame, PeerRequest},
    },
    catkindeck_wire::WireLimits,
    common::{TestAuthority, UdpRelay, start},
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
            mpsc,
        },
        thread,
        time::Duration,
    },
};

/// A timeout that is only reached when a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

type HandlerBody = dyn Fn(&PeerIdentity, PeerRequest, Arc<dyn FrameSink>) + Send + Sync;

struct TestHandler(Box<HandlerBody>);

impl PeerHandler for TestHandler {
    fn handle(&self, peer: &PeerIdentity, request: PeerRequest, reply: Arc<dyn FrameSink>) {
        (self.0)(peer, request, reply);
    }
}

fn handler(
    body: impl Fn(&PeerIdentity, PeerRequest, Arc<dyn FrameSink>) + Send + Sync + 'static,
) -> Arc<dyn PeerHandler> {
    Arc::new(TestHandler(Box::new(body)))
}

fn chunk(sequence: u32, length: usize) -> PeerFrame {
    PeerFrame::Chunk {
        request: RequestId::default(),
        sequence,
        bytes: vec![7; length],
        tokens: 1,
        version: None,
    }
}

/// Guards against lost, reordered or mixed-up frames, and against the handler getting a wrong
/// identity.
#[test]
fn frames_arrive_complete_and_in_order() {
    let authority = TestAuthority::new();
    let (agent, _) = authority.endpoint(PeerRole::Agent, "vault-a-1");
    let (entry, _) = authority.endpoint(PeerRole::Entry, "entry-1");
    agent.serve(handler(|peer, request, reply| {
        assert_eq!(peer.role, PeerRole::Entry);
        assert_eq!(peer.host, "entry-1");
        let PeerRequest::Cancel { request } = request else {
            panic!("unexpected request");
        };
        for sequence in 0..u32::from(request.0[0]) {
            reply.send(chunk(sequence, 50_000)).unwrap();
        }
    }));
    let address = agent.local_address().unwrap();
    let link = entry.link();
    thread::scope(|scope| {
        for count in 1_u8..20 {
            let link = link.clone();
            scope.spawn(move || {
                let request = RequestId([count; 16]);
                let mut stream = link
                    .call(address, PeerRequest::Cancel { request }, TEST_TIMEOUT)
                    .unwrap();
                for sequence in 0..u32::from(count) {
                    assert_eq!(
                        stream.receive(TEST_TIMEOUT).unwrap(),
                        Some(chunk(sequence, 50_000))
                    );
                }
                assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), None);
                assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), None);
            });
        }
    });
}

/// Guards against a receiver that loses the bytes read before its own timeout.
#[test]
fn bytes_read_before_a_timeout_are_kept() {
    let authority = TestAuthority::new();
    let (agent, _) = authority.endpoint(PeerRole::Agent, "vault-a-1");
    let (entry, _) = authority.endpoint(PeerRole::Entry, "entry-1");
    agent.serve(handler(|_, _, reply| {
        for sequence in 0..10 {
            thread::sleep(Duration::from_millis(20));
            reply.send(chunk(sequence, 1_000_000)).unwrap();
        }
    }));
    let address = agent.local_address().unwrap();
    let mut stream = entry
        .link()
        .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
        .unwrap();
    let mut next = 0;
    loop {
        match stream.receive(Duration::from_millis(1)) {
            Ok(Some(frame)) => {
                assert_eq!(frame, chunk(next, 1_000_000));
                next += 1;
            }
            Ok(None) => break,
            Err(error) => {
                assert_eq!(error.kind, ErrorKind::DeadlineExceeded);
                assert_eq!(error.execution, ExecutionOutcome::Unknown);
            }
        }
    }
    assert_eq!(next, 10);
}

/// Guards against oversized messages in either direction.
#[test]
fn an_oversized_message_is_not_sent() {
    let authority = TestAuthority::new();
    let (agent, _) = authority.endpoint(PeerRole::Agent, "vault-a-1");
    let (entry, _) = authority.endpoint(PeerRole::Entry, "entry-1");
    let calls = Arc::new(AtomicU32::new(0));
    let counted = calls.clone();
    agent.serve(handler(move |_, _, reply| {
        counted.fetch_add(1, Ordering::SeqCst);
        let error = reply.send(chunk(0, MESSAGE_LIMIT)).unwrap_err();
        assert_eq!(error.kind, ErrorKind::TooLarge);
        reply.send(PeerFrame::Done).unwrap();
    }));
    let address = agent.local_address().unwrap();
    let find = |length: usize| PeerRequest::FindExecution {
        customer: None,
        route: "desk".try_into().unwrap(),
        idempotency_key: "k".repeat(length),
        forbid_start: false,
    };
    let rejected = entry
        .link()
        .call(address, find(MESSAGE_LIMIT), TEST_TIMEOUT);
    let error = rejected.err().unwrap();
    assert_eq!(error.kind, ErrorKind::TooLarge);
    assert_eq!(error.execution, ExecutionOutcome::NotRun);
    assert_eq!(calls.load(Ordering::SeqCst), 0);

    let mut stream = entry
        .link()
        .call(address, find(MESSAGE_LIMIT - 100), TEST_TIMEOUT)
        .unwrap();
    assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), Some(PeerFrame::Done));
}

/// Guards against agents that continue to work for a caller that has disconnected.
#[test]
fn a_dropped_stream_notifies_the_handler() {
    let authority = TestAuthority::new();
    let (agent, _) = authority.endpoint(PeerRole::Agent, "vault-a-1");
    let (entry, _) = authority.endpoint(PeerRole::Entry, "entry-1");
    let (notifier, notified) = mpsc::channel();
    let notifier = Mutex::new(notifier);
    agent.serve(handler(move |_, _, reply| {
        reply.send(PeerFrame::Done).unwrap();
        while !reply.is_closed() {
            thread::sleep(Duration::from_millis(1));
        }
        let error = reply.send(PeerFrame::Done).unwrap_err();
        notifier.lock().unwrap().send(error.kind).unwrap();
    }));
    let address = agent.local_address().unwrap();
    let mut stream = entry
        .link()
        .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
        .unwrap();
    assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), Some(PeerFrame::Done));
    drop(stream);
    let kind = notified.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(kind, ErrorKind::PeerUnavailable);
}

/// Guards against a complete, acknowledged response being treated as a reset.
#[test]
fn an_acknowledged_response_is_not_a_reset() {
    let authority = TestAuthority::new();
    let (agent, _) = authority.endpoint(PeerRole::Agent, "vault-a-1");
    let (entry, _) = authority.endpoint(PeerRole::Entry, "entry-1");
    let closed = Arc::new(AtomicBool::new(false));
    let observed = closed.clone();
    agent.serve(handler(move |_, _, reply| {
        reply.send(PeerFrame::Done).unwrap();
        observed.store(reply.is_closed(), Ordering::SeqCst);
    }));
    let address = agent.local_address().unwrap();
    for _ in 0..100 {
        let mut stream = entry
            .link()
            .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
            .unwrap();
        assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), Some(PeerFrame::Done));
        assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), None);
        assert!(!closed.load(Ordering::SeqCst));
    }
}

/// Guards against a truncated response that looks complete: the stream of a failed handler must not
/// end normally.
#[test]
fn a_failed_handler_resets_the_stream() {
    let authority = TestAuthority::new();
    let (agent, _) = authority.endpoint(PeerRole::Agent, "vault-a-1");
    let (entry, _) = authority.endpoint(PeerRole::Entry, "entry-1");
    agent.serve(handler(|_, _, reply| {
        reply.send(PeerFrame::Done).unwrap();
        panic!("the handler of this test fails");
    }));
    let address = agent.local_address().unwrap();
    let mut stream = entry
        .link()
        .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
        .unwrap();
    // The reset may overtake the frame.
    let error = loop {
        match stream.receive(TEST_TIMEOUT) {
            Ok(Some(frame)) => assert_eq!(frame, PeerFrame::Done),
            Ok(None) => panic!("the response looks complete"),
            Err(error) => break error,
        }
    };
    assert_eq!(error.kind, ErrorKind::PeerUnavailable);
    assert_eq!(error.execution, ExecutionOutcome::Unknown);
}

/// Guards against calls that hang on connections to an earlier process at the same address.
///
/// Without stateless resets under a persistent key the caller would wait for the idle timeout, one
/// hour in this test.
#[test]
fn a_restarted_peer_is_reached_again() {
    let authority = TestAuthority::new();
    let tls = authority.tls(PeerRole::Agent, "vault-a-1");
    let limits = WireLimits {
        idle_timeout: Duration::from_secs(3600),
        ..WireLimits::default()
    };
    let listen = "127.0.0.1:0".parse().unwrap();
    let (agent, _) = start(tls.clone(), listen, limits.clone());
    let done = |_: &PeerIdentity, _, reply: Arc<dyn FrameSink>| {
        reply.send(PeerFrame::Done).unwrap();
    };
    agent.serve(handler(done));
    let relay = UdpRelay::start(agent.local_address().unwrap());
    let address = relay.address();
    let entry_tls = authority.tls(PeerRole::Entry, "entry-1");
    let (entry, _) = start(entry_tls, listen, limits.clone());
    let link = entry.link();
    let mut stream = link
        .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
        .unwrap();
    assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), Some(PeerFrame::Done));
    drop(stream);

    // The old process disappears without closing its connections, and a new one replaces it.
    relay.block();
    drop(agent);
    let (agent, _) = start(tls, listen, limits);
    agent.serve(handler(done));
    relay.forward_to(agent.local_address().unwrap());

    // The first call may use the lost connection; it must then fail quickly, and as unknown.
    let first = link
        .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
        .and_then(|mut stream| stream.receive(TEST_TIMEOUT));
    if let Err(error) = first {
        assert_eq!(error.kind, ErrorKind::PeerUnavailable);
        assert_eq!(error.execution, ExecutionOutcome::Unknown);
    }
    let mut stream = link
        .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
        .unwrap();
    assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), Some(PeerFrame::Done));
}

/// Guards against waiting forever for a peer that stopped responding.
#[test]
fn a_silent_peer_is_detected() {
    let authority = TestAuthority::new();
    let limits = WireLimits {
        keep_alive: Duration::from_millis(50),
        idle_timeout: Duration::from_millis(300),
        ..WireLimits::default()
    };
    let listen = "127.0.0.1:0".parse().unwrap();
    let (agent, _) = start(
        authority.tls(PeerRole::Agent, "vault-a-1"),
        listen,
        limits.clone(),
    );
    let (entry, _) = start(authority.tls(PeerRole::Entry, "entry-1"), listen, limits);
    agent.serve(handler(|_, _, reply| {
        reply.send(PeerFrame::Done).unwrap();
        while !reply.is_closed() {
            thread::sleep(Duration::from_millis(1));
        }
    }));
    let relay = UdpRelay::start(agent.local_address().unwrap());
    let address = relay.address();
    let link = entry.link();
    let mut stream = link
        .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
        .unwrap();
    assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), Some(PeerFrame::Done));
    relay.block();
    let error = stream.receive(TEST_TIMEOUT).unwrap_err();
    assert_eq!(error.kind, ErrorKind::PeerUnavailable);
    assert_eq!(error.execution, ExecutionOutcome::Unknown);

    // A request to an address that does not respond provably did not run.
    let error = link
        .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
        .err()
        .unwrap();
    assert_eq!(error.kind, ErrorKind::PeerUnavailable);
    assert_eq!(error.execution, ExecutionOutcome::NotRun);
}

/// Guards against an unbounded number of threads, and against a rejection without `not_run`.
#[test]
fn calls_beyond_the_limit_are_rejected() {
    let authority = TestAuthority::new();
    let limits = WireLimits {
        concurrent_calls: 2,
        ..WireLimits::default()
    };
    let listen = "127.0.0.1:0".parse().unwrap();
    let (agent, _) = start(authority.tls(PeerRole::Agent, "vault-a-1"), listen, limits);
    let released = Arc::new(AtomicBool::new(false));
    let release = released.clone();
    agent.serve(handler(move |_, _, reply| {
        reply.send(PeerFrame::Done).unwrap();
        while !released.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
    }));
    let address = agent.local_address().unwrap();
    let (first, _) = authority.endpoint(PeerRole::Entry, "entry-1");
    let (second, _) = authority.endpoint(PeerRole::Entry, "entry-2");
    let mut held = Vec::new();
    for _ in 0..2 {
        let mut stream = first
            .link()
            .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
            .unwrap();
        assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), Some(PeerFrame::Done));
        held.push(stream);
    }
    let mut stream = second
        .link()
        .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
        .unwrap();
    let Some(PeerFrame::Failed(error)) = stream.receive(TEST_TIMEOUT).unwrap() else {
        panic!("the call beyond the limit was handled");
    };
    assert_eq!(error.kind, ErrorKind::Overloaded);
    assert_eq!(error.execution, ExecutionOutcome::NotRun);
    release.store(true, Ordering::SeqCst);
    for mut stream in held {
        assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), None);
    }
}

/// Guards against serving with an old configuration after a peer announced a higher revision.
#[test]
fn a_higher_revision_is_announced_before_the_handler() {
    let authority = TestAuthority::new();
    let (agent, agent_hook) = authority.endpoint(PeerRole::Agent, "vault-a-1");
    let (entry, entry_hook) = authority.endpoint(PeerRole::Entry, "entry-1");
    let hook = agent_hook.clone();
    agent.serve(handler(move |_, _, reply| {
        let revision = ConfigRevision(hook.revision.load(Ordering::SeqCst));
        reply.send(PeerFrame::Revision(revision)).unwrap();
    }));
    let address = agent.local_address().unwrap();
    let request_frame = |request| {
        let mut stream = entry.link().call(address, request, TEST_TIMEOUT).unwrap();
        stream.receive(TEST_TIMEOUT).unwrap()
    };
    agent_hook.revision.store(5, Ordering::SeqCst);
    entry_hook.revision.store(3, Ordering::SeqCst);
    let response = request_frame(PeerRequest::ReadLoad);
    assert_eq!(response, Some(PeerFrame::Revision(ConfigRevision(5))));
    assert!(agent_hook.seen.lock().unwrap().is_empty());

    entry_hook.revision.store(9, Ordering::SeqCst);
    // A request that carries a configuration makes a fetch by the hook unnecessary.
    let push = PeerRequest::PushConfiguration(Box::<ConfigSnapshot>::default());
    let response = request_frame(push);
    assert_eq!(response, Some(PeerFrame::Revision(ConfigRevision(5))));
    let response = request_frame(PeerRequest::ReadLoad);
    assert_eq!(response, Some(PeerFrame::Revision(ConfigRevision(9))));
    let seen = agent_hook.seen.lock().unwrap().clone();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].0, ConfigRevision(9));
    assert_eq!(seen[0].1.host, "entry-1");
    assert_eq!(seen[0].2, entry.local_address().unwrap());
}

/// Guards against accepting peers of another authority or a server with an operator's certificate.
#[test]
fn connections_require_valid_certificates() {
    let authority = TestAuthority::new();
    let done = |_: &PeerIdentity, _, reply: Arc<dyn FrameSink>| {
        reply.send(PeerFrame::Done).unwrap();
    };
    let (agent, _) = authority.endpoint(PeerRole::Agent, "vault-a-1");
    agent.serve(handler(done));
    let call = |endpoint: &catkindeck_wire::PeerEndpoint, address| {
        endpoint
            .link()
            .call(address, PeerRequest::ReadLoad, TEST_TIMEOUT)
            .and_then(|mut stream| stream.receive(TEST_TIMEOUT))
    };
    let address = agent.local_address().unwrap();
    let (operator, _) = authority.endpoint(PeerRole::Operator, "anna");
    assert_eq!(call(&operator, address).unwrap(), Some(PeerFrame::Done));

    let (stranger, _) = TestAuthority::new().endpoint(PeerRole::Entry, "entry-1");
    let error = call(&stranger, address).unwrap_err();
    assert_eq!(error.kind, ErrorKind::PeerUnavailable);

    operator.serve(handler(done));
    let (entry, _) = authority.endpoint(PeerRole::Entry, "entry-1");
    let error = call(&entry, operator.local_address().unwrap()).unwrap_err();
    assert_eq!(error.kind, ErrorKind::PeerUnavailable);
    assert_eq!(error.execution, ExecutionOutcome::NotRun);
}

/// Guards against the incarnation and other identifiers changing in transit.
#[test]
fn requests_arrive_as_sent() {
    let authority = TestAuthority::new();
    let (agent, _) = authority.endpoint(PeerRole::Agent, "vault-a-1");
    let (entry, _) = authority.endpoint(PeerRole::Entry, "entry-1");
    let (sent, received) = mpsc::channel();
    let sent = Mutex::new(sent);
    agent.serve(handler(move |_, request, reply| {
        sent.lock().unwrap().send(request).unwrap();
        reply.send(PeerFrame::Done).unwrap();
    }));
    let request = PeerRequest::Revoke {
        request: RequestId::random(),
        incarnation: IncarnationId::random(),
    };
    let address = agent.local_address().unwrap();
    let mut stream = entry
        .link()
        .call(address, request.clone(), TEST_TIMEOUT)
        .unwrap();
    assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), Some(PeerFrame::Done));
    assert_eq!(received.recv().unwrap(), request);
}
