//! A small HTTP/1.1 server for the stand-ins, one thread a connection.
//!
//! astra 0.4 is not used here: it registers a connection with its reactor before it can find the
//! connection again, so the first request of a new connection is now and then not seen until the
//! peer closes. Counts of calls then differ from run to run.

use {
    crate::fault::{FakeRequest, FakeResponse},
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
    },
};

/// The largest body, in bytes; a value of 1 MB is 2 MB in hexadecimal digits.
const BODY_LIMIT: usize = 16 << 20;

/// The largest head, in bytes.
const HEAD_LIMIT: u64 = 64 << 10;

/// Answers a call; `None` closes the connection without an answer.
pub type CallHandler = Arc<dyn Fn(&FakeRequest) -> Option<FakeResponse> + Send + Sync>;

/// Binds an address and serves it from threads of its own; port zero takes a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(address: SocketAddr, handler: CallHandler) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            // A broken connection concerns only the client that broke it.
            thread::spawn(move || drop(serve_connection(&stream, &handler)));
        }
    });
    Ok(bound)
}

fn serve_connection(stream: &TcpStream, handler: &CallHandler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_call(&mut reader)? {
        let Some(reply) = handler(&call) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {} Answer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            reply.status,
            reply.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&reply.body);
        (&*stream).write_all(&bytes)?;
    }
    Ok(())
}

fn read_call(reader: &mut BufReader<&TcpStream>) -> io::Result<Option<FakeRequest>> {
    let mut head = reader.by_ref().take(HEAD_LIMIT);
    let mut line = String::new();
    if head.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.split_ascii_whitespace();
    let (Some(method), Some(target)) = (parts.next(), parts.next()) else {
        return Ok(None);
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut call = FakeRequest {
        method: method.to_owned(),
        path: path
            .trim_matches('/')
            .split('/')
            .map(str::to_owned)
            .collect(),
        query: query.to_owned(),
        body: Vec::new(),
    };

    let mut length = 0;
    loop {
        let mut line = String::new();
        head.read_line(&mut line)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    if length > BODY_LIMIT {
        return Ok(None);
    }
    call.body.resize(length, 0);
    reader.read_exact(&mut call.body)?;
    Ok(Some(call))
}
