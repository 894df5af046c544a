//! Service-level objectives declared in TOML.

use {
    super::selector::{CounterSelector, LabelMatcher},
    catkindeck::{
        ErrorKind, ServiceError, key,
        process::parse_name,
        settings::{SettingsError, SettingsText},
    },
    serde::Deserialize,
    std::{collections::BTreeSet, path::Path},
};

/// The window pairs that are used when the file declares none, as name, short window and long
/// window in milliseconds, and burn limit.
///
/// The limits are the usual ones of multi-window alerts: a rate of 14.4 consumes 2 % of a 30-day
/// error budget in an hour, a rate of 6 consumes 5 % in six hours.
const DEFAULT_WINDOW_PAIRS: [(&str, u64, u64, f64); 2] = [
    ("fast", 300_000, 3_600_000, 14.4),
    ("slow", 1_800_000, 21_600_000, 6.0),
];

/// What an objective measures.
#[key]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// Requests that were answered completely.
    Availability,
    /// Requests whose first token or byte arrived within the threshold.
    FirstToken,
    /// Steps whose samples were complete before the deadline.
    StepOnTime,
    /// Samples that were within the staleness bound when they were offered.
    Staleness,
    /// Usage windows that were reported on time.
    UsageOnTime,
}

/// An objectives file before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawObjectives {
    /// The URLs of the `/metrics` endpoints of entries and agents.
    #[serde(default)]
    pub sources: Vec<String>,
    /// The window pairs; if absent, `DEFAULT_WINDOW_PAIRS` are used.
    #[serde(default)]
    pub windows: Vec<RawWindow>,
    pub objectives: Vec<RawObjective>,
}

/// A window pair before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWindow {
    /// The name of the window pair in the report.
    pub name: String,
    /// The short window, in milliseconds.
    pub short_ms: u64,
    /// The long window, in milliseconds.
    pub long_ms: u64,
    /// The burn rate that both windows must exceed to raise an alarm.
    pub burn_limit: f64,
}

/// An objective before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawObjective {
    /// The name of the objective, unique in the file.
    pub name: String,
    pub indicator: Indicator,
    /// The share of events that must be good, in percent.
    pub target_percent: f64,
    /// The routes whose requests are counted.
    #[serde(default)]
    pub routes: Vec<String>,
    /// The customer whose requests are counted.
    pub customer: Option<String>,
    /// The training run whose steps or samples are counted.
    pub run: Option<String>,
    /// The zones whose usage windows are counted.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The longest time to the first token or byte, in milliseconds.
    pub threshold_ms: Option<u64>,
}

/// A validated window pair.
#[derive(Debug, Clone, PartialEq)]
pub struct BurnWindow {
    /// The name of the window pair in the report.
    pub name: String,
    /// The short window, in milliseconds.
    pub short_ms: u64,
    /// The long window, in milliseconds.
    pub long_ms: u64,
    /// The burn rate that both windows must exceed to raise an alarm.
    pub burn_limit: f64,
}

/// A validated objective.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceObjective {
    /// The name of the objective, unique in the file.
    pub name: String,
    pub indicator: Indicator,
    /// The share of events that may be bad, above 0 and below 1.
    pub error_budget: f64,
    /// Selects the good events.
    pub good: CounterSelector,
    /// Selects all events.
    pub total: CounterSelector,
}

/// A validated objectives file.
#[derive(Debug, Clone, PartialEq)]
pub struct BurnObjectives {
    /// The URLs of the `/metrics` endpoints.
    pub sources: Vec<String>,
    /// The window pairs, at least one.
    pub windows: Vec<BurnWindow>,
    /// The objectives, at least one.
    pub objectives: Vec<ServiceObjective>,
}

impl BurnObjectives {
    /// Returns how long samples are kept, in milliseconds.
    ///
    /// Twice the longest window, so that the plots cover the events behind a long window's rate.
    pub fn retention_ms(&self) -> u64 {
        let longest = self.windows.iter().map(|window| window.long_ms).max();
        longest.unwrap_or(0).saturating_mul(2)
    }
}

/// Reads and validates an objectives file.
///
/// # Errors
///
/// Returns `bad_request` with the file, line, field and expected value.
pub fn read_objectives(path: &Path) -> Result<BurnObjectives, ServiceError> {
    let bad_request_error =
        |error: SettingsError| ServiceError::not_run(ErrorKind::BadRequest, error.to_string());
    let text = SettingsText::read(path).map_err(bad_request_error)?;
    let raw: RawObjectives = text.parse().map_err(bad_request_error)?;
    BurnObjectives::try_from((&text, raw)).map_err(bad_request_error)
}

impl TryFrom<(&SettingsText, RawObjectives)> for BurnObjectives {
    type Error = SettingsError;

    fn try_from((text, raw): (&SettingsText, RawObjectives)) -> Result<Self, SettingsError> {
        for source in &raw.sources {
            if !source.starts_with("http://") {
                let expected = format!("expected http://ADDRESS/metrics, got `{source}`");
                return Err(text.field_error("sources", expected));
            }
        }
        let mut windows = Vec::new();
        for window in &raw.windows {
            windows.push(check_window(text, window)?);
        }
        if windows.is_empty() {
            windows.extend(
                DEFAULT_WINDOW_PAIRS.map(|(name, short_ms, long_ms, burn_limit)| BurnWindow {
                    name: name.to_owned(),
                    short_ms,
                    long_ms,
                    burn_limit,
                }),
            );
        }
        let mut names = BTreeSet::new();
        let mut objectives = Vec::new();
        for objective in &raw.objectives {
            if !names.insert(objective.name.as_str()) {
                let expected = format!("expected unique names, got `{}` twice", objective.name);
                return Err(text.field_error("name", expected));
            }
            objectives.push(check_objective(text, objective)?);
        }
        if objectives.is_empty() {
            return Err(text.field_error("objectives", "expected at least one objective"));
        }
        Ok(Self {
            sources: raw.sources,
            windows,
            objectives,
        })
    }
}

