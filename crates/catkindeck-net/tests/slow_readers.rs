//! Callers that read slowly or not at all. What the server holds for them is bounded, and a caller that
//! goes on reading gets its whole response.

use {
    bytes::Bytes,
    catkindeck::log::discard_logger,
    catkindeck_net::{
        BodySender, HttpHandler, HttpServer, LocalFuture, ResponseBody, ServerControl, ServerLimits,
    },
    http::{Request, Response},
    hyper::body::Incoming,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        task::{LocalSet, yield_now},
        time::sleep,
    },
};

/// More than the buffers of a connection hold, so that most of the body waits in the process.
const BODY_BYTES: usize = 16 << 20;

/// The size of one part of a streamed body.
const PART_BYTES: usize = 64 << 10;

/// The bytes of one stream that may wait for its caller: a quarter of a mebibyte, the part that is being
/// written, and the part on its way to the connection.
const STREAM_BOUND: u64 = (256 << 10) + 2 * PART_BYTES as u64;

/// Longer than a connection may have unacknowledged data.
const PAUSE: Duration = Duration::from_millis(4_500);

#[derive(Default)]
struct SlowHandler {
    streams: RefCell<Vec<BodySender>>,
}

impl HttpHandler for SlowHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Response<ResponseBody>> {
        Box::pin(async move {
            if request.uri().path() == "/stream" {
                let (sender, body) = ResponseBody::stream();
                self.streams.borrow_mut().push(sender);
                return Response::new(body);
            }
            Response::new(ResponseBody::whole(vec![7_u8; BODY_BYTES]))
        })
    }
}

struct SlowServer {
    address: SocketAddr,
    control: Rc<ServerControl>,
    handler: Rc<SlowHandler>,
}

impl SlowServer {
    fn start(stall: Duration) -> Self {
        let control = ServerControl::new(ServerLimits {
            connections: 100,
            header_bytes: 16 << 10,
            idle: Duration::from_secs(30),
            stall,
        });
        let handler = Rc::new(SlowHandler::default());
        let address = HttpServer::start(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            Rc::clone(&control),
            Rc::clone(&handler) as Rc<dyn HttpHandler>,
            discard_logger(),
        );
        Self {
            address: address.expect("the server starts"),
            control,
            handler,
        }
    }

    /// Connects a caller whose own buffer is small, and sends its request.
    async fn request(&self, path: &str) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("sockets are available");
        socket
            .set_recv_buffer_size(4 << 10)
            .expect("the option exists");
        let mut stream = socket
            .connect(self.address)
            .await
            .expect("the server's queue has room");
        let head = format!("GET {path} HTTP/1.1\r\nHost: slow\r\nConnection: close\r\n\r\n");
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the request is sent");
        stream
    }

    async fn await_held(&self, is_reached: impl Fn(u64) -> bool) {
        while !is_reached(self.control.held_bytes()) {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Guards against a time limit for unacknowledged data that also ends connections whose caller is alive but
/// does not read for some seconds.
#[tokio::test(flavor = "current_thread")]
async fn a_caller_that_pauses_gets_its_whole_response() {
    run_local(async {
        let server = SlowServer::start(Duration::from_secs(30));
        let mut caller = server.request("/whole").await;
        server.await_held(|held| held > 0).await;
        sleep(PAUSE).await;
        let mut received = Vec::new();
        caller
            .read_to_end(&mut received)
            .await
            .expect("the connection is not reset");
        assert!(received.len() > BODY_BYTES, "{} bytes", received.len());
        server.await_held(|held| held == 0).await;
    })
    .await;
}

/// Guards against streams that buffer what an upstream sends at full speed while their callers do not read.
#[tokio::test(flavor = "current_thread")]
async fn a_stream_holds_a_bounded_number_of_bytes_for_each_slow_caller() {
    run_local(async {
        let server = SlowServer::start(Duration::from_secs(30));
        let mut callers = Vec::new();
        for _ in 0..10 {
            callers.push(server.request("/stream").await);
        }
        while server.handler.streams.borrow().len() < 10 {
            yield_now().await;
        }
        let senders: Vec<BodySender> = server.handler.streams.borrow().clone();
        for sender in senders {
            tokio::task::spawn_local(async move {
                for _ in 0..BODY_BYTES / PART_BYTES {
                    sender.send(Bytes::from(vec![7_u8; PART_BYTES])).await;
                }
            });
        }
        let mut highest = 0;
        // The buffers of the system are full after a few hundred rounds.
        for _ in 0..2_000 {
            yield_now().await;
            highest = highest.max(server.control.held_bytes());
        }
        assert!(highest > 0, "nothing was held");
        assert!(highest <= 10 * STREAM_BOUND, "{highest} bytes were held");
    })
    .await;
}

/// Guards against callers that occupy memory for as long as they like without reading.
#[tokio::test(flavor = "current_thread")]
async fn a_caller_that_reads_nothing_is_disconnected() {
    run_local(async {
        let server = SlowServer::start(Duration::from_millis(200));
        let _caller = server.request("/whole").await;
        server.await_held(|held| held > 0).await;
        server.await_held(|held| held == 0).await;
        while server.control.connections() > 0 {
            yield_now().await;
        }
    })
    .await;
}

/// Guards against a limit on time that ends the response of a slow caller who goes on reading.
#[tokio::test(flavor = "current_thread")]
async fn a_slow_caller_that_goes_on_reading_is_not_disconnected() {
    run_local(async {
        let server = SlowServer::start(Duration::from_millis(500));
        let mut caller = server.request("/whole").await;
        server.await_held(|held| held > 0).await;
        let mut received = 0;
        let mut buffer = vec![0; 1 << 20];
        for _ in 0..12 {
            sleep(Duration::from_millis(100)).await;
            let wanted = buffer.len();
            caller
                .read_exact(&mut buffer)
                .await
                .expect("the connection is open");
            received += wanted;
        }
        let mut rest = Vec::new();
        caller
            .read_to_end(&mut rest)
            .await
            .expect("the connection is not reset");
        assert!(received + rest.len() > BODY_BYTES);
    })
    .await;
}
