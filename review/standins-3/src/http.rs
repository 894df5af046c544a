//! HTTP/1.1 over blocking sockets: what the stand-ins need of a server and of a client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A received request.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns a decoded query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name)?.1;
        Some(percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Serves connections with one thread each. The handler writes the response itself and returns whether the connection
/// stays open.
pub fn serve<F>(handler: F) -> SocketAddr
where
    F: Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handler(request, &mut writer) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    address
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let body = read_body(reader, &headers, false)?;
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
    until_close: bool,
) -> io::Result<Vec<u8>> {
    let header = |name: &str| {
        let mut headers = headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    };
    let mut body = Vec::new();
    if header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match header("content-length").and_then(|text| text.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_close => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Writes a whole response and returns whether that succeeded.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> bool {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// The answer to a call, or why there is none.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; zero without an answer.
    pub status: u16,
    pub body: Vec<u8>,
    pub fault: String,
}

/// A client's connection, which may carry several calls.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self(BufReader::new(stream)))
    }

    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<Answer> {
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method == "POST" {
            head.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        self.0.get_mut().write_all(head.as_bytes())?;
        self.0.get_mut().write_all(body)?;
        let head = read_head(&mut self.0)?;
        let (first, headers) = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let body = read_body(&mut self.0, &headers, true)?;
        Ok(Answer {
            status: status.unwrap_or(0),
            body,
            fault: String::new(),
        })
    }

    /// Sends a request and reads a response in chunks. Returns its status, the part that came, and whether it is whole.
    pub fn stream(
        &mut self,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> (u16, String, bool) {
        let mut head = format!(
            "POST {target} HTTP/1.1\r\ncontent-length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut status = 0;
        let mut text = String::new();
        let mut read = || -> io::Result<()> {
            self.0.get_mut().write_all(head.as_bytes())?;
            self.0.get_mut().write_all(body)?;
            let head = read_head(&mut self.0)?;
            let (first, _) = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            status = first
                .split(' ')
                .nth(1)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            loop {
                let mut line = String::new();
                if self.0.read_line(&mut line)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let mut chunk = vec![0; size + 2];
                self.0.read_exact(&mut chunk)?;
                text.push_str(&String::from_utf8_lossy(&chunk[..size]));
                if size == 0 {
                    return Ok(());
                }
            }
        };
        let is_whole = read().is_ok();
        (status, text, is_whole)
    }
}

/// Makes one call on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let opened = Connection::open(address, limit);
    let outcome = opened.and_then(|mut connection| connection.call(method, target, headers, body));
    outcome.unwrap_or_else(|error| Answer {
        status: 0,
        body: Vec::new(),
        fault: error.to_string(),
    })
}
