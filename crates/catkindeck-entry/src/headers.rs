//! Headers that cross the entry, by allow-lists.

use {
    crate::credentials::CallerKeys,
    catkindeck::{
        ErrorKind, ServiceError,
        headers::{REQUEST_HEADERS, RESPONSE_HEADERS},
    },
    http::HeaderMap,
};

/// The longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_LIMIT: usize = 128;

/// Returns the request headers that pass; one whose value holds the caller's key does not.
pub fn pass_request_headers(headers: &HeaderMap, keys: &CallerKeys) -> Vec<(String, String)> {
    let mut passed = Vec::new();
    for (name, value) in headers {
        let Ok(value) = value.to_str() else {
            continue;
        };
        if REQUEST_HEADERS.contains(&name.as_str()) && !keys.occurs_in(value) {
            passed.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    passed
}

/// Returns the answer headers that pass.
pub fn pass_answer_headers(headers: &[(String, String)]) -> Vec<(String, String)> {
    let allowed = headers.iter().filter(|(name, _)| {
        let name = name.to_ascii_lowercase();
        RESPONSE_HEADERS.contains(&name.as_str())
    });
    allowed.cloned().collect()
}

/// Reads `Idempotency-Key`.
///
/// # Errors
///
/// Returns `bad_request` if it is not 1 to 128 visible ASCII characters or is given twice.
pub fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ServiceError> {
    let refuse = |detail: &str| ServiceError::not_run(ErrorKind::BadRequest, detail);
    let mut values = headers.get_all("idempotency-key").iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(refuse("Idempotency-Key is given more than once"));
    }
    let key = first.as_bytes();
    let visible = key.iter().all(u8::is_ascii_graphic);
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_LIMIT || !visible {
        return Err(refuse(
            "Idempotency-Key is 1 to 128 visible ASCII characters without spaces",
        ));
    }
    Ok(Some(String::from_utf8_lossy(key).into_owned()))
}

/// Reads `x-request-deadline-ms`, the time that the caller still waits, in milliseconds.
///
/// # Errors
///
/// Returns `bad_request` if it is not a whole number, and `deadline_exceeded` if it is zero.
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
            "x-request-deadline-ms is zero, so the caller no longer waits",
        )),
        Some(deadline) => Ok(Some(deadline)),
        None => Err(ServiceError::not_run(
            ErrorKind::BadRequest,
            "x-request-deadline-ms is a whole number of milliseconds",
        )),
    }
}
