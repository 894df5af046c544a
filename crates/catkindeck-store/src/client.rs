//! An HTTP client with timeouts, retries, a rate limit and counters.

use {
    crate::{
        backoff, events,
        rate_limit::{CallCounters, CallKind, TokenBucket},
        settings::ClientSettings,
    },
    catkindeck::{Clock, ErrorKind, ServiceError, log_event},
    serde::de::DeserializeOwned,
    slog::Logger,
    std::{
        io,
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::Duration,
    },
    ureq::{Agent, http},
};

/// The maximum size of a response, in bytes; listings with many values are the largest.
const RESPONSE_LIMIT: u64 = 64 << 20;

/// A response of any status.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error of `kind` with `unknown` if the body does not have the expected form.
    pub fn json<T: DeserializeOwned>(&self, kind: ErrorKind) -> Result<T, ServiceError> {
        serde_json::from_slice(&self.body).map_err(|error| {
            ServiceError::unknown(kind, format!("the response body is malformed: {error}"))
        })
    }
}

/// A call that got no usable response.
#[derive(Debug, Clone)]
pub struct CallError {
    /// Whether the server may have received the request.
    pub maybe_sent: bool,
    /// The delay that the server requested when it rejected the call over its rate limit, in
    /// milliseconds.
    pub retry_after_ms: Option<u64>,
    /// A human-readable description.
    pub detail: String,
}

impl CallError {
    /// Converts to an error of `kind` that states whether the call may have been executed.
    pub fn to_service_error(&self, kind: ErrorKind) -> ServiceError {
        if self.maybe_sent {
            ServiceError::unknown(kind, self.detail.clone())
        } else {
            ServiceError::not_run(kind, self.detail.clone())
        }
    }
}

/// A call to one interface of the platform.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// The kind under which the call is counted.
    pub kind: CallKind,
    /// The method and body of a `POST` or `PUT`; `None` for a `GET`.
    pub body: Option<(http::Method, Vec<u8>)>,
    /// The path, including the query.
    pub path: String,
    /// The timeout of each attempt.
    pub timeout: Duration,
}

/// A client of one interface of the platform.
pub struct HttpClient {
    agent: Agent,
    settings: ClientSettings,
    rate_limit: Mutex<TokenBucket>,
    counters: CallCounters,
    clock: Arc<dyn Clock>,
    logger: Logger,
}

impl HttpClient {
    /// Creates a client. The first call opens the connection.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        let rate = settings.calls_per_s;
        let rate_limit = TokenBucket::new(rate, rate.saturating_mul(2), clock.now());
        Self {
            agent: config.into(),
            settings,
            rate_limit: Mutex::new(rate_limit),
            counters: CallCounters::default(),
            clock,
            logger,
        }
    }

    pub fn settings(&self) -> &ClientSettings {
        &self.settings
    }

    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    /// Returns the timeout of one attempt.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.settings.timeout_ms)
    }

    /// Makes a single attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no response, or if it was a server error or a rate limit.
    pub fn attempt(&self, call: &HttpCall) -> Result<HttpResponse, CallError> {
        self.take_token()?;
        self.counters.add(call.kind);
        let response = self.send(call).map_err(|error| CallError {
            maybe_sent: !is_connect_error(&error),
            retry_after_ms: None,
            detail: format!("call to {} failed: {error}", self.settings.address),
        })?;
        match response.status {
            429 => Err(CallError {
                maybe_sent: false,
                retry_after_ms: Some(retry_after_ms(&response)),
                detail: format!(
                    "{} rejected the call over its rate limit",
                    self.settings.address
                ),
            }),
            // The server may have executed the call before it failed.
            500.. => Err(CallError {
                maybe_sent: true,
                retry_after_ms: None,
                detail: format!(
                    "{} responded with status {}",
                    self.settings.address, response.status
                ),
            }),
            _ => Ok(response),
        }
    }

    /// Retries a call until it gets a response; only for calls that may be executed repeatedly.
    ///
    /// # Errors
    ///
    /// Returns the last error, with `maybe_sent` set if any attempt may have been sent.
    pub fn send_with_retries(&self, call: &HttpCall) -> Result<HttpResponse, CallError> {
        let mut maybe_sent = false;
        let mut attempt = 1;
        loop {
            match self.attempt(call) {
                Ok(response) => return Ok(response),
                Err(error) => {
                    maybe_sent |= error.maybe_sent;
                    if !self.wait_before_retry(attempt, &error) {
                        return Err(CallError {
                            maybe_sent,
                            ..error
                        });
                    }
                }
            }
            attempt += 1;
        }
    }

    /// Waits before the next attempt and returns true, or returns false if `attempt` was the last.
    pub fn wait_before_retry(&self, attempt: u32, error: &CallError) -> bool {
        let retry = &self.settings.retry;
        if attempt >= retry.attempts {
            log_event!(self.logger, events::CALL_FAILED;
                "address" => %self.settings.address, "detail" => &error.detail);
            return false;
        }
        let requested = error.retry_after_ms.unwrap_or(0).min(retry.cap_ms);
        let delay = retry
            .delay_ms(attempt, backoff::random_u64())
            .max(requested);
        thread::sleep(Duration::from_millis(delay));
        true
    }

    fn take_token(&self) -> Result<(), CallError> {
        let deadline = self.clock.now() + self.settings.timeout_ms;
        loop {
            let now = self.clock.now();
            let taken = self
                .rate_limit
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take(now);
            let Err(wait_ms) = taken else {
                return Ok(());
            };
            if now + wait_ms > deadline {
                log_event!(self.logger, events::RATE_LIMIT_REACHED;
                    "address" => %self.settings.address);
                return Err(CallError {
                    maybe_sent: false,
                    retry_after_ms: None,
                    detail: format!(
                        "the client's rate limit for {} was reached",
                        self.settings.address
                    ),
                });
            }
            thread::sleep(Duration::from_millis(wait_ms));
        }
    }

    fn send(&self, call: &HttpCall) -> Result<HttpResponse, ureq::Error> {
        let (method, body) = match &call.body {
            Some((method, body)) => (method.clone(), body.clone()),
            None => (http::Method::GET, Vec::new()),
        };
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{}", self.settings.address, call.path))
            .header("content-type", "application/json")
            .body(body)?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(call.timeout))
            .build();
        let mut response = self.agent.run(request)?;
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(RESPONSE_LIMIT)
            .read_to_vec()?;
        Ok(HttpResponse { status, body })
    }
}

/// Returns the delay requested by a rate-limit response, or zero to use that of the retry policy.
fn retry_after_ms(response: &HttpResponse) -> u64 {
    #[derive(serde::Deserialize)]
    struct RetryBody {
        retry_after_ms: u64,
    }
    serde_json::from_slice::<RetryBody>(&response.body).map_or(0, |body| body.retry_after_ms)
}

/// Returns whether the request was certainly not sent.
fn is_connect_error(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::Http(_) => true,
        ureq::Error::Timeout(stage) => {
            matches!(stage, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
