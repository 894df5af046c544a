//! The client against servers that send bytes which are no response, or a second response.

use {
    bytes::Bytes,
    catkindeck_net::{
        ClientLimits, HttpClient, IdentifiedRequest, SendGuard, carried::MAX_CARRIED_REQUESTS,
    },
    http::Request,
    std::{
        cell::Cell,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
    tokio::{sync::Notify, task::LocalSet},
};

const LIMITS: ClientLimits = ClientLimits {
    connect: Duration::from_secs(5),
    idle: Duration::from_secs(30),
    idle_connections: 4,
    open_connections: 100,
    response_bytes: 64 << 10,
};

/// The time limit of calls that must fail for another reason.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a server that serves each connection by `serve` and returns its address.
fn start_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Reads the head of a request. Returns `false` at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => received.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Sends bytes until the client closes the connection and counts them.
fn send_without_end(stream: &mut TcpStream, part: &[u8], sent: &AtomicUsize) {
    while stream.write_all(part).is_ok() {
        sent.fetch_add(part.len(), Ordering::Relaxed);
    }
}

fn request() -> Request<Bytes> {
    Request::get("/")
        .header("host", "server.example")
        .body(Bytes::new())
        .expect("the request is valid")
}

async fn run<F: Future>(task: F) -> F::Output {
    LocalSet::new().run_until(task).await
}

/// Guards against a client that buffers a head without end until the process runs out of memory.
#[tokio::test]
async fn a_head_without_end_is_given_up_and_its_connection_closed() {
    for part in [
        &b"HTTP/1.1 200 OK\r\nx-endless: "[..],
        &b"no protocol at all "[..],
    ] {
        let sent = Arc::new(AtomicUsize::new(0));
        let (count, closed) = (Arc::clone(&sent), Arc::new(AtomicUsize::new(0)));
        let done = Arc::clone(&closed);
        let address = start_server(move |mut stream| {
            if read_request(&mut stream) && stream.write_all(part).is_ok() {
                send_without_end(&mut stream, &[b'x'; 4_096], &count);
            }
            done.store(1, Ordering::Release);
        });
        let client = HttpClient::new(LIMITS);

        let outcome = run(client.call(address, request(), CALL_TIMEOUT)).await;

        let error = outcome.expect_err("the bytes are no response");
        assert!(error.maybe_received);
        while closed.load(Ordering::Acquire) == 0 {
            thread::sleep(Duration::from_millis(5));
        }
        assert!(!client.has_idle(address));
    }
}

/// Guards against a client that reads a body without end into memory.
#[tokio::test]
async fn a_body_without_end_is_given_up_and_its_connection_closed() {
    for head in [
        &b"HTTP/1.1 200 OK\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"[..],
    ] {
        let closed = Arc::new(AtomicUsize::new(0));
        let done = Arc::clone(&closed);
        let address = start_server(move |mut stream| {
            if read_request(&mut stream) && stream.write_all(head).is_ok() {
                let chunk = [b"1000\r\n".to_vec(), vec![b'x'; 4_096], b"\r\n".to_vec()].concat();
                send_without_end(&mut stream, &chunk, &AtomicUsize::new(0));
            }
            done.store(1, Ordering::Release);
        });
        let client = HttpClient::new(LIMITS);

        let outcome = run(client.call(address, request(), CALL_TIMEOUT)).await;

        let error = outcome.expect_err("the body has no end");
        assert!(error.detail.contains("limit"), "{error}");
        while closed.load(Ordering::Acquire) == 0 {
            thread::sleep(Duration::from_millis(5));
        }
        assert!(!client.has_idle(address));
    }
}

/// Guards against a client that reads what is neither head nor content for as long as a server sends it, and takes all
/// time of the event loop: responses that announce another one, digits of a chunk's length, trailers.
#[tokio::test]
async fn a_response_without_content_is_given_up_and_its_connection_closed() {
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let trailers = [&chunked[..], b"0\r\n"].concat();
    for (head, part) in [
        (Vec::new(), b"HTTP/1.1 103 More\r\n\r\n".repeat(100)),
        (chunked.clone(), vec![b'0'; 4_096]),
        (trailers, b"x-more: value\r\n".repeat(100)),
    ] {
        let sent = Arc::new(AtomicUsize::new(0));
        let closed = Arc::new(AtomicUsize::new(0));
        let (count, done) = (Arc::clone(&sent), Arc::clone(&closed));
        let address = start_server(move |mut stream| {
            if read_request(&mut stream) && stream.write_all(&head).is_ok() {
                send_without_end(&mut stream, &part, &count);
            }
            done.store(1, Ordering::Release);
        });
        let client = HttpClient::new(LIMITS);

        let outcome = run(client.call(address, request(), CALL_TIMEOUT)).await;

        let error = outcome.expect_err("the response has no end");
        assert!(error.maybe_received, "{error}");
        assert!(
            !error.detail.contains("time limit"),
            "it was read until then"
        );
        while closed.load(Ordering::Acquire) == 0 {
            thread::sleep(Duration::from_millis(5));
        }
        assert!(!client.has_idle(address));
    }
}

/// Guards against sound responses that are given up because much of them is not content: chunks of a single byte, and
/// many responses on one connection.
#[tokio::test]
async fn responses_in_small_chunks_are_read_whole() {
    const CHUNKS: usize = 60_000;
    let address = start_server(|mut stream| {
        while read_request(&mut stream) {
            let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
            let response = [head, b"1\r\nx\r\n".repeat(CHUNKS), b"0\r\n\r\n".to_vec()].concat();
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    });
    let client = HttpClient::new(ClientLimits {
        response_bytes: CHUNKS,
        ..LIMITS
    });
    run(async {
        for _ in 0..4 {
            let response = client.call(address, request(), CALL_TIMEOUT).await;
            assert_eq!(response.expect("it is sound").body.len(), CHUNKS);
        }
    })
    .await;
    assert_eq!(client.opened(), 1, "the connection is kept");
}

/// Guards against a late second response on a connection that is kept: a request that is sent again after a failure must
/// not use the connection of the failure, which other requests may use.
#[tokio::test]
async fn a_request_is_not_sent_again_on_the_connection_of_its_failure() {
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    let address = start_server(move |mut stream| {
        let number = count.fetch_add(1, Ordering::AcqRel);
        // The second copy of the response arrives with the next request.
        while read_request(&mut stream) {
            let answer = format!("HTTP/1.1 500 Failed\r\ncontent-length: 1\r\n\r\n{number}");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
    run(async {
        let client = HttpClient::new(LIMITS);
        for expected in 0..3 {
            let number = send_identified(&client, address, "failed").await;
            assert_eq!(
                number, expected,
                "the connection of a failure is used again"
            );
            let number = send_identified(&client, address, &format!("other-{expected}")).await;
            assert_eq!(number, expected, "the connection of a failure is not kept");
        }
    })
    .await;
    assert_eq!(connections.load(Ordering::Acquire), 3);
}

/// Guards against a request that is sent after the permission for it has ended while the connection was opened.
#[tokio::test]
async fn a_request_is_not_sent_after_its_permit_ended() {
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    let address = start_server(move |mut stream| {
        while read_request(&mut stream) {
            count.fetch_add(1, Ordering::AcqRel);
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            if stream.write_all(answer).is_err() {
                return;
            }
        }
    });
    run(async {
        let client = HttpClient::new(LIMITS);
        let is_permitted = Cell::new(true);
        let permit = || is_permitted.get();
        let allowed = client.call_if(address, request(), CALL_TIMEOUT, &permit);
        assert!(allowed.await.is_ok());
        is_permitted.set(false);
        // Once on the pooled connection and once on a new one.
        for _ in 0..2 {
            let refused = client.call_if(address, request(), CALL_TIMEOUT, &permit);
            let error = refused.await.expect_err("the permit has ended");
            assert!(!error.maybe_received, "{error}");
            client.close(address);
        }
    })
    .await;
    assert_eq!(requests.load(Ordering::Acquire), 1);
}

/// Guards against an order that is written after its permission ended on a busy event loop: other tasks run between
/// the moment at which a request is handed to its connection and the one at which the connection writes it.
#[tokio::test]
async fn a_request_is_not_written_after_its_permit_ended_in_the_queue() {
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    let address = start_server(move |mut stream| {
        while read_request(&mut stream) {
            count.fetch_add(1, Ordering::AcqRel);
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            if stream.write_all(answer).is_err() {
                return;
            }
        }
    });
    run(async {
        let client = HttpClient::new(LIMITS);
        let allowed: SendGuard = Rc::new(|| true);
        let answered = client.call_guarded(address, request(), CALL_TIMEOUT, &allowed);
        assert!(answered.await.is_ok());
        let is_permitted = Rc::new(Cell::new(true));
        let queue = Rc::new(Notify::new());
        let (permitted, waiting) = (Rc::clone(&is_permitted), Rc::clone(&queue));
        tokio::task::spawn_local(async move {
            waiting.notified().await;
            permitted.set(false);
        });
        tokio::task::yield_now().await;
        // The first question queues the task that ends the permission, before the task of the pooled connection.
        let guard: SendGuard = Rc::new(move || {
            queue.notify_one();
            is_permitted.get()
        });
        let refused = client.call_guarded(address, request(), CALL_TIMEOUT, &guard);
        let error = refused.await.expect_err("the permit has ended");
        assert!(!error.maybe_received, "{error}");
    })
    .await;
    assert_eq!(requests.load(Ordering::Acquire), 1);
}

/// Guards against a process that opens connections until it runs out of file descriptors, and with them out of
/// callers and peers: thousands of upstreams with several requests each.
#[tokio::test]
async fn open_connections_are_limited_and_idle_ones_make_room() {
    let serve = |mut stream: TcpStream| {
        while read_request(&mut stream) {
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            if stream.write_all(answer).is_err() {
                return;
            }
        }
    };
    let addresses = [(); 4].map(|()| start_server(serve));
    let limits = ClientLimits {
        open_connections: 2,
        ..LIMITS
    };
    let client = HttpClient::new(limits);
    run(async {
        let first = client.send(addresses[0], request()).await;
        let second = client.send(addresses[1], request()).await;
        assert_eq!(client.open_connections(), 2);
        assert!(!client.has_room());
        let refused = client.send(addresses[2], request()).await;
        let error = refused.err().expect("both connections are in use");
        assert!(!error.maybe_received, "{error}");

        for exchange in [first, second] {
            let exchange = exchange.expect("the server answers");
            exchange.read_to_end(16).await.expect("the body is whole");
        }
        // At most half of the connections stay idle, and one of these makes room for another address.
        assert_eq!(client.open_connections(), 1);
        let mut running = Vec::new();
        for address in &addresses[2..] {
            running.push(client.send(*address, request()).await);
        }
        assert!(running.iter().all(Result::is_ok));
        assert_eq!(client.open_connections(), 2);
    })
    .await;
}

/// Starts a server that answers each request with the number of its connection and counts the connections.
fn start_numbered_server(connections: &Arc<AtomicUsize>) -> SocketAddr {
    let connections = Arc::clone(connections);
    start_server(move |mut stream| {
        let number = connections.fetch_add(1, Ordering::AcqRel).to_string();
        let length = number.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{number}");
        while read_request(&mut stream) {
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Sends a request with an identifier and returns the number of the connection that carried it.
async fn send_identified(client: &HttpClient, address: SocketAddr, id: &str) -> usize {
    let identified = IdentifiedRequest::new(id, request());
    let exchange = client.send_if(address, identified, &|| true).await;
    let exchange = exchange.expect("the server answers");
    let response = exchange.read_to_end(16).await.expect("the body is whole");
    let number = String::from_utf8_lossy(&response.body);
    number.parse().expect("it is a number")
}

/// Guards against a second copy of a response that is taken for the response to a later request with the same identifier:
/// no connection may carry an identifier twice, whatever it carried in between and however often the identifier comes.
#[tokio::test]
async fn a_connection_never_carries_an_identifier_twice() {
    let connections = Arc::default();
    let address = start_numbered_server(&connections);
    let client = HttpClient::new(LIMITS);
    run(async {
        let mut used = Vec::new();
        // The client keeps at most this many idle connections.
        for round in 0..LIMITS.idle_connections * 3 {
            let number = send_identified(&client, address, "again").await;
            assert!(!used.contains(&number), "connection {number}: {used:?}");
            used.push(number);
            for other in 0..3 {
                let id = format!("other-{round}-{other}");
                let number = send_identified(&client, address, &id).await;
                assert!(used.contains(&number), "{id} got a connection of its own");
            }
        }
        assert_eq!(client.opened(), used.len() as u64);
        assert_eq!(client.passed_over(), used.len() as u64 - 1);
    })
    .await;
}

/// Guards against identifiers that fill the memory of a process with long-lived connections, and against a connection
/// that forgets an identifier instead.
#[tokio::test]
async fn a_connection_is_closed_when_it_has_carried_many_requests() {
    let connections = Arc::default();
    let address = start_numbered_server(&connections);
    let client = HttpClient::new(LIMITS);
    run(async {
        for index in 0..2 * MAX_CARRIED_REQUESTS {
            let number = send_identified(&client, address, &format!("ordinary-{index}")).await;
            assert_eq!(number, index / MAX_CARRIED_REQUESTS, "request {index}");
        }
        assert_eq!(client.opened(), 2);
        assert_eq!(client.passed_over(), 0);
    })
    .await;
}

/// Guards against a response that nobody asked for, which a connection without a request holds when the next call takes
/// it: calls to the store, to the platform and between processes have no identifier that could tell.
#[tokio::test]
async fn a_response_that_nobody_asked_for_answers_no_call() {
    for pause in [None, Some(Duration::ZERO), Some(Duration::from_millis(1))] {
        let requests = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&requests);
        let address = start_server(move |mut stream| {
            while read_request(&mut stream) {
                let number = count.fetch_add(1, Ordering::AcqRel);
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{number:04}");
                let is_open = match pause {
                    None => stream.write_all(answer.repeat(2).as_bytes()).is_ok(),
                    Some(pause) => {
                        let is_open = stream.write_all(answer.as_bytes()).is_ok();
                        thread::sleep(pause);
                        is_open && stream.write_all(answer.as_bytes()).is_ok()
                    }
                };
                if !is_open {
                    return;
                }
            }
        });
        let client = HttpClient::new(LIMITS);
        run(async {
            let mut last = None;
            for call in 0..200 {
                if pause.is_some() {
                    // The copy has arrived when the next call is made.
                    tokio::time::sleep(Duration::from_millis(3)).await;
                }
                let outcome = client.call(address, request(), CALL_TIMEOUT).await;
                let response = outcome.expect("the server answers");
                let number: usize = String::from_utf8_lossy(&response.body)
                    .parse()
                    .expect("it is a number");
                assert!(
                    last.is_none_or(|last| number > last),
                    "call {call} got response {number} after {last:?}, with a pause of {pause:?}"
                );
                last = Some(number);
            }
        })
        .await;
    }
}
