//! What the HTTP clients of both kinds of upstream share.

use {
    super::{ProbeOutcome, UpstreamEnd},
    catkindeck::{ErrorKind, ServiceError, id::BootId},
    std::{io, time::Duration},
    ureq::{Agent, Body, config::AutoHeaderValue, http::HeaderMap},
};

/// The header by which an upstream tells its boot identity.
const BOOT_HEADER: &str = "x-boot-id";

/// Makes a client that opens a connection for each call.
///
/// On a fresh connection a failure to connect proves that nothing was sent. On a reused one it
/// could not be told whether the upstream read the request before it closed the connection. The
/// upstream is beside the agent, so connecting is cheap.
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

/// Reads the boot identity; an upstream that tells none has an empty one.
pub fn read_boot(headers: &HeaderMap) -> BootId {
    let value = headers
        .get(BOOT_HEADER)
        .and_then(|value| value.to_str().ok());
    BootId(value.unwrap_or_default().to_owned())
}

/// Reads the whole body of a short answer.
pub fn read_body(body: &mut Body, limit: u64) -> Result<Vec<u8>, ServiceError> {
    body.with_config()
        .limit(limit)
        .read_to_vec()
        .map_err(|error| failure(&error))
}

/// Tells how a request ended that got no usable answer.
pub fn end_of(error: &ureq::Error) -> UpstreamEnd {
    if is_not_sent(error) {
        return UpstreamEnd::NotSent(ServiceError::not_run(
            ErrorKind::UpstreamFailed,
            format!("the upstream cannot be reached: {error}"),
        ));
    }
    UpstreamEnd::Failed {
        error: failure(error),
        crashed: !matches!(error, ureq::Error::Timeout(_)),
    }
}

/// Tells how a request ended whose answer could not be read to its end.
pub fn end_of_read(error: &io::Error) -> UpstreamEnd {
    let timed_out = matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    );
    let kind = match timed_out {
        true => ErrorKind::DeadlineExceeded,
        false => ErrorKind::UpstreamFailed,
    };
    UpstreamEnd::Failed {
        error: ServiceError::unknown(kind, format!("the upstream's answer was cut: {error}")),
        crashed: !timed_out,
    }
}

/// Makes the error of a call that may have reached the upstream.
pub fn failure(error: &ureq::Error) -> ServiceError {
    match error {
        ureq::Error::Timeout(_) => ServiceError::unknown(
            ErrorKind::DeadlineExceeded,
            "the upstream did not answer in time",
        ),
        error => ServiceError::unknown(
            ErrorKind::UpstreamFailed,
            format!("the upstream failed: {error}"),
        ),
    }
}

/// Tells what a probe without an answer found.
pub fn probe_failure(error: &ureq::Error) -> ProbeOutcome {
    match error {
        ureq::Error::Timeout(_) => ProbeOutcome::Late,
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
