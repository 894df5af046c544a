//! Identifiers that are exchanged between processes.

use {
    crate::{ErrorKind, ServiceError, key, message},
    std::{fmt, str::FromStr},
};

/// The maximum length of the name of a customer, service, route, run, host or zone, in bytes.
pub const NAME_LIMIT: usize = 64;

macro_rules! random_id {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[key]
        #[derive(Default)]
        pub struct $name(pub [u8; 16]);

        impl $name {
            /// Generates a random identifier.
            ///
            /// # Panics
            ///
            /// Panics if the operating system cannot provide randomness.
            pub fn random() -> Self {
                let mut bytes = [0; 16];
                getrandom::fill(&mut bytes).expect("the operating system provides randomness");
                Self(bytes)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
            }
        }

        impl FromStr for $name {
            type Err = ServiceError;

            fn from_str(text: &str) -> Result<Self, ServiceError> {
                parse_hex(text).map(Self)
            }
        }
    };
}

random_id! {
    /// Identifies a caller's request across all its attempts.
    RequestId
}
random_id! {
    /// Identifies one run of an agent or entry process; each restart generates a new one.
    IncarnationId
}
random_id! {
    /// Identifies a writer to the store, so that it recognises its own write after a lost response.
    WriterId
}

/// The boot ID reported by an upstream, which changes whenever the upstream restarts.
#[message]
#[derive(PartialOrd, Ord, Hash, Default)]
pub struct BootId(pub String);

/// The blake3 digest of an API key; the key itself is never stored.
#[key]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Hashes a key exactly as the caller sent it.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// The blake3 digest of a request's customer, route and body, under which crashes are counted for
/// quarantine.
#[key]
pub struct BodyDigest(pub [u8; 32]);

/// A validated name: lower-case letters, digits, `-`, `_` and `.`, starting with a letter or digit.
#[message]
#[derive(PartialOrd, Ord, Hash)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectName(String);

impl ObjectName {
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for ObjectName {
    type Error = ServiceError;

    fn try_from(text: &str) -> Result<Self, ServiceError> {
        let first = text.chars().next();
        let valid_start =
            first.is_some_and(|first| first.is_ascii_lowercase() || first.is_ascii_digit());
        let allowed = |character: char| {
            character.is_ascii_lowercase()
                || character.is_ascii_digit()
                || "-_.".contains(character)
        };
        if !valid_start || text.len() > NAME_LIMIT || !text.chars().all(allowed) {
            return Err(ServiceError::not_run(
                ErrorKind::BadRequest,
                format!(
                    "expected a name of 1 to {NAME_LIMIT} lower-case letters, digits, '-', '_' or \
                     '.' that starts with a letter or digit"
                ),
            ));
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for ObjectName {
    type Error = ServiceError;

    fn try_from(text: String) -> Result<Self, ServiceError> {
        Self::try_from(text.as_str())
    }
}

impl From<ObjectName> for String {
    fn from(name: ObjectName) -> Self {
        name.0
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

fn parse_hex(text: &str) -> Result<[u8; 16], ServiceError> {
    let invalid = || ServiceError::not_run(ErrorKind::BadRequest, "expected 32 hexadecimal digits");
    if text.len() != 32 || !text.is_ascii() {
        return Err(invalid());
    }
    let mut bytes = [0; 16];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map_err(|_| invalid())?;
    }
    Ok(bytes)
}
