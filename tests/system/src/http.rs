//! The HTTP client of the tests.

use {
    serde_json::Value,
    std::{
        io::{BufRead, BufReader},
        thread,
        time::{Duration, Instant},
    },
    ureq::{Agent, Body, http::Response},
};

/// The timeout of every wait and request in a test.
///
/// It is far longer than a busy machine needs, so that it ends only tests that would never finish.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Parses the body as JSON; returns `null` if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the error's kind and execution outcome, as in `("overloaded", "not_run")`.
    pub fn error(&self) -> (String, String) {
        let body = self.json();
        let text = |field: &str| body["error"][field].as_str().unwrap_or("").to_owned();
        (text("kind"), text("execution"))
    }

    /// Returns the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Creates an HTTP client that returns responses with error statuses instead of failing.
pub fn client() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .into()
}

/// Sends a request and reads the complete response.
///
/// # Errors
///
/// Returns the transport error as text, for example if the connection was closed.
pub fn try_send(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<HttpResponse, String> {
    let mut response = open_response(method, url, headers, body)?;
    let status = response.status().as_u16();
    let names = response.headers().iter();
    let headers = names
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    let body = response
        .body_mut()
        .read_to_vec()
        .map_err(|error| error.to_string())?;
    Ok(HttpResponse {
        status,
        headers,
        body,
    })
}

/// Sends a request and reads the complete response.
///
/// # Panics
///
/// Panics if the connection fails.
pub fn send(method: &str, url: &str, headers: &[(&str, &str)], body: &[u8]) -> HttpResponse {
    try_send(method, url, headers, body).unwrap_or_else(|error| panic!("{method} {url}: {error}"))
}

/// Posts JSON with a caller's API key.
///
/// # Panics
///
/// Panics if the connection fails.
pub fn post_json(url: &str, key: &str, body: &Value) -> HttpResponse {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    send("POST", url, &headers, body.to_string().as_bytes())
}

/// A stream of server-sent events.
pub struct EventStream {
    lines: BufReader<ureq::BodyReader<'static>>,
    pub status: u16,
}

impl EventStream {
    /// Posts JSON and returns the response as a stream.
    ///
    /// # Panics
    ///
    /// Panics if the connection fails.
    pub fn post(url: &str, headers: &[(&str, &str)], body: &Value) -> Self {
        let response = open_response("POST", url, headers, body.to_string().as_bytes())
            .unwrap_or_else(|error| panic!("POST {url}: {error}"));
        let status = response.status().as_u16();
        Self {
            lines: BufReader::new(response.into_body().into_reader()),
            status,
        }
    }

    /// Returns the data of the next event, or `None` if the stream ended or the connection closed.
    pub fn next_data(&mut self) -> Option<String> {
        let mut line = String::new();
        loop {
            line.clear();
            match self.lines.read_line(&mut line) {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
            if let Some(data) = line.strip_prefix("data:") {
                return Some(data.trim().to_owned());
            }
        }
    }

    /// Returns the data of all remaining events.
    pub fn collect(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.next_data()).collect()
    }
}

/// Polls until `poll` returns a value.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`] with a message that names `awaited`.
pub fn wait_for<T>(awaited: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {awaited}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

fn open_response(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Response<Body>, String> {
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(body.to_vec())
        .map_err(|error| error.to_string())?;
    client().run(request).map_err(|error| error.to_string())
}
