//! An HTTP client of the key-value service.

use {
    crate::{
        client::{CallError, HttpCall, HttpClient, HttpResponse},
        events, hex,
        rate_limit::{CallCounters, CallKind},
        settings::ClientSettings,
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError,
        id::WriterId,
        log_event,
        platform::{LeaseGrant, LeaseOutcome, StoreClient, StoreValue, SwapOutcome, VALUE_LIMIT},
    },
    serde::{Deserialize, Serialize},
    slog::Logger,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    ureq::http::Method,
};

const UNAVAILABLE: ErrorKind = ErrorKind::StoreUnavailable;

/// A client of the key-value service that writes under its own writer ID.
pub struct HttpStore {
    client: HttpClient,
    writer: WriterId,
    sequence: AtomicU64,
    logger: Logger,
}

#[derive(Debug, Serialize, Deserialize)]
struct ValueBody {
    #[serde(default)]
    key: String,
    value: String,
    version: u64,
    writer: String,
    sequence: u64,
}

#[derive(Debug, Serialize)]
struct SwapRequest<'a> {
    value: String,
    expected_version: u64,
    writer: &'a str,
    sequence: u64,
}

#[derive(Debug, Deserialize)]
struct VersionBody {
    version: u64,
}

#[derive(Debug, Deserialize)]
struct RevisionBody {
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct LeaseConflictBody {
    remaining_ms: u64,
}

impl HttpStore {
    /// Creates a client. The first call opens the connection.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        Self {
            client: HttpClient::new(settings, clock, logger.clone()),
            writer: WriterId::random(),
            sequence: AtomicU64::new(1),
            logger,
        }
    }

    pub fn counters(&self) -> &CallCounters {
        self.client.counters()
    }

    fn get_call(&self, kind: CallKind, path: String, wait: Duration) -> HttpCall {
        HttpCall {
            kind,
            body: None,
            path,
            timeout: self.client.timeout() + wait,
        }
    }

    fn post_lease(
        &self,
        path: String,
        body: &serde_json::Value,
    ) -> Result<HttpResponse, CallError> {
        self.client.send_with_retries(&HttpCall {
            kind: CallKind::Lease,
            body: Some((Method::POST, body.to_string().into_bytes())),
            path,
            timeout: self.client.timeout(),
        })
    }

    /// Determines the outcome of a write from the value that is stored now. Returns `None` if the
    /// write has not taken effect and must be sent again.
    ///
    /// Each write increments the version. The value at the version after `expected` therefore shows
    /// which write came first, whereas a later version may hide this client's own write if it has
    /// been overwritten.
    fn resolve_write(
        &self,
        current: Option<StoreValue>,
        expected: u64,
        sequence: u64,
        maybe_sent: bool,
    ) -> Result<Option<SwapOutcome>, ServiceError> {
        let version = current.as_ref().map_or(0, |value| value.version);
        if version == expected {
            return Ok(None);
        }
        if let Some(value) = &current
            && value.writer == self.writer
            && value.sequence == sequence
        {
            log_event!(self.logger, events::WRITE_RECOGNISED; "sequence" => sequence);
            return Ok(Some(SwapOutcome::Written(version)));
        }
        if maybe_sent && version > expected + 1 {
            log_event!(self.logger, events::WRITE_UNKNOWN; "sequence" => sequence);
            return Err(ServiceError::unknown(
                ErrorKind::OutcomeUnknown,
                format!(
                    "the key is at version {version} instead of {expected}, \
                     so it is unknown whether this write took effect"
                ),
            ));
        }
        Ok(Some(SwapOutcome::Conflict(current)))
    }
}

impl StoreClient for HttpStore {
    fn read(&self, key: &str) -> Result<Option<StoreValue>, ServiceError> {
        check_key(key)?;
        let call = self.get_call(CallKind::Read, format!("/v1/kv/{key}"), Duration::ZERO);
        let response = self
            .client
            .send_with_retries(&call)
            .map_err(not_run_error)?;
        match response.status {
            200 => Ok(Some(decode_value(response.json(UNAVAILABLE)?)?)),
            404 => Ok(None),
            _ => Err(unexpected_status_error(&response)),
        }
    }

