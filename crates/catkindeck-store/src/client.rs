//! HTTP calls with timeout, retries, rate budget and counters.

use {
    crate::{
        backoff,
        budget::{CallCounters, CallKind, TokenBucket},
        events,
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

/// The largest answer that is read, in bytes; a listing of several values is the largest.
const ANSWER_LIMIT: u64 = 64 << 20;

/// The answer to a call, of any status.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error of `kind` with `unknown` if the body has another form.
    pub fn json<T: DeserializeOwned>(&self, kind: ErrorKind) -> Result<T, ServiceError> {
        serde_json::from_slice(&self.body).map_err(|error| {
            ServiceError::unknown(kind, format!("the answer has an unexpected form: {error}"))
        })
    }
}

/// A call without a usable answer.
#[derive(Debug, Clone)]
pub struct CallError {
    /// Whether the request may have reached the other side.
    pub maybe_sent: bool,
    /// The delay that the other side asks for if it refused over its rate limit, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// A sentence for people.
    pub detail: String,
}

impl CallError {
    /// Makes the error of `kind` that says what is known about the execution.
    pub fn error(&self, kind: ErrorKind) -> ServiceError {
        if self.maybe_sent {
            ServiceError::unknown(kind, self.detail.clone())
        } else {
            ServiceError::not_run(kind, self.detail.clone())
        }
    }
}

/// One call.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// The kind under which it is counted.
    pub kind: CallKind,
    /// Whether it is a `POST` or `PUT` with this body; `None` is a `GET`.
    pub body: Option<(http::Method, Vec<u8>)>,
    /// The path with the query.
    pub path: String,
    /// The time after which the attempt counts as failed.
    pub timeout: Duration,
}

/// Makes calls to one interface of the platform.
pub struct HttpClient {
    agent: Agent,
    settings: ClientSettings,
    budget: Mutex<TokenBucket>,
    counters: CallCounters,
    clock: Arc<dyn Clock>,
    logger: Logger,
}

impl HttpClient {
    /// Makes a client; no connection is opened before the first call.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        let rate = settings.calls_per_s;
        let budget = TokenBucket::new(rate, rate.saturating_mul(2), clock.now());
        Self {
            agent: config.into(),
            settings,
            budget: Mutex::new(budget),
            counters: CallCounters::default(),
            clock,
            logger,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &ClientSettings {
        &self.settings
    }

    /// Returns the counters of calls.
    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    /// Returns the timeout of one attempt.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.settings.timeout_ms)
    }

    /// Makes one attempt.
    ///
    /// # Errors
    ///
    /// Returns a failure if no answer came, or the answer was a server error or a rate limit.
    pub fn attempt(&self, call: &HttpCall) -> Result<HttpResponse, CallError> {
        self.take_budget()?;
        self.counters.add(call.kind);
        let reply = self.send(call).map_err(|error| CallError {
            maybe_sent: !is_connect_failure(&error),
            retry_after_ms: None,
            detail: format!("call of {} failed: {error}", self.settings.address),
        })?;
        match reply.status {
            429 => Err(CallError {
                maybe_sent: false,
                retry_after_ms: Some(retry_after_ms(&reply)),
                detail: format!("{} refused over its rate limit", self.settings.address),
            }),
            // A failed server may have carried the call out before it failed.
            500.. => Err(CallError {
                maybe_sent: true,
                retry_after_ms: None,
                detail: format!("{} answered {}", self.settings.address, reply.status),
            }),
            _ => Ok(reply),
        }
    }

    /// Makes attempts until one is answered; only for calls that may be repeated.
    ///
    /// # Errors
    ///
    /// Returns the last failure; it says that the call may have been sent if any attempt was.
    pub fn repeat(&self, call: &HttpCall) -> Result<HttpResponse, CallError> {
        let mut maybe_sent = false;
        let mut attempt = 1;
        loop {
            match self.attempt(call) {
                Ok(reply) => return Ok(reply),
                Err(failure) => {
                    maybe_sent |= failure.maybe_sent;
                    if !self.wait_retry(attempt, &failure) {
                        return Err(CallError {
                            maybe_sent,
                            ..failure
                        });
                    }
                }
            }
            attempt += 1;
        }
    }

    /// Waits before the next attempt, or returns false if `attempt` was the last.
    pub fn wait_retry(&self, attempt: u32, failure: &CallError) -> bool {
        let retry = &self.settings.retry;
        if attempt >= retry.attempts {
            log_event!(self.logger, events::CALL_FAILED;
                "address" => %self.settings.address, "detail" => &failure.detail);
            return false;
        }
        let asked = failure.retry_after_ms.unwrap_or(0).min(retry.cap_ms);
        let delay = retry.delay_ms(attempt, backoff::draw()).max(asked);
        thread::sleep(Duration::from_millis(delay));
        true
    }

    fn take_budget(&self) -> Result<(), CallError> {
        let give_up = self.clock.now() + self.settings.timeout_ms;
        loop {
            let now = self.clock.now();
            let taken = self
                .budget
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take(now);
            let Err(wait_ms) = taken else {
                return Ok(());
            };
            if now + wait_ms > give_up {
                log_event!(self.logger, events::BUDGET_SPENT;
                    "address" => %self.settings.address);
                return Err(CallError {
                    maybe_sent: false,
                    retry_after_ms: None,
                    detail: format!("rate budget for {} is used up", self.settings.address),
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
            .limit(ANSWER_LIMIT)
            .read_to_vec()?;
        Ok(HttpResponse { status, body })
    }
}

/// Reads the delay from a refusal over the rate limit; zero leaves it to the retry policy.
fn retry_after_ms(reply: &HttpResponse) -> u64 {
    #[derive(serde::Deserialize)]
    struct RetryForm {
        retry_after_ms: u64,
    }
    serde_json::from_slice::<RetryForm>(&reply.body).map_or(0, |form| form.retry_after_ms)
}

/// Tells whether the request was certainly not sent.
fn is_connect_failure(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::Http(_) => true,
        ureq::Error::Timeout(stage) => {
            matches!(stage, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
