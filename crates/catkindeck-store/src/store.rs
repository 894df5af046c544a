//! The key-value service over HTTP.

use {
    crate::{
        budget::{CallCounters, CallKind},
        client::{CallError, HttpCall, HttpClient, HttpResponse},
        events, hex,
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

/// A client of the key-value service with a writer identity of its own.
pub struct HttpStore {
    client: HttpClient,
    writer: WriterId,
    sequence: AtomicU64,
    logger: Logger,
}

#[derive(Debug, Serialize, Deserialize)]
struct ValueForm {
    #[serde(default)]
    key: String,
    value: String,
    version: u64,
    writer: String,
    sequence: u64,
}

#[derive(Debug, Serialize)]
struct SwapForm<'a> {
    value: String,
    expected_version: u64,
    writer: &'a str,
    sequence: u64,
}

#[derive(Debug, Deserialize)]
struct VersionForm {
    version: u64,
}

#[derive(Debug, Deserialize)]
struct RevisionForm {
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct HeldForm {
    remaining_ms: u64,
}

impl HttpStore {
    /// Makes a client; no connection is opened before the first call.
    pub fn new(settings: ClientSettings, clock: Arc<dyn Clock>, logger: Logger) -> Self {
        Self {
            client: HttpClient::new(settings, clock, logger.clone()),
            writer: WriterId::random(),
            sequence: AtomicU64::new(1),
            logger,
        }
    }

    /// Returns the counters of calls.
    pub fn counters(&self) -> &CallCounters {
        self.client.counters()
    }

    fn get(&self, kind: CallKind, path: String, wait: Duration) -> HttpCall {
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
        form: &serde_json::Value,
    ) -> Result<HttpResponse, CallError> {
        self.client.repeat(&HttpCall {
            kind: CallKind::Lease,
            body: Some((Method::POST, form.to_string().into_bytes())),
            path,
            timeout: self.client.timeout(),
        })
    }

    /// Decides what became of a write from the value now stored, or returns `None` if the write
    /// has not taken effect so far and must be sent again.
    ///
    /// Each write raises the version by one. So the version after the expected one shows whose
    /// write came first, while a later version may hide an own write that was replaced since.
    fn recognise(
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
                "the key was written several times since the answer was lost",
            ));
        }
        Ok(Some(SwapOutcome::Conflict(current)))
    }
}

impl StoreClient for HttpStore {
    fn read(&self, key: &str) -> Result<Option<StoreValue>, ServiceError> {
        check_key(key)?;
        let call = self.get(CallKind::Read, format!("/v1/kv/{key}"), Duration::ZERO);
        let reply = self.client.repeat(&call).map_err(not_run)?;
        match reply.status {
            200 => Ok(Some(value_from(reply.json(UNAVAILABLE)?)?)),
            404 => Ok(None),
            _ => Err(unexpected(&reply)),
        }
    }