    fn swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<SwapOutcome, ServiceError> {
        check_key(key)?;
        if value.len() > VALUE_LIMIT {
            return Err(ServiceError::not_run(
                ErrorKind::TooLarge,
                format!("the value exceeds the limit of {VALUE_LIMIT} bytes"),
            ));
        }
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let body = SwapRequest {
            value: hex::encode(value),
            expected_version: expected,
            writer: &self.writer.to_string(),
            sequence,
        };
        let call = HttpCall {
            kind: CallKind::Swap,
            body: Some((Method::PUT, to_json(&body)?)),
            path: format!("/v1/kv/{key}"),
            timeout: self.client.timeout(),
        };

        let mut maybe_sent = false;
        let mut attempt = 1;
        loop {
            let error = match self.client.attempt(&call) {
                Ok(response) if response.status == 200 => {
                    let body: VersionBody = response.json(UNAVAILABLE)?;
                    return Ok(SwapOutcome::Written(body.version));
                }
                Ok(response) if response.status == 409 => None,
                Ok(response) => return Err(unexpected_status_error(&response)),
                Err(error) => Some(error),
            };
            maybe_sent |= error.as_ref().is_some_and(|error| error.maybe_sent);

            // After a lost response or a conflict, the stored value shows the outcome.
            if error.is_none() || maybe_sent {
                match self.read(key) {
                    Ok(current) => {
                        let outcome =
                            self.resolve_write(current, expected, sequence, maybe_sent)?;
                        if let Some(outcome) = outcome {
                            return Ok(outcome);
                        }
                    }
                    Err(error) if maybe_sent => {
                        log_event!(self.logger, events::WRITE_UNKNOWN; "sequence" => sequence);
                        return Err(ServiceError::unknown(UNAVAILABLE, error.detail));
                    }
                    Err(error) => return Err(error),
                }
            }
            let error = error.unwrap_or_else(|| CallError {
                maybe_sent,
                retry_after_ms: None,
                detail: format!(
                    "the store rejected the write although the key is at the expected \
                     version {expected}"
                ),
            });
            if !self.client.wait_before_retry(attempt, &error) {
                return Err(CallError {
                    maybe_sent,
                    ..error
                }
                .to_service_error(UNAVAILABLE));
            }
            attempt += 1;
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreValue)>, ServiceError> {
        check_key(prefix)?;
        let call = self.get_call(CallKind::List, format!("/v1/list/{prefix}"), Duration::ZERO);
        let response = self
            .client
            .send_with_retries(&call)
            .map_err(not_run_error)?;
        if response.status != 200 {
            return Err(unexpected_status_error(&response));
        }
        let bodies: Vec<ValueBody> = response.json(UNAVAILABLE)?;
        bodies
            .into_iter()
            .map(|body| Ok((body.key.clone(), decode_value(body)?)))
            .collect()
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, ServiceError> {
        check_key(prefix)?;
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch/{prefix}?after={after}&wait_ms={wait_ms}");
        let call = self.get_call(CallKind::Watch, path, wait);
        let response = self
            .client
            .send_with_retries(&call)
            .map_err(not_run_error)?;
        if response.status != 200 {
            return Err(unexpected_status_error(&response));
        }
        let body: RevisionBody = response.json(UNAVAILABLE)?;
        Ok(body.revision)
    }

    fn acquire(
        &self,
        lease: &str,
        holder: &str,
        ttl_ms: u64,
    ) -> Result<LeaseOutcome, ServiceError> {
        check_key(lease)?;
        let body = serde_json::json!({"holder": holder, "ttl_ms": ttl_ms});
        let response = self
            .post_lease(format!("/v1/lease/{lease}"), &body)
            .map_err(|error| error.to_service_error(UNAVAILABLE))?;
        match response.status {
            200 => {
                let grant: LeaseGrant = response.json(UNAVAILABLE)?;
                Ok(LeaseOutcome::Granted(grant))
            }
            409 => {
                let body: LeaseConflictBody = response.json(UNAVAILABLE)?;
                let remaining_ms = body.remaining_ms;
                Ok(LeaseOutcome::Held { remaining_ms })
            }
            _ => Err(unexpected_status_error(&response)),
        }
    }

    fn renew(&self, lease: &str, number: u64, ttl_ms: u64) -> Result<LeaseGrant, ServiceError> {
        check_key(lease)?;
        let body = serde_json::json!({"number": number, "ttl_ms": ttl_ms});
        let response = self
            .post_lease(format!("/v1/lease/{lease}/renew"), &body)
            .map_err(|error| error.to_service_error(UNAVAILABLE))?;
        match response.status {
            200 => response.json(UNAVAILABLE),
            409 => Err(fenced_error(lease)),
            _ => Err(unexpected_status_error(&response)),
        }
    }

    fn release(&self, lease: &str, number: u64) -> Result<(), ServiceError> {
        check_key(lease)?;
        let body = serde_json::json!({"number": number});
        let response = self
            .post_lease(format!("/v1/lease/{lease}/release"), &body)
            .map_err(|error| error.to_service_error(UNAVAILABLE))?;
        match response.status {
            200 => Ok(()),
            409 => Err(fenced_error(lease)),
            _ => Err(unexpected_status_error(&response)),
        }
    }
}

fn decode_value(body: ValueBody) -> Result<StoreValue, ServiceError> {
    let invalid = || ServiceError::unknown(UNAVAILABLE, "the store returned a malformed value");
    Ok(StoreValue {
        value: hex::decode(&body.value).ok_or_else(invalid)?,
        version: body.version,
        writer: body.writer.parse().map_err(|_| invalid())?,
        sequence: body.sequence,
    })
}

/// Checks that a key can be part of a path without escaping.
fn check_key(key: &str) -> Result<(), ServiceError> {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_./".contains(character);
    if key.is_empty() || !key.chars().all(allowed) {
        return Err(ServiceError::not_run(
            ErrorKind::BadRequest,
            "invalid store key: expected letters, digits, '-', '_', '.' and '/'",
        ));
    }
    Ok(())
}

fn to_json(body: &impl Serialize) -> Result<Vec<u8>, ServiceError> {
    serde_json::to_vec(body)
        .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))
}

fn not_run_error(error: CallError) -> ServiceError {
    ServiceError::not_run(UNAVAILABLE, error.detail)
}

fn unexpected_status_error(response: &HttpResponse) -> ServiceError {
    let detail = format!("the store responded with status {}", response.status);
    ServiceError::unknown(UNAVAILABLE, detail)
}

fn fenced_error(lease: &str) -> ServiceError {
    let detail = format!("lease {lease} is no longer held with this fencing token");
    ServiceError::not_run(ErrorKind::Fenced, detail)
}
