//! HTTP helpers shared by the clients for engines and plain services.

use {
    super::{ProbeOutcome, UpstreamOutcome},
    catkindeck::{ErrorKind, ServiceError, id::BootId},
    std::{io, ops::RangeInclusive, time::Duration},
    ureq::{Agent, Body, config::AutoHeaderValue, http::HeaderMap},
};

/// The header that carries the upstream's boot ID.
const BOOT_HEADER: &str = "x-boot-id";

/// The statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Creates an HTTP client that opens a new connection for each call.
///
/// With a new connection, a connect error proves that nothing was sent. On a reused connection, it
/// would be unknown whether the upstream read the request before it closed the connection. The
/// upstream runs on the agent's host, so connecting is cheap.
pub fn build_agent(connect: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(connect))
        .max_idle_connections(0)
        .user_agent(AutoHeaderValue::None)
        .accept(AutoHeaderValue::None)
        .build();
    config.into()
}

/// Returns the boot ID, or an empty one if the upstream does not send it.
pub fn read_boot(headers: &HeaderMap) -> BootId {
    let value = headers
        .get(BOOT_HEADER)
        .and_then(|value| value.to_str().ok());
    BootId(value.unwrap_or_default().to_owned())
}

/// Reads the body of a non-streaming response, of at most `limit` bytes.
pub fn read_body(body: &mut Body, limit: u64) -> Result<Vec<u8>, ServiceError> {
    body.with_config()
        .limit(limit)
        .read_to_vec()
        .map_err(|error| call_error(&error))
}

/// Returns the outcome of a request whose response has a status other than those of final responses. The HTTP library
/// returns 101, which answers an upgrade that no request asks for, and statuses that HTTP does not define.
pub fn status_failure(status: u16) -> Option<UpstreamOutcome> {
    (!FINAL_STATUSES.contains(&status)).then(|| UpstreamOutcome::Failed {
        error: ServiceError::unknown(
            ErrorKind::UpstreamFailed,
            format!("expected a status from 200 to 599, found {status:03}"),
        ),
        crashed: false,
    })
}

/// Returns the outcome of a request for which no response was received.
pub fn request_failure(error: &ureq::Error) -> UpstreamOutcome {
    if is_not_sent(error) {
        return UpstreamOutcome::NotSent(ServiceError::not_run(
            ErrorKind::UpstreamFailed,
            format!("cannot send the request to the upstream: {error}"),
        ));
    }
    UpstreamOutcome::Failed {
        error: call_error(error),
        crashed: !matches!(error, ureq::Error::Timeout(_)),
    }
}

/// Returns the outcome of a request whose response could not be read completely.
pub fn read_failure(error: &io::Error) -> UpstreamOutcome {
    let timed_out = matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    );
    let kind = match timed_out {
        true => ErrorKind::DeadlineExceeded,
        false => ErrorKind::UpstreamFailed,
    };
    UpstreamOutcome::Failed {
        error: ServiceError::unknown(
            kind,
            format!("cannot read the upstream's response to its end: {error}"),
        ),
        crashed: !timed_out,
    }
}

/// Returns the error for a failed call that may have reached the upstream.
pub fn call_error(error: &ureq::Error) -> ServiceError {
    match error {
        ureq::Error::Timeout(_) => ServiceError::unknown(
            ErrorKind::DeadlineExceeded,
            "the upstream did not respond in time",
        ),
        error => ServiceError::unknown(
            ErrorKind::UpstreamFailed,
            format!("the call to the upstream failed: {error}"),
        ),
    }
}

/// Returns the outcome of a probe for which no response was received.
pub fn probe_failure(error: &ureq::Error) -> ProbeOutcome {
    match error {
        ureq::Error::Timeout(_) => ProbeOutcome::TimedOut,
        error => ProbeOutcome::Unreachable(error.to_string()),
    }
}

fn is_not_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => true,
        ureq::Error::Timeout(stage) => {
            matches!(stage, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
