//! Allow-lists for the headers that are forwarded in either direction.

use {
    crate::credentials::CallerKeys,
    catkindeck::{
        ErrorKind, ServiceError,
        headers::{REQUEST_HEADERS, RESPONSE_HEADERS},
    },
    http::HeaderMap,
};

/// The maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Returns the request headers to forward, without those whose value contains the caller's key.
pub fn filter_request_headers(headers: &HeaderMap, keys: &CallerKeys) -> Vec<(String, String)> {
    let mut forwarded = Vec::new();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else {
            continue;
        };
        if REQUEST_HEADERS.contains(&name.as_str()) && !keys.occurs_in(value) {
            forwarded.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    forwarded
}

/// Returns the response headers to forward.
pub fn filter_response_headers(headers: &[(String, String)]) -> Vec<(String, String)> {
    let allowed = headers.iter().filter(|(name, _)| {
        let name = name.to_ascii_lowercase();
        RESPONSE_HEADERS.contains(&name.as_str())
    });
    allowed.cloned().collect()
}

/// Parses `Idempotency-Key`.
///
/// # Errors
///
/// Returns `bad_request` if the value is not 1 to 128 visible ASCII characters, or if the header is
/// repeated.
pub fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ServiceError> {
    let bad_request_error = |detail: &str| ServiceError::not_run(ErrorKind::BadRequest, detail);
    let mut values = headers.get_all("idempotency-key").iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request_error("Idempotency-Key must not be repeated"));
    }
    let key = first.as_bytes();
    let visible = key.iter().all(u8::is_ascii_graphic);
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES || !visible {
        return Err(bad_request_error(
            "Idempotency-Key must be 1 to 128 visible ASCII characters without spaces",
        ));
    }
    Ok(Some(String::from_utf8_lossy(key).into_owned()))
}

/// Parses `x-request-deadline-ms`, the time the caller is still willing to wait, in milliseconds.
///
/// # Errors
///
/// Returns `bad_request` if the value is not a whole number, and `deadline_exceeded` if it is zero.
pub fn read_deadline(headers: &HeaderMap) -> Result<Option<u64>, ServiceError> {
    let Some(value) = headers.get("x-request-deadline-ms") else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match parsed {
        Some(0) => Err(ServiceError::not_run(
            ErrorKind::DeadlineExceeded,
            "x-request-deadline-ms is 0: the deadline has already passed",
        )),
        Some(deadline) => Ok(Some(deadline)),
        None => Err(ServiceError::not_run(
            ErrorKind::BadRequest,
            "x-request-deadline-ms must be a whole number of milliseconds",
        )),
    }
}