    fn swap(&self, key: &str, expected: u64, value: &[u8]) -> Result<SwapOutcome, ServiceError> {
        check_key(key)?;
        if value.len() > VALUE_LIMIT {
            return Err(ServiceError::not_run(
                ErrorKind::TooLarge,
                format!("a value has at most {VALUE_LIMIT} bytes"),
            ));
        }
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let form = SwapForm {
            value: hex::encode(value),
            expected_version: expected,
            writer: &self.writer.to_string(),
            sequence,
        };
        let call = HttpCall {
            kind: CallKind::Swap,
            body: Some((Method::PUT, to_json(&form)?)),
            path: format!("/v1/kv/{key}"),
            timeout: self.client.timeout(),
        };

        let mut maybe_sent = false;
        let mut attempt = 1;
        loop {
            let failure = match self.client.attempt(&call) {
                Ok(reply) if reply.status == 200 => {
                    let form: VersionForm = reply.json(UNAVAILABLE)?;
                    return Ok(SwapOutcome::Written(form.version));
                }
                Ok(reply) if reply.status == 409 => None,
                Ok(reply) => return Err(unexpected(&reply)),
                Err(failure) => Some(failure),
            };
            maybe_sent |= failure.as_ref().is_some_and(|failure| failure.maybe_sent);

            // A lost answer or a conflict is resolved by the value that is stored now.
            if failure.is_none() || maybe_sent {
                match self.read(key) {
                    Ok(current) => {
                        let outcome = self.recognise(current, expected, sequence, maybe_sent)?;
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
            let failure = failure.unwrap_or_else(|| CallError {
                maybe_sent,
                retry_after_ms: None,
                detail: "the store refuses the version that it reports".to_owned(),
            });
            if !self.client.wait_retry(attempt, &failure) {
                return Err(CallError {
                    maybe_sent,
                    ..failure
                }
                .error(UNAVAILABLE));
            }
            attempt += 1;
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreValue)>, ServiceError> {
        check_key(prefix)?;
        let call = self.get(CallKind::List, format!("/v1/list/{prefix}"), Duration::ZERO);
        let reply = self.client.repeat(&call).map_err(not_run)?;
        if reply.status != 200 {
            return Err(unexpected(&reply));
        }
        let forms: Vec<ValueForm> = reply.json(UNAVAILABLE)?;
        forms
            .into_iter()
            .map(|form| Ok((form.key.clone(), value_from(form)?)))
            .collect()
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<u64, ServiceError> {
        check_key(prefix)?;
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch/{prefix}?after={after}&wait_ms={wait_ms}");
        let call = self.get(CallKind::Watch, path, wait);
        let reply = self.client.repeat(&call).map_err(not_run)?;
        if reply.status != 200 {
            return Err(unexpected(&reply));
        }
        let form: RevisionForm = reply.json(UNAVAILABLE)?;
        Ok(form.revision)
    }

    fn acquire(
        &self,
        lease: &str,
        holder: &str,
        ttl_ms: u64,
    ) -> Result<LeaseOutcome, ServiceError> {
        check_key(lease)?;
        let form = serde_json::json!({"holder": holder, "ttl_ms": ttl_ms});
        let reply = self
            .post_lease(format!("/v1/lease/{lease}"), &form)
            .map_err(|failure| failure.error(UNAVAILABLE))?;
        match reply.status {
            200 => {
                let grant: LeaseGrant = reply.json(UNAVAILABLE)?;
                Ok(LeaseOutcome::Granted(grant))
            }
            409 => {
                let form: HeldForm = reply.json(UNAVAILABLE)?;
                let remaining_ms = form.remaining_ms;
                Ok(LeaseOutcome::Held { remaining_ms })
            }
            _ => Err(unexpected(&reply)),
        }
    }

    fn renew(&self, lease: &str, number: u64, ttl_ms: u64) -> Result<LeaseGrant, ServiceError> {
        check_key(lease)?;
        let form = serde_json::json!({"number": number, "ttl_ms": ttl_ms});
        let reply = self
            .post_lease(format!("/v1/lease/{lease}/renew"), &form)
            .map_err(|failure| failure.error(UNAVAILABLE))?;
        match reply.status {
            200 => reply.json(UNAVAILABLE),
            409 => Err(fenced(lease)),
            _ => Err(unexpected(&reply)),
        }
    }

    fn release(&self, lease: &str, number: u64) -> Result<(), ServiceError> {
        check_key(lease)?;
        let form = serde_json::json!({"number": number});
        let reply = self
            .post_lease(format!("/v1/lease/{lease}/release"), &form)
            .map_err(|failure| failure.error(UNAVAILABLE))?;
        match reply.status {
            200 => Ok(()),
            409 => Err(fenced(lease)),
            _ => Err(unexpected(&reply)),
        }
    }
}

fn value_from(form: ValueForm) -> Result<StoreValue, ServiceError> {
    let invalid = || ServiceError::unknown(UNAVAILABLE, "the store returned a malformed value");
    Ok(StoreValue {
        value: hex::decode(&form.value).ok_or_else(invalid)?,
        version: form.version,
        writer: form.writer.parse().map_err(|_| invalid())?,
        sequence: form.sequence,
    })
}

/// Checks that a key can stand in a path as it is.
fn check_key(key: &str) -> Result<(), ServiceError> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_./".contains(letter);
    if key.is_empty() || !key.chars().all(allowed) {
        return Err(ServiceError::not_run(
            ErrorKind::BadRequest,
            "a store key consists of letters, digits, '-', '_', '.' and '/'",
        ));
    }
    Ok(())
}

fn to_json(form: &impl Serialize) -> Result<Vec<u8>, ServiceError> {
    serde_json::to_vec(form)
        .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))
}

fn not_run(failure: CallError) -> ServiceError {
    ServiceError::not_run(UNAVAILABLE, failure.detail)
}

fn unexpected(reply: &HttpResponse) -> ServiceError {
    let detail = format!("the store answered {}", reply.status);
    ServiceError::unknown(UNAVAILABLE, detail)
}

fn fenced(lease: &str) -> ServiceError {
    let detail = format!("lease {lease} is no longer held under this number");
    ServiceError::not_run(ErrorKind::Fenced, detail)
}
