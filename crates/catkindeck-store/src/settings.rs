//! Settings of the platform clients.

use {
    crate::backoff::RetryPolicy,
    catkindeck::{
        process::parse_address,
        settings::{SettingsError, SettingsText},
    },
    serde::Deserialize,
    std::net::SocketAddr,
};

/// The settings of one client before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawClient {
    /// The IP address and port of the platform's interface.
    pub address: String,
    /// The timeout of each attempt, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// The maximum number of attempts.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// The maximum number of calls per second from this process.
    #[serde(default = "default_rate")]
    pub calls_per_s: u32,
}

/// The validated settings of one client.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// The address of the platform's interface.
    pub address: SocketAddr,
    /// The timeout of each attempt, in milliseconds.
    pub timeout_ms: u64,
    pub retry: RetryPolicy,
    /// The maximum number of calls per second from this process.
    pub calls_per_s: u32,
}

impl ClientSettings {
    /// Returns the default settings for an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout_ms: default_timeout_ms(),
            retry: RetryPolicy::default(),
            calls_per_s: default_rate(),
        }
    }
}

impl TryFrom<(&SettingsText, &str, RawClient)> for ClientSettings {
    type Error = SettingsError;

    fn try_from(
        (text, section, raw): (&SettingsText, &str, RawClient),
    ) -> Result<Self, SettingsError> {
        let address = parse_address(text, &format!("{section}.address"), &raw.address)?;
        for (field, value, min, max) in [
            ("timeout_ms", raw.timeout_ms, 10, 60_000),
            ("attempts", u64::from(raw.attempts), 1, 10),
            ("calls_per_s", u64::from(raw.calls_per_s), 1, 10_000),
        ] {
            if !(min..=max).contains(&value) {
                let expected = format!("expected {min} to {max}, got {value}");
                return Err(text.field_error(&format!("{section}.{field}"), expected));
            }
        }
        let retry = RetryPolicy {
            attempts: raw.attempts,
            ..RetryPolicy::default()
        };
        Ok(Self {
            address,
            timeout_ms: raw.timeout_ms,
            retry,
            calls_per_s: raw.calls_per_s,
        })
    }
}

fn default_timeout_ms() -> u64 {
    1000
}

fn default_attempts() -> u32 {
    3
}

/// Returns the default rate limit. A node needs a few calls per second; 50 leaves room for startup
/// and large changes, and keeps one defective node from exhausting the service's capacity of about
/// 2,000 reads per second.
fn default_rate() -> u32 {
    50
}
