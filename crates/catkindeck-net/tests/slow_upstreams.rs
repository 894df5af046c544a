//! Upstreams that read a request slowly, and links that lose one, on real sockets.

use {
    bytes::Bytes,
    catkindeck_net::{ClientLimits, HttpClient},
    http::Request,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener as BlockingListener, TcpStream},
        thread,
        time::Duration,
    },
    tokio::{net::TcpSocket, task::LocalSet},
};

const LIMITS: ClientLimits = ClientLimits {
    connect: Duration::from_secs(5),
    idle: Duration::from_secs(30),
    idle_connections: 4,
    open_connections: 100,
    response_bytes: 64 << 10,
};

/// More than the buffers of a connection take.
const BODY_BYTES: usize = 16 << 20;

/// Longer than the time after which unacknowledged data closes a connection with a prompt reader.
const PAUSE: Duration = Duration::from_secs(5);

/// Ends a test that hangs.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Opens a listener whose connections have small receive buffers.
fn listen(backlog: u32) -> BlockingListener {
    let socket = TcpSocket::new_v4().expect("sockets are available");
    socket
        .set_recv_buffer_size(8 << 10)
        .expect("the option exists");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(address).expect("a port is free");
    let listener = socket.listen(backlog).expect("the port is free");
    let listener = listener.into_std().expect("the listener is open");
    listener.set_nonblocking(false).expect("the option exists");
    listener
}

fn request(bytes: usize) -> Request<Bytes> {
    Request::post("/")
        .header("host", "server.example")
        .body(Bytes::from(vec![7_u8; bytes]))
        .expect("the request is valid")
}

/// Reads a whole request and answers it.
fn answer(stream: &mut TcpStream) {
    let mut received = 0;
    let mut buffer = vec![0; 1 << 20];
    while received < BODY_BYTES {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => received += count,
        }
    }
    // If the client is gone, its outcome tells.
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
}

/// Guards against a limit for unacknowledged data that also ends connections to a sound upstream whose window is
/// closed, because it reads nothing for some seconds.
#[tokio::test(flavor = "current_thread")]
async fn an_upstream_that_pauses_gets_the_whole_request() {
    let listener = listen(16);
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        // Other connections are accepted while this one is not read.
        let accepting = thread::spawn(move || listener.incoming().map_while(Result::ok).count());
        thread::sleep(PAUSE);
        answer(&mut stream);
        drop(accepting);
    });
    let client = HttpClient::new(LIMITS).with_slow_readers();
    let call = client.call(address, request(BODY_BYTES), CALL_TIMEOUT);

    let outcome = LocalSet::new().run_until(call).await;

    let response = outcome.expect("the connection is not reset");
    assert_eq!(response.body, "ok");
}

/// Guards against requests that wait for their deadline at a host that is cut off: a closed window and a dead link
/// both take no byte, and only the dead link answers no new connection. The full queue of a listener that accepts
/// nothing drops opening packets like a link that is cut.
#[tokio::test(flavor = "current_thread")]
async fn a_request_on_a_dead_link_ends_before_its_deadline() {
    let listener = listen(1);
    let address = listener.local_addr().expect("the listener has an address");
    let client = HttpClient::new(LIMITS).with_slow_readers();
    let call = async {
        let sent = client.call(address, request(BODY_BYTES), CALL_TIMEOUT);
        let fill = async {
            // The first one is the request's own connection.
            tokio::time::sleep(Duration::from_millis(200)).await;
            let mut queued = Vec::new();
            for _ in 0..8 {
                let connect = tokio::net::TcpStream::connect(address);
                let connected = tokio::time::timeout(Duration::from_millis(50), connect).await;
                queued.push(connected);
            }
            assert!(queued.iter().any(Result::is_err), "the queue is full");
            std::future::pending::<()>().await;
        };
        tokio::select! {
            outcome = sent => outcome,
            () = fill => unreachable!("it never ends"),
        }
    };

    let outcome = LocalSet::new().run_until(call).await;

    let error = outcome.expect_err("nobody reads the request");
    assert!(error.maybe_received, "{error}");
    assert!(error.detail.contains("answers no connection"), "{error}");
}

/// Guards against probes of every upstream: one that takes a small request at once is not probed.
#[tokio::test(flavor = "current_thread")]
async fn a_small_request_opens_no_second_connection() {
    let listener = listen(16);
    let address = listener.local_addr().expect("the listener has an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        thread::sleep(PAUSE);
        listener.set_nonblocking(true).expect("the option exists");
        let others = listener.incoming().map_while(Result::ok).count();
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        others
    });
    let client = HttpClient::new(LIMITS).with_slow_readers();
    let call = client.call(address, request(1 << 10), CALL_TIMEOUT);

    let outcome = LocalSet::new().run_until(call).await;

    assert!(outcome.is_ok());
    assert_eq!(server.join().expect("the server ends"), 0);
}
