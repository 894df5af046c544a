//! A small HTTP/1.1 server with request headers and streamed answers, one thread a connection.
//!
//! Engines stream tokens and are cut within an answer, which a server library hides; each
//! connection carries one request, so that a cut concerns only that request.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// The largest body, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// The largest head, in bytes.
const HEAD_LIMIT: u64 = 64 << 10;

/// A request with its headers as they were sent.
#[derive(Debug, Clone)]
pub struct StreamRequest {
    /// The HTTP method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query without the question mark.
    pub query: String,
    /// The headers in order, with their letter case kept.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl StreamRequest {
    /// Returns the first header with this name in any letter case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the number under `name` in the query.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.parse().ok())?
        })
    }
}

/// Writes the answer; without any answer the connection is cut.
pub struct ResponseWriter<'a> {
    stream: &'a TcpStream,
}

impl ResponseWriter<'_> {
    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub fn full(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let length = ("content-length", body.len().to_string());
        let mut bytes = head(status, headers, &length);
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Sends a whole answer in JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub fn json(
        &mut self,
        status: u16,
        headers: &[(&str, String)],
        value: &serde_json::Value,
    ) -> io::Result<()> {
        self.full(status, headers, value.to_string().as_bytes())
    }

    /// Starts an answer in pieces.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub fn start(&mut self, status: u16, headers: &[(&str, String)]) -> io::Result<()> {
        let chunked = ("transfer-encoding", "chunked".to_owned());
        self.stream.write_all(&head(status, headers, &chunked))
    }

    /// Sends a piece of a started answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.stream.write_all(&chunk)
    }

    /// Ends a started answer; without this call the caller sees that it was cut.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller is gone.
    pub fn end(&mut self) -> io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n")
    }
}

/// Answers a call; an error or a missing answer cuts the connection.
pub type StreamHandler =
    Arc<dyn Fn(&StreamRequest, &mut ResponseWriter<'_>) -> io::Result<()> + Send + Sync>;

/// Binds an address and serves it from threads of its own; port zero takes a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(address: SocketAddr, handler: StreamHandler) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            // A broken connection concerns only the client that broke it.
            thread::spawn(move || drop(serve(&stream, &handler)));
        }
    });
    Ok(bound)
}

fn serve(stream: &TcpStream, handler: &StreamHandler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    match read_call(&mut reader)? {
        Some(call) => handler(&call, &mut ResponseWriter { stream }),
        None => Ok(()),
    }
}

fn head(status: u16, headers: &[(&str, String)], framing: &(&str, String)) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Answer\r\nconnection: close\r\n");
    for (name, value) in headers.iter().chain([framing]) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.into_bytes()
}

fn read_call(reader: &mut BufReader<&TcpStream>) -> io::Result<Option<StreamRequest>> {
    let mut head = reader.by_ref().take(HEAD_LIMIT);
    let mut line = String::new();
    head.read_line(&mut line)?;
    let mut parts = line.split_ascii_whitespace();
    let (Some(method), Some(target)) = (parts.next(), parts.next()) else {
        return Ok(None);
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut call = StreamRequest {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let mut line = String::new();
        head.read_line(&mut line)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        call.headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    let chunked = call
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        read_chunked(reader, &mut call.body)?;
        return Ok(Some(call));
    }
    let length: usize = call
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    if length > BODY_LIMIT {
        return Ok(None);
    }
    call.body.resize(length, 0);
    reader.read_exact(&mut call.body)?;
    Ok(Some(call))
}

fn read_chunked(reader: &mut BufReader<&TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
        let start = body.len();
        if start + length > BODY_LIMIT {
            return Err(io::ErrorKind::InvalidData.into());
        }
        body.resize(start + length, 0);
        reader.read_exact(&mut body[start..])?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if length == 0 {
            return Ok(());
        }
    }
}
