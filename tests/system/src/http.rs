//! HTTP calls of tests.

use {
    serde_json::Value,
    std::{
        io::{BufRead, BufReader},
        thread,
        time::{Duration, Instant},
    },
    ureq::{Agent, Body, http::Response},
};

/// The time after which a test that waits for something gives up; it is far above what a busy
/// machine needs, so that it only ends tests that would never end.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// An answer with its body read whole.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// The status.
    pub status: u16,
    /// The headers in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Parses the body as JSON; an empty or other body is `null`.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the error's kind and execution, as in `("overloaded", "not_run")`.
    pub fn error(&self) -> (String, String) {
        let body = self.json();
        let text = |field: &str| body["error"][field].as_str().unwrap_or("").to_owned();
        (text("kind"), text("execution"))
    }

    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Makes an HTTP client that returns error statuses as answers.
pub fn client() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .into()
}

/// Calls with a body and headers, and reads the whole answer.
///
/// # Errors
///
/// Returns the transport's error as text, for example when the connection was cut.
pub fn try_call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<HttpAnswer, String> {
    let mut response = open(method, url, headers, body)?;
    let status = response.status().as_u16();
    let names = response.headers().iter();
    let headers = names
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    let body = response
        .body_mut()
        .read_to_vec()
        .map_err(|error| error.to_string())?;
    Ok(HttpAnswer {
        status,
        headers,
        body,
    })
}

/// Calls and panics if there is no answer.
///
/// # Panics
///
/// Panics if the connection fails.
pub fn call(method: &str, url: &str, headers: &[(&str, &str)], body: &[u8]) -> HttpAnswer {
    try_call(method, url, headers, body).unwrap_or_else(|error| panic!("{method} {url}: {error}"))
}

/// Posts JSON with a caller's key.
///
/// # Panics
///
/// Panics if the connection fails.
pub fn post_json(url: &str, key: &str, body: &Value) -> HttpAnswer {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    call("POST", url, &headers, body.to_string().as_bytes())
}

/// A stream of server-sent events.
pub struct EventStream {
    lines: BufReader<ureq::BodyReader<'static>>,
    /// The status.
    pub status: u16,
}

impl EventStream {
    /// Posts JSON and opens the stream of the answer.
    ///
    /// # Panics
    ///
    /// Panics if the connection fails.
    pub fn post(url: &str, headers: &[(&str, &str)], body: &Value) -> Self {
        let response = open("POST", url, headers, body.to_string().as_bytes())
            .unwrap_or_else(|error| panic!("POST {url}: {error}"));
        let status = response.status().as_u16();
        Self {
            lines: BufReader::new(response.into_body().into_reader()),
            status,
        }
    }

    /// Returns the data of the next event, or `None` when the stream ended or was cut.
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

    /// Reads all events to the end.
    pub fn collect(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.next_data()).collect()
    }
}

/// Waits until `ready` returns a value.
///
/// # Panics
///
/// Panics after [`PATIENCE`] with `what`.
pub fn wait_for<T>(what: &str, mut ready: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = ready() {
            return value;
        }
        assert!(started.elapsed() < PATIENCE, "{what} never came");
        thread::sleep(Duration::from_millis(20));
    }
}

fn open(
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
