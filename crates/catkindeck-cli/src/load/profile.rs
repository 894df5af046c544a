//! Profiles of the load generator.

use {
    catkindeck::{
        id::ObjectName,
        process::parse_name,
        settings::{SettingsError, SettingsText},
    },
    serde::Deserialize,
    std::path::PathBuf,
};

// The inclusive ranges of the numbers in a profile, as minimum and maximum.
const THREADS_RANGE: (u64, u64) = (1, 512);
const DURATION_MS_RANGE: (u64, u64) = (1, 86_400_000);
const RATE_PER_S_RANGE: (u64, u64) = (1, 1_000_000);
const SHARE_RANGE: (u64, u64) = (1, 1000);
const PROMPT_WORDS_RANGE: (u64, u64) = (1, 100_000);
const MAX_TOKENS_RANGE: (u64, u64) = (1, 1_000_000);

/// A profile before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLoad {
    /// The URLs of entries, used in rotation.
    pub targets: Vec<String>,
    /// The URL of an upstream for `--compare`.
    pub direct: Option<String>,
    /// `open` or `closed`.
    #[serde(rename = "loop")]
    pub loop_kind: String,
    /// The number of threads; each sends one request at a time.
    #[serde(default = "default_threads")]
    pub threads: u64,
    /// The rate of an open loop, in requests per second.
    pub rate_per_s: Option<u64>,
    /// The duration of the measurement, which follows the warm-up, in milliseconds.
    pub duration_ms: u64,
    /// The number of requests after which the run ends early; unlimited by default.
    pub request_limit: Option<u64>,
    /// The duration of the warm-up, whose requests are not measured, in milliseconds.
    #[serde(default)]
    pub warmup_ms: u64,
    /// The timeout of a request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    pub customers: Vec<RawCustomerLoad>,
}

/// A customer in a profile before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCustomerLoad {
    /// The customer's name in the report.
    pub name: String,
    /// The file with the customer's key; absent for open routes, which need no key.
    pub key_file: Option<PathBuf>,
    /// The customer's share of the requests, relative to the other shares.
    #[serde(default = "default_share")]
    pub share: u64,
    /// The request path at the entry.
    #[serde(default = "default_path")]
    pub path: String,
    /// The request path at the upstream for `--compare`; the same as `path` by default.
    pub direct_path: Option<String>,
    /// The model; if set, the request is a completion.
    pub model: Option<String>,
    /// Whether completions are streamed.
    #[serde(default)]
    pub stream: bool,
    /// The number of words in a completion's prompt.
    #[serde(default = "default_prompt_words")]
    pub prompt_words: u64,
    /// The token limit of a completion.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// The body of a POST request that is not a completion; without it, the request is a GET.
    pub body: Option<String>,
}

fn default_threads() -> u64 {
    8
}

fn default_timeout_ms() -> u64 {
    30_000
}

fn default_path() -> String {
    "/v1/completions".to_owned()
}

fn default_prompt_words() -> u64 {
    64
}

fn default_max_tokens() -> u64 {
    32
}

