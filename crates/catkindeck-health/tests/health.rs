//! Tests of readiness, drain and the health address.

use {
    catkindeck::{ErrorKind, ExecutionOutcome, log::discard_logger},
    catkindeck_health::{DrainGate, HealthServer, ReadinessFlag, ShutdownCause, ShutdownWatch},
    prometheus::Registry,
    std::{
        io::{Read, Write},
        net::TcpStream,
        sync::Arc,
        thread,
        time::Duration,
    },
};

fn fetch(server: &HealthServer, path: &str) -> (u16, String) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut response = agent
        .get(format!("http://{}{path}", server.address()))
        .call()
        .expect("the health address responds");
    let body = response.body_mut().read_to_string().expect("a text body");
    (response.status().as_u16(), body)
}

fn start(readiness: &Arc<ReadinessFlag>, gate: &Arc<DrainGate>) -> HealthServer {
    HealthServer::start(
        "127.0.0.1:0".parse().expect("an address"),
        Arc::clone(readiness),
        Arc::clone(gate),
        Registry::new(),
        discard_logger(),
    )
    .expect("the server starts")
}

/// Guards against a process that reports ready while a reason remains.
#[test]
fn readiness_requires_that_no_reason_remains() {
    let readiness = Arc::new(ReadinessFlag::new(discard_logger()));
    let server = start(&readiness, &DrainGate::new());
    readiness.add_reason("configuration", "no configuration yet");
    readiness.add_reason("peers", "no peer yet");
    readiness.remove_reason("peers");
    assert_eq!(
        fetch(&server, "/readyz"),
        (503, "configuration: no configuration yet\n".to_owned())
    );
    assert_eq!(fetch(&server, "/healthz").0, 200);
    readiness.remove_reason("configuration");
    assert_eq!(fetch(&server, "/readyz"), (200, "ready\n".to_owned()));
}

/// Guards against metrics without the work in flight, which operators watch during a drain.
#[test]
fn metrics_show_work_in_flight() {
    let readiness = Arc::new(ReadinessFlag::new(discard_logger()));
    let gate = DrainGate::new();
    let server = start(&readiness, &gate);
    let _guard = gate.enter().expect("the gate is open");
    let (status, metrics) = fetch(&server, "/metrics");
    assert_eq!(status, 200);
    assert!(metrics.contains("catkindeck_in_flight 1\n"), "{metrics}");
    assert!(metrics.contains("catkindeck_ready 1\n"), "{metrics}");
    assert_eq!(fetch(&server, "/other").0, 404);
}

/// Guards against unanswered probes, which make a load balancer remove a healthy process. A server
/// that depends on timing to notice the bytes of a new connection misses about one in a hundred.
#[test]
fn every_probe_is_answered() {
    let readiness = Arc::new(ReadinessFlag::new(discard_logger()));
    let server = start(&readiness, &DrainGate::new());
    let address = server.address();
    let probe = move || {
        let mut stream = TcpStream::connect(address).expect("a connection");
        let limit = Some(Duration::from_secs(10));
        stream.set_read_timeout(limit).expect("a valid timeout");
        let request = b"GET /readyz HTTP/1.1\r\nhost: probe\r\nconnection: close\r\n\r\n";
        stream.write_all(request).expect("sent");
        let mut response = String::new();
        stream.read_to_string(&mut response).is_ok() && response.ends_with("ready\n")
    };
    let probes: Vec<_> = (0..4)
        .map(|_| thread::spawn(move || (0..500).filter(|_| !probe()).count()))
        .collect();
    let unanswered: usize = probes
        .into_iter()
        .map(|probe| probe.join().expect("no panic"))
        .sum();
    assert_eq!(unanswered, 0);
}

/// Guards against a panic at startup when the address is in use by another process.
#[test]
fn address_in_use_is_an_error() {
    let readiness = Arc::new(ReadinessFlag::new(discard_logger()));
    let server = start(&readiness, &DrainGate::new());
    let error = HealthServer::start(
        server.address(),
        readiness,
        DrainGate::new(),
        Registry::new(),
        discard_logger(),
    )
    .expect_err("the address is taken");
    assert!(error.detail.contains("cannot be opened"), "{error}");
}

/// Guards against admitting work after the drain began, which the exit would cut off (G15).
#[test]
fn closed_gate_rejects_work_and_waits_for_the_rest() {
    let gate = DrainGate::new();
    let guard = gate.enter().expect("the gate is open");
    gate.close();
    let rejection = gate.enter().expect_err("the gate is closed");
    assert_eq!(rejection.kind, ErrorKind::ShuttingDown);
    assert_eq!(rejection.execution, ExecutionOutcome::NotRun);
    assert!(!gate.wait_idle(Duration::from_millis(1)));
    drop(guard);
    assert!(gate.wait_idle(Duration::ZERO));
}

/// Guards against a count that is not decremented after a panic, which would prevent the exit.
#[test]
fn panicking_work_is_no_longer_counted() {
    let gate = DrainGate::new();
    let guard = gate.enter().expect("the gate is open");
    let worker = thread::spawn(move || {
        let _guard = guard;
        panic!("the work fails");
    });
    assert!(worker.join().is_err());
    assert_eq!(gate.in_flight(), 0);
}

/// Guards against an exit on SIGTERM that cuts off work in flight (G15).
#[test]
fn shutdown_waits_for_work_in_flight() {
    let readiness = Arc::new(ReadinessFlag::new(discard_logger()));
    let gate = DrainGate::new();
    let guard = gate.enter().expect("the gate is open");
    let watch = ShutdownWatch::install(Arc::clone(&readiness), Arc::clone(&gate), discard_logger())
        .expect("signals are handled");
    signal_hook::low_level::raise(signal_hook::consts::SIGTERM).expect("the signal is raised");
    let (entered, drained) = (Arc::clone(&gate), Arc::clone(&readiness));
    let cause = watch.wait(move || {
        assert!(!drained.is_ready());
        assert_eq!(entered.in_flight(), 1);
        drop(guard);
    });
    assert_eq!(cause, ShutdownCause::Drained);
}
