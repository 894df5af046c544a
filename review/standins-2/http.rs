//! HTTP/1.1 over plain sockets: requests of the programs under test, and calls of clients.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(key, _)| *key == name);
        value.map_or(String::new(), |(_, value)| decode_percent(value))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: &str) -> Self {
        let headers = vec![("content-type".into(), "application/json".into())];
        let body = body.as_bytes().to_vec();
        Self { status, headers, body }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} -\r\ncontent-length: {}\r\n", self.status, self.body.len());
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        let mut bytes = (head + "\r\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// What a server keeps for each connection.
#[derive(Default)]
pub struct Link {
    /// Bytes that are sent before the answer to the next request, as a faulty server does.
    pub late_bytes: Vec<u8>,
}

pub type Handler = Arc<dyn Fn(Request, &mut TcpStream, &mut Link) -> io::Result<()> + Send + Sync>;

/// Serves requests at a free loopback port; the handler writes the answers.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("a listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                let mut link = Link::default();
                while let Some(request) = read_request(&mut reader) {
                    if handler(request, &mut writer, &mut link).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends a request on a new connection and reads the whole answer; `None` if there is none in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut head = format!("{method} {target} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    writer.write_all((head + "\r\n").as_bytes()).ok()?;
    writer.write_all(body).ok()?;
    read_answer(&mut BufReader::new(stream))
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Answer { status, headers, body })
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    words.next()?;
    let target = words.next()?.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request { target, headers, body })
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(count) if count > 0 => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Vec<u8>> {
    if !find_header(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        let length = find_header(headers, "content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    let mut body = Vec::new();
    loop {
        let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk).ok()?;
        body.extend_from_slice(&chunk);
        read_line(reader)?;
        if size == 0 {
            return Some(body);
        }
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value)
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = (*first == b'%').then(|| tail.get(..2)).flatten();
        let code = code.and_then(|code| u8::from_str_radix(std::str::from_utf8(code).ok()?, 16).ok());
        match code {
            Some(code) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let letter = ALPHABET[(group >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { letter } else { '=' });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let letters = text.bytes().filter(|letter| *letter != b'=');
    let digits = letters.filter_map(|letter| ALPHABET.iter().position(|known| *known == letter));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let group = chunk.iter().fold(0, |group, digit| group << 6 | digit) << (6 * (4 - chunk.len()));
        let group = group.to_be_bytes();
        bytes.extend_from_slice(&group[1..chunk.len()]);
    }
    bytes
}
