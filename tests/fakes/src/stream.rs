//! A small HTTP/1.1 server with request headers and streamed responses, with one thread per
//! connection.
//!
//! Fake engines close connections in the middle of a streamed response, which server libraries do
//! not support. Each connection carries one request, so closing it affects only that request.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// The maximum body size, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// The maximum size of a request head, in bytes.
const HEAD_LIMIT: u64 = 64 << 10;

/// A request with its headers exactly as sent.
#[derive(Debug, Clone)]
pub struct RawHttpRequest {
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query without the question mark.
    pub query: String,
    /// The headers in the order and letter case in which they were sent.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl RawHttpRequest {
    /// Returns the first header with this name, ignoring letter case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the query parameter `name` if it is a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.parse().ok())?
        })
    }
}

/// Writes the response; the connection is closed even if nothing was written.
pub struct ResponseWriter<'a> {
    stream: &'a TcpStream,
}

impl ResponseWriter<'_> {
    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn send_complete(
        &mut self,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let length = ("content-length", body.len().to_string());
        let mut bytes = format_head(status, headers, &length);
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Sends a complete JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn json(
        &mut self,
        status: u16,
        headers: &[(&str, String)],
        value: &serde_json::Value,
    ) -> io::Result<()> {
        self.send_complete(status, headers, value.to_string().as_bytes())
    }

    /// Starts a chunked response.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn start(&mut self, status: u16, headers: &[(&str, String)]) -> io::Result<()> {
        let chunked = ("transfer-encoding", "chunked".to_owned());
        self.stream
            .write_all(&format_head(status, headers, &chunked))
    }

    /// Sends one chunk of a response that was started with [`Self::start`].
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.stream.write_all(&chunk)
    }

    /// Ends a chunked response; without it the client sees a truncated response.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn end(&mut self) -> io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n")
    }
}

/// Handles a request; the connection is closed when the handler returns, even with an error.
pub type RawHttpHandler =
    Arc<dyn Fn(&RawHttpRequest, &mut ResponseWriter<'_>) -> io::Result<()> + Send + Sync>;

/// Serves an address on background threads and returns the bound address; port 0 selects a free
/// port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(address: SocketAddr, handler: RawHttpHandler) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            // An I/O error affects only this connection's client.
            thread::spawn(move || drop(serve(&stream, &handler)));
        }
    });
    Ok(bound)
}

fn serve(stream: &TcpStream, handler: &RawHttpHandler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    match read_request(&mut reader)? {
        Some(request) => handler(&request, &mut ResponseWriter { stream }),
        None => Ok(()),
    }
}

fn format_head(status: u16, headers: &[(&str, String)], framing: &(&str, String)) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Answer\r\nconnection: close\r\n");
    for (name, value) in headers.iter().chain([framing]) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.into_bytes()
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> io::Result<Option<RawHttpRequest>> {
    let mut head = reader.by_ref().take(HEAD_LIMIT);
    let mut line = String::new();
    head.read_line(&mut line)?;
    let mut parts = line.split_ascii_whitespace();
    let (Some(method), Some(target)) = (parts.next(), parts.next()) else {
        return Ok(None);
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut request = RawHttpRequest {
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
        request
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    let chunked = request
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        read_chunked(reader, &mut request.body)?;
        return Ok(Some(request));
    }
    let length: usize = request
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    if length > BODY_LIMIT {
        return Ok(None);
    }
    request.body.resize(length, 0);
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
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
