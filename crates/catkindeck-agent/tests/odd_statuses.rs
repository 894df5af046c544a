//! Tests an agent with an upstream whose responses have a status that HTTP does not define.

mod common;

use {
    catkindeck::{ErrorKind, ExecutionOutcome, link::PeerRole},
    common::{TestSetup, call, completion},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
    },
};

const ODD_STATUSES: [&str; 12] = [
    "000 Nothing",
    "001 Low",
    "099 Low",
    "101 Switching Protocols",
    "600 High",
    "999 High",
    "1000 Long",
    "20 Short",
    "2x0 Mixed",
    "abc None",
    "-01 Negative",
    "",
];

/// Starts an upstream that answers all calls with a status, and counts those with a body.
fn start_upstream(status: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&calls);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let count = Arc::clone(&count);
            thread::spawn(move || answer(stream, status, &count));
        }
    });
    (address, calls)
}

fn answer(mut stream: TcpStream, status: &str, calls: &AtomicUsize) {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while !received.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => received.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    // Reports of an engine are sound, so that it counts as running.
    let response = match received.starts_with(b"POST") {
        true => {
            calls.fetch_add(1, Ordering::AcqRel);
            format!("HTTP/1.1 {status}\r\ncontent-length: 3\r\n\r\nodd")
        }
        false => "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"version\":1}".to_owned(),
    };
    // The agent may have closed the connection.
    let _ = stream.write_all(response.as_bytes());
}

/// Guards against a response with an undefined status that is passed on as an answer, or counts as a request that was not
/// sent, which would be sent again although it may have run.
#[test]
fn an_undefined_status_is_no_answer() {
    let mut answered = Vec::new();
    for status in ODD_STATUSES {
        for kind in ["plain", "engine"] {
            let (address, calls) = start_upstream(status);
            let base = TestSetup::new();
            let agent = base.start_agent("vault-a-1", kind, address, "");
            let entry = base.start_peer(PeerRole::Entry, "entry-1");
            entry.configure(&agent, 1, |_| {});
            let request = match kind {
                "plain" => call("/orders/7", b"carton 7"),
                _ => completion("carton 7", 4),
            };
            let response = entry.execute(&agent, &request);
            let error = response.refused.map(|error| (error.kind, error.execution));
            let expected = Some((ErrorKind::UpstreamFailed, ExecutionOutcome::Unknown));
            let calls = calls.load(Ordering::Acquire);
            if response.head.is_some() || error != expected || calls != 1 {
                answered.push(format!(
                    "`{status}` of a {kind}: {:?}, {error:?}, {calls} calls",
                    response.head
                ));
            }
        }
    }
    assert!(answered.is_empty(), "{}", answered.join("\n"));
}