fn default_share() -> u64 {
    1
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoopKind {
    /// Requests start at a fixed rate, in requests per second.
    Open(u64),
    /// Each thread starts a request when its previous one has ended.
    Closed,
}

/// The validated load of a customer.
#[derive(Debug, Clone)]
pub struct CustomerLoad {
    pub name: ObjectName,
    /// The file with the customer's key.
    pub key_file: Option<PathBuf>,
    /// The share of the requests, relative to the other shares.
    pub share: u64,
    /// The request path at the entry.
    pub path: String,
    /// The request path at the upstream.
    pub direct_path: String,
    /// The model; if set, the request is a completion.
    pub model: Option<ObjectName>,
    /// Whether completions are streamed.
    pub stream: bool,
    /// The number of words in a completion's prompt.
    pub prompt_words: u64,
    /// The token limit of a completion.
    pub max_tokens: u64,
    /// The body of a POST request that is not a completion.
    pub body: Option<String>,
}

/// A validated profile.
#[derive(Debug, Clone)]
pub struct LoadProfile {
    /// The URLs of entries, at least one.
    pub targets: Vec<String>,
    /// The URL of an upstream for `--compare`.
    pub direct: Option<String>,
    pub loop_kind: LoopKind,
    /// The number of threads; each sends one request at a time.
    pub threads: u64,
    /// The duration of the measurement, which follows the warm-up, in milliseconds.
    pub duration_ms: u64,
    /// The number of requests after which the run ends early.
    pub request_limit: Option<u64>,
    /// The duration of the warm-up, whose requests are not measured, in milliseconds.
    pub warmup_ms: u64,
    /// The timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// The customers, at least one.
    pub customers: Vec<CustomerLoad>,
}

impl LoadProfile {
    /// Overrides values with those of the command line.
    ///
    /// # Errors
    ///
    /// Returns the expected range of the first value out of bounds.
    pub fn apply_overrides(
        &mut self,
        duration_ms: Option<u64>,
        threads: Option<u32>,
        rate_per_s: Option<u32>,
    ) -> Result<(), String> {
        if let Some(duration_ms) = duration_ms {
            self.duration_ms = check_bounds("--duration-ms", duration_ms, DURATION_MS_RANGE)?;
        }
        if let Some(threads) = threads {
            self.threads = check_bounds("--threads", u64::from(threads), THREADS_RANGE)?;
        }
        if let Some(rate) = rate_per_s {
            self.loop_kind = LoopKind::Open(check_bounds(
                "--rate-per-s",
                u64::from(rate),
                RATE_PER_S_RANGE,
            )?);
        }
        Ok(())
    }
}

impl TryFrom<(&SettingsText, RawLoad)> for LoadProfile {
    type Error = SettingsError;

    fn try_from((text, raw): (&SettingsText, RawLoad)) -> Result<Self, SettingsError> {
        let check = |field: &str, value: u64, bounds: (u64, u64)| {
            check_bounds(field, value, bounds).map_err(|expected| text.field_error(field, expected))
        };
        let loop_kind = match (raw.loop_kind.as_str(), raw.rate_per_s) {
            ("open", Some(rate)) => LoopKind::Open(check("rate_per_s", rate, RATE_PER_S_RANGE)?),
            ("open", None) => {
                return Err(text.field_error("loop", "an open loop needs the field `rate_per_s`"));
            }
            ("closed", None) => LoopKind::Closed,
            ("closed", Some(_)) => {
                let expected = "expected no rate, because a closed loop has none";
                return Err(text.field_error("rate_per_s", expected));
            }
            (other, _) => {
                let expected = format!("expected `open` or `closed`, got `{other}`");
                return Err(text.field_error("loop", expected));
            }
        };
        if raw.targets.is_empty() {
            return Err(text.field_error("targets", "expected at least one address"));
        }
        if raw.customers.is_empty() {
            return Err(text.field_error("customers", "expected at least one customer"));
        }
        let targets = raw
            .targets
            .iter()
            .map(|target| parse_address(text, "targets", target));
        let customers = raw
            .customers
            .into_iter()
            .map(|raw| customer_load(text, raw));
        Ok(Self {
            targets: targets.collect::<Result<_, _>>()?,
            direct: match &raw.direct {
                Some(direct) => Some(parse_address(text, "direct", direct)?),
                None => None,
            },
            loop_kind,
            threads: check("threads", raw.threads, THREADS_RANGE)?,
            duration_ms: check("duration_ms", raw.duration_ms, DURATION_MS_RANGE)?,
            request_limit: raw.request_limit,
            warmup_ms: check("warmup_ms", raw.warmup_ms, (0, DURATION_MS_RANGE.1))?,
            timeout_ms: check("timeout_ms", raw.timeout_ms, DURATION_MS_RANGE)?,
            customers: customers.collect::<Result<_, _>>()?,
        })
    }
}

fn customer_load(text: &SettingsText, raw: RawCustomerLoad) -> Result<CustomerLoad, SettingsError> {
    let check = |field: &str, value: u64, bounds: (u64, u64)| {
        check_bounds(field, value, bounds).map_err(|expected| text.field_error(field, expected))
    };
    for (field, path) in [
        ("path", Some(&raw.path)),
        ("direct_path", raw.direct_path.as_ref()),
    ] {
        if path.is_some_and(|path| !path.starts_with('/')) {
            return Err(text.field_error(field, "expected a path that starts with `/`"));
        }
    }
    let model = match &raw.model {
        Some(model) => Some(parse_name(text, "model", model)?),
        None => None,
    };
    if model.is_some() && raw.body.is_some() {
        return Err(text.field_error(
            "body",
            "expected no `body`, because `model` generates the request body",
        ));
    }
    // Paths of key files are relative to the profile.
    let directory = std::path::Path::new(text.file()).parent();
    let key_file = raw.key_file.map(|file| match directory {
        Some(directory) => directory.join(file),
        None => file,
    });
    Ok(CustomerLoad {
        name: parse_name(text, "name", &raw.name)?,
        key_file,
        share: check("share", raw.share, SHARE_RANGE)?,
        direct_path: raw.direct_path.unwrap_or_else(|| raw.path.clone()),
        path: raw.path,
        model,
        stream: raw.stream,
        prompt_words: check("prompt_words", raw.prompt_words, PROMPT_WORDS_RANGE)?,
        max_tokens: check("max_tokens", raw.max_tokens, MAX_TOKENS_RANGE)?,
        body: raw.body,
    })
}

fn parse_address(text: &SettingsText, field: &str, value: &str) -> Result<String, SettingsError> {
    let rest = value.strip_prefix("http://").unwrap_or("");
    if rest.is_empty() {
        let expected = format!("expected an address such as http://127.0.0.1:7100, got `{value}`");
        return Err(text.field_error(field, expected));
    }
    Ok(value.trim_end_matches('/').to_owned())
}

fn check_bounds(field: &str, value: u64, (low, high): (u64, u64)) -> Result<u64, String> {
    if (low..=high).contains(&value) {
        return Ok(value);
    }
    Err(format!(
        "expected {field} from {low} to {high}, got {value}"
    ))
}
