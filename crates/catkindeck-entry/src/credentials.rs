//! Callers' keys: extracting them from a request, authenticating them, and removing them.

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::ConfigSnapshot,
        id::{KeyDigest, ObjectName},
    },
    http::{HeaderMap, header::AUTHORIZATION},
    std::fmt,
    subtle::{ConditionallySelectable, ConstantTimeEq},
};

/// The maximum length of a key that is looked up, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Names of query parameters that commonly carry keys, in lower case and without `-` and `_`.
const KEY_PARAMETERS: [&str; 14] = [
    "accesskey",
    "accesstoken",
    "apikey",
    "apitoken",
    "auth",
    "authkey",
    "authorization",
    "authtoken",
    "bearer",
    "bearertoken",
    "key",
    "secret",
    "token",
    "xapikey",
];

/// The keys of a request; they are never printed.
pub struct CallerKeys {
    keys: Vec<String>,
}

impl fmt::Debug for CallerKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "CallerKeys({})", self.keys.len())
    }
}

/// The customer on whose behalf a request runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerIdentity {
    pub customer: ObjectName,
    /// The digest of the key, used to detect its revocation; `None` for the samples of a training
    /// run, which need no key once the run is declared.
    pub digest: Option<KeyDigest>,
}

impl CallerKeys {
    /// Collects the distinct keys from all `Authorization: Bearer` and `x-api-key` headers.
    pub fn collect(headers: &HeaderMap) -> Self {
        let bearers = headers.get_all(AUTHORIZATION).iter().filter_map(|value| {
            let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
            scheme
                .eq_ignore_ascii_case("bearer")
                .then(|| key.trim().to_owned())
        });
        let api_keys = headers.get_all("x-api-key").iter();
        let api_keys = api_keys.filter_map(|value| Some(value.to_str().ok()?.trim().to_owned()));
        let mut keys: Vec<String> = bearers
            .chain(api_keys)
            .filter(|key| !key.is_empty())
            .collect();
        keys.sort_unstable();
        keys.dedup();
        Self { keys }
    }

    /// Returns the customer of the request's only key.
    ///
    /// # Errors
    ///
    /// Returns `unauthenticated` with `not_run` if there is no key, an unknown key, or more than
    /// one; choosing among several could run the request for a customer that the caller did not
    /// intend (`docs/design.md`, G4).
    pub fn authenticate(&self, snapshot: &ConfigSnapshot) -> Result<CallerIdentity, ServiceError> {
        let unauthenticated_error =
            |detail| ServiceError::not_run(ErrorKind::Unauthenticated, detail);
        let key = match self.keys.as_slice() {
            [] => {
                return Err(unauthenticated_error(
                    "a key is required as `Authorization: Bearer <key>` or `x-api-key: <key>`",
                ));
            }
            [key] if key.len() <= MAX_KEY_BYTES => key,
            [_] => return Err(unauthenticated_error("the key is unknown")),
            _ => {
                return Err(unauthenticated_error(
                    "the request contains several different keys",
                ));
            }
        };
        let digest = KeyDigest::of(key);
        let customer = find_customer(snapshot, &digest);
        let customer = customer.ok_or_else(|| unauthenticated_error("the key is unknown"))?;
        Ok(CallerIdentity {
            customer: customer.clone(),
            digest: Some(digest),
        })
    }

    /// Returns whether `text` contains one of the keys.
    pub fn occurs_in(&self, text: &str) -> bool {
        self.keys.iter().any(|key| text.contains(key.as_str()))
    }
}

/// Looks up a digest in time that does not depend on how much of it matches a known digest.
fn find_customer<'a>(snapshot: &'a ConfigSnapshot, digest: &KeyDigest) -> Option<&'a ObjectName> {
    let not_found = u64::MAX;
    let mut found = not_found;
    for (index, record) in snapshot.keys.iter().enumerate() {
        let equal = record.digest.0.ct_eq(&digest.0);
        found.conditional_assign(&(index as u64), equal);
    }
    let index = usize::try_from(found).ok()?;
    let customer = &snapshot.keys.get(index)?.customer;
    // The key of a removed customer authenticates nobody.
    snapshot.customer(customer).map(|record| &record.name)
}

/// Removes query parameters that may contain a key.
///
/// A parameter is removed if its name commonly carries keys, in any letter case and
/// percent-encoding, or if its value contains a key of the request.
pub fn strip_query(query: &str, keys: &CallerKeys) -> String {
    let kept = query.split('&').filter(|parameter| {
        let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
        let name = normalize_name(&decode_percent(name));
        let value = decode_percent(value);
        !KEY_PARAMETERS.contains(&name.as_str())
            && !keys.occurs_in(&value)
            && !keys.occurs_in(&decode_percent(parameter))
    });
    kept.collect::<Vec<_>>().join("&")
}

fn normalize_name(name: &str) -> String {
    name.chars()
        .filter(|letter| letter.is_alphanumeric())
        .flat_map(char::to_lowercase)
        .collect()
}

/// Decodes percent-encoding repeatedly, because an upstream may decode more than once.
pub(crate) fn decode_percent(text: &str) -> String {
    let mut current = text.replace('+', " ");
    // Three rounds cover an upstream behind two decoding proxies.
    for _ in 0..3 {
        let decoded = decode_once(&current);
        if decoded == current {
            break;
        }
        current = decoded;
    }
    current
}

fn decode_once(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let pair = bytes.get(index + 1..index + 3);
        let value = pair
            .filter(|_| bytes[index] == b'%')
            .and_then(|pair| std::str::from_utf8(pair).ok())
            .filter(|pair| pair.bytes().all(|byte| byte.is_ascii_hexdigit()))
            .and_then(|pair| u8::from_str_radix(pair, 16).ok());
        match value {
            Some(value) => {
                decoded.push(value);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
