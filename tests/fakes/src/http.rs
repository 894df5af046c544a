//! A small HTTP/1.1 server for the fakes, with one thread per connection.
//!
//! The HTTP server library astra 0.4 is not used here, because it registers a connection with its
//! reactor before it adds the connection to its own table. The first request of a new connection is
//! therefore sometimes not read until the peer closes, and request counts differ from run to run.

use {
    crate::fault::{FakeRequest, FakeResponse},
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
    },
};

/// The maximum body size, in bytes; a stored value of 1 MB takes 2 MB as hexadecimal digits.
const BODY_LIMIT: usize = 16 << 20;

/// The maximum size of a request head, in bytes.
const HEAD_LIMIT: u64 = 64 << 10;

/// Handles a request; `None` closes the connection without a response.
pub type RequestHandler = Arc<dyn Fn(&FakeRequest) -> Option<FakeResponse> + Send + Sync>;

/// Serves an address on background threads and returns the bound address; port 0 selects a free
/// port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(address: SocketAddr, handler: RequestHandler) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            // An I/O error affects only this connection's client.
            thread::spawn(move || drop(serve_connection(&stream, &handler)));
        }
    });
    Ok(bound)
}

fn serve_connection(stream: &TcpStream, handler: &RequestHandler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(&request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {} Answer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        (&*stream).write_all(&bytes)?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> io::Result<Option<FakeRequest>> {
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
    let mut request = FakeRequest {
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
    request.body.resize(length, 0);
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}
