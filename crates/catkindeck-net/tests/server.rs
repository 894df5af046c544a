//! The server while it stops under load, and with handlers that panic.

use {
    bytes::Bytes,
    catkindeck::log::discard_logger,
    catkindeck_net::{
        BodySender, HttpHandler, HttpServer, LocalFuture, ResponseBody, ServerControl, ServerLimits,
    },
    http::{Request, Response},
    hyper::body::Incoming,
    std::{cell::RefCell, io::Write, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::{LocalSet, yield_now},
        time::sleep,
    },
};

const LIMITS: ServerLimits = ServerLimits {
    connections: 100,
    header_bytes: 16 << 10,
    idle: Duration::from_secs(10),
    stall: Duration::from_secs(10),
};

/// Answers `/panic` by panicking, `/stream` by a stream that the test continues, and all else at once.
#[derive(Default)]
struct TestHandler {
    streams: RefCell<Vec<BodySender>>,
}

impl HttpHandler for TestHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Response<ResponseBody>> {
        Box::pin(async move {
            match request.uri().path() {
                "/panic" => panic!("the handler panics"),
                "/stream" => {
                    let (sender, body) = ResponseBody::stream();
                    self.streams.borrow_mut().push(sender);
                    Response::new(body)
                }
                _ => Response::new(ResponseBody::whole("done")),
            }
        })
    }
}

struct TestServer {
    address: SocketAddr,
    control: Rc<ServerControl>,
    handler: Rc<TestHandler>,
}

impl TestServer {
    fn start() -> Self {
        let control = ServerControl::new(LIMITS);
        let handler = Rc::new(TestHandler::default());
        let shared = (
            Rc::clone(&control),
            Rc::clone(&handler) as Rc<dyn HttpHandler>,
        );
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = HttpServer::start(address, shared.0, shared.1, discard_logger());
        Self {
            address: address.expect("the server starts"),
            control,
            handler,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("the server's queue has room")
    }
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the connection is open");
}

/// Reads until the server closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    // A reset ends the response as well; what arrived before counts.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8(response).expect("the response is text")
}

async fn run<F: Future>(task: F) -> F::Output {
    LocalSet::new().run_until(task).await
}

/// Guards against requests that are reset because their connections were still in the listener's queue when the
/// server stopped.
#[tokio::test]
async fn connections_that_wait_to_be_accepted_are_answered_after_a_stop() {
    run(async {
        let server = TestServer::start();
        // No task runs between the connections and the stop, so none of them is accepted before it.
        let mut streams = Vec::new();
        for _ in 0..20 {
            let stream = std::net::TcpStream::connect(server.address).expect("the queue has room");
            (&stream)
                .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                .expect("the connection is open");
            streams.push(stream);
        }
        server.control.stop();
        for stream in streams {
            stream.set_nonblocking(true).expect("the option is set");
            let mut stream = TcpStream::from_std(stream).expect("the connection is usable");
            let response = read_to_end(&mut stream).await;
            assert!(response.ends_with("done"), "{response:?}");
        }
    })
    .await;
}

/// Guards against connections that are closed although their callers are just sending a request: the bytes of a
/// head arrive shortly before and shortly after the stop.
#[tokio::test]
async fn a_request_that_arrives_in_parts_around_a_stop_is_answered() {
    run(async {
        let server = TestServer::start();
        let (mut fresh, mut partial) = (server.connect().await, server.connect().await);
        send(&mut partial, "GET / HT").await;
        while server.control.connections() < 2 {
            yield_now().await;
        }
        server.control.stop();
        sleep(Duration::from_millis(50)).await;
        send(&mut fresh, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
        send(&mut partial, "TP/1.1\r\nhost: a\r\n\r\n").await;
        for stream in [&mut fresh, &mut partial] {
            let response = read_to_end(stream).await;
            assert!(response.ends_with("done"), "{response:?}");
        }
    })
    .await;
}

/// Guards against a server that counts a streamed response as ended when its head was sent: a process that stops
/// would exit in the middle of it.
#[tokio::test]
async fn a_stream_is_completed_after_a_stop() {
    run(async {
        let server = TestServer::start();
        let mut stream = server.connect().await;
        send(&mut stream, "GET /stream HTTP/1.1\r\nhost: a\r\n\r\n").await;
        while server.handler.streams.borrow().is_empty() {
            yield_now().await;
        }
        server.control.stop();
        sleep(Duration::from_millis(500)).await;
        assert_eq!(server.control.connections(), 1);
        let sender = server.handler.streams.borrow_mut().remove(0);
        assert!(sender.send(Bytes::from_static(b"last")).await);
        drop(sender);
        let response = read_to_end(&mut stream).await;
        assert!(response.ends_with("0\r\n\r\n"), "{response:?}");
        while server.control.connections() > 0 {
            yield_now().await;
        }
    })
    .await;
}

/// Guards against one faulty request that ends its connection without an answer, or the whole process.
#[tokio::test]
async fn a_handler_that_panics_answers_with_500_and_affects_no_other_request() {
    run(async {
        let server = TestServer::start();
        let mut faulty = server.connect().await;
        send(
            &mut faulty,
            "GET /panic HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        )
        .await;
        let response = read_to_end(&mut faulty).await;
        assert!(response.starts_with("HTTP/1.1 500 "), "{response:?}");
        let mut sound = server.connect().await;
        send(
            &mut sound,
            "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        )
        .await;
        let response = read_to_end(&mut sound).await;
        assert!(response.ends_with("done"), "{response:?}");
        assert_eq!(server.control.requests(), 0);
    })
    .await;
}
