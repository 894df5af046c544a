//! Settings of a platform client.

use {
    crate::backoff::RetryPolicy,
    catkindeck::{
        process::parse_address,
        settings::{SettingsError, SettingsText},
    },
    serde::Deserialize,
    std::net::SocketAddr,
};

/// The settings of one client as written in TOML.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawClient {
    /// The address of the interface.
    pub address: String,
    /// The time after which an attempt counts as failed, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// The largest number of attempts.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// The calls a second that this process may make.
    #[serde(default = "default_rate")]
    pub calls_per_s: u32,
}

/// The checked settings of one client.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// The address of the interface.
    pub address: SocketAddr,
    /// The time after which an attempt counts as failed, in milliseconds.
    pub timeout_ms: u64,
    /// The number of attempts and the delays between them.
    pub retry: RetryPolicy,
    /// The calls a second that this process may make.
    pub calls_per_s: u32,
}

impl ClientSettings {
    /// Makes the default settings for an address.
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
        for (field, value, least, most) in [
            ("timeout_ms", raw.timeout_ms, 10, 60_000),
            ("attempts", u64::from(raw.attempts), 1, 10),
            ("calls_per_s", u64::from(raw.calls_per_s), 1, 10_000),
        ] {
            if !(least..=most).contains(&value) {
                let expected = format!("expected {least} to {most}, got {value}");
                return Err(text.fault(&format!("{section}.{field}"), expected));
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

/// A node needs a few calls a second; 50 leaves room for a start or a large change and keeps one
/// defective node from using up the service's about 2,000 reads a second.
fn default_rate() -> u32 {
    50
}