fn check_window(text: &SettingsText, raw: &RawWindow) -> Result<BurnWindow, SettingsError> {
    if raw.short_ms < 1000 || raw.short_ms >= raw.long_ms {
        let expected = "expected at least 1000 and less than `long_ms`";
        return Err(text.field_error("short_ms", expected));
    }
    if !(raw.burn_limit.is_finite() && raw.burn_limit >= 1.0) {
        let expected = "expected at least 1, because a rate of 1 uses exactly the error budget";
        return Err(text.field_error("burn_limit", expected));
    }
    Ok(BurnWindow {
        name: parse_name(text, "name", &raw.name)?.to_string(),
        short_ms: raw.short_ms,
        long_ms: raw.long_ms,
        burn_limit: raw.burn_limit,
    })
}

fn check_objective(
    text: &SettingsText,
    raw: &RawObjective,
) -> Result<ServiceObjective, SettingsError> {
    let name = parse_name(text, "name", &raw.name)?.to_string();
    if !(raw.target_percent > 0.0 && raw.target_percent < 100.0) {
        let expected = format!(
            "objective {name}: expected above 0 and below 100, got {}",
            raw.target_percent
        );
        return Err(text.field_error("target_percent", expected));
    }
    if raw.threshold_ms.is_some() != (raw.indicator == Indicator::FirstToken) {
        let expected = format!(
            "objective {name}: required by `first_token`, not allowed for other indicators"
        );
        return Err(text.field_error("threshold_ms", expected));
    }
    let (good, total) = counter_selectors(raw).ok_or_else(|| {
        let selector = match raw.indicator {
            Indicator::Availability => "either `routes` or `customer`",
            Indicator::FirstToken => "`routes`",
            Indicator::StepOnTime | Indicator::Staleness => "`run`",
            Indicator::UsageOnTime => "`zones`",
        };
        text.field_error(
            "indicator",
            format!("objective {name}: expected {selector} and no other selector"),
        )
    })?;
    Ok(ServiceObjective {
        name,
        indicator: raw.indicator,
        error_budget: 1.0 - raw.target_percent / 100.0,
        good,
        total,
    })
}

/// Returns the counters of good and of all events, or `None` if the fields that are set do not fit
/// the indicator.
fn counter_selectors(raw: &RawObjective) -> Option<(CounterSelector, CounterSelector)> {
    let routes = (!raw.routes.is_empty()).then_some(&raw.routes);
    let zones = (!raw.zones.is_empty()).then_some(&raw.zones);
    let split_by_label = |metric: &str, label: &str, values: &[String], good_label: &str| {
        let total = CounterSelector::counter(metric, label, values);
        let good = total
            .clone()
            .with_label(good_label, LabelMatcher::OneOf(vec!["true".to_owned()]));
        (good, total)
    };
    match (raw.indicator, routes, &raw.customer, &raw.run, zones) {
        (Indicator::Availability, Some(routes), None, None, None) => {
            let metric = "catkindeck_entry_requests_total";
            let total = CounterSelector::counter(metric, "route", routes);
            let good = total
                .clone()
                .with_label("answer", LabelMatcher::NoneOf(service_failures()));
            Some((good, total))
        }
        (Indicator::Availability, None, Some(customer), None, None) => {
            let metric = "catkindeck_entry_customer_requests_total";
            Some(split_by_label(
                metric,
                "customer",
                std::slice::from_ref(customer),
                "whole",
            ))
        }
        (Indicator::FirstToken, Some(routes), None, None, None) => {
            let metric = "catkindeck_entry_first_part_seconds";
            let series = CounterSelector::counter(metric, "route", routes);
            let threshold_ms = raw.threshold_ms?;
            let good = series
                .clone()
                .with_bucket_bound(threshold_ms as f64 / 1000.0);
            Some((good, series.with_bucket_bound(f64::INFINITY)))
        }
        (Indicator::StepOnTime, None, None, Some(run), None) => {
            let metric = "catkindeck_run_steps_total";
            Some(split_by_label(
                metric,
                "run",
                std::slice::from_ref(run),
                "on_time",
            ))
        }
        (Indicator::Staleness, None, None, Some(run), None) => {
            let metric = "catkindeck_run_samples_total";
            Some(split_by_label(
                metric,
                "run",
                std::slice::from_ref(run),
                "fresh",
            ))
        }
        (Indicator::UsageOnTime, None, None, None, Some(zones)) => Some(split_by_label(
            "catkindeck_usage_windows_total",
            "zone",
            zones,
            "on_time",
        )),
        _ => None,
    }
}

/// Returns the error kinds that count as failures of the service; errors of the caller do not.
fn service_failures() -> Vec<String> {
    let failures = ErrorKind::ALL.into_iter().filter(|kind| {
        let answer = kind.response();
        answer.status >= 500 || matches!(kind, ErrorKind::Overloaded)
    });
    failures
        .map(|kind| kind.response().name.to_owned())
        .collect()
}
