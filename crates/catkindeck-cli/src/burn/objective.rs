//! Service-level objectives as declared in TOML.

use {
    super::selector::{CounterSelector, LabelTest},
    catkindeck::{
        ErrorKind, ServiceError, key,
        process::parse_name,
        settings::{SettingsError, SettingsText},
    },
    serde::Deserialize,
    std::{collections::BTreeSet, path::Path},
};

/// The windows that are used when the file declares none.
///
/// The limits follow the usual pairs of multi-window alerts: 14.4 uses up 2 % of a 30-day allowance
/// in an hour, 6 uses up 5 % in six hours.
const DEFAULT_WINDOWS: [(&str, u64, u64, f64); 2] = [
    ("fast", 300_000, 3_600_000, 14.4),
    ("slow", 1_800_000, 21_600_000, 6.0),
];

/// What an objective measures.
#[key]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// Requests that were answered in full.
    Availability,
    /// Requests whose first token or byte came within the threshold.
    FirstToken,
    /// Steps whose samples were whole before the deadline.
    StepOnTime,
    /// Samples that were within the staleness bound when offered.
    Staleness,
    /// Usage windows that were reported in time.
    UsageOnTime,
}

/// An objectives file as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawObjectives {
    /// The addresses of `/metrics` of entries and agents.
    #[serde(default)]
    pub sources: Vec<String>,
    /// The pairs of windows.
    #[serde(default)]
    pub windows: Vec<RawWindow>,
    /// The objectives.
    pub objectives: Vec<RawObjective>,
}

/// A pair of windows as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWindow {
    /// The unique name.
    pub name: String,
    /// The short window, in milliseconds.
    pub short_ms: u64,
    /// The long window, in milliseconds.
    pub long_ms: u64,
    /// The burn rate above which both windows raise an alarm.
    pub burn_limit: f64,
}

/// An objective as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawObjective {
    /// The unique name.
    pub name: String,
    /// What is measured.
    pub indicator: Indicator,
    /// The part that must be good, in percent.
    pub target_percent: f64,
    /// The routes whose requests count.
    #[serde(default)]
    pub routes: Vec<String>,
    /// The customer whose requests count.
    pub customer: Option<String>,
    /// The training run whose steps or samples count.
    pub run: Option<String>,
    /// The zones whose usage windows count.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The longest time to the first token, in milliseconds.
    pub threshold_ms: Option<u64>,
}

/// A checked pair of windows.
#[derive(Debug, Clone, PartialEq)]
pub struct BurnWindow {
    /// The unique name.
    pub name: String,
    /// The short window, in milliseconds.
    pub short_ms: u64,
    /// The long window, in milliseconds.
    pub long_ms: u64,
    /// The burn rate above which both windows raise an alarm.
    pub burn_limit: f64,
}

/// A checked objective.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceObjective {
    /// The unique name.
    pub name: String,
    /// What is measured.
    pub indicator: Indicator,
    /// The part of events that may be bad, above 0 and below 1.
    pub allowance: f64,
    /// The good events.
    pub good: CounterSelector,
    /// All events.
    pub total: CounterSelector,
}

/// A checked objectives file.
#[derive(Debug, Clone, PartialEq)]
pub struct BurnObjectives {
    /// The addresses of `/metrics`.
    pub sources: Vec<String>,
    /// The pairs of windows, at least one.
    pub windows: Vec<BurnWindow>,
    /// The objectives.
    pub objectives: Vec<ServiceObjective>,
}

impl BurnObjectives {
    /// Returns how long samples are of use, in milliseconds.
    ///
    /// Twice the longest window lets the plots show where a long window's rate comes from.
    pub fn retention_ms(&self) -> u64 {
        let longest = self.windows.iter().map(|window| window.long_ms).max();
        longest.unwrap_or(0).saturating_mul(2)
    }
}

/// Reads and checks an objectives file.
///
/// # Errors
///
/// Returns `bad_request` with file, line, field and expectation.
pub fn read_objectives(path: &Path) -> Result<BurnObjectives, ServiceError> {
    let fault =
        |error: SettingsError| ServiceError::not_run(ErrorKind::BadRequest, error.to_string());
    let text = SettingsText::read(path).map_err(fault)?;
    let raw: RawObjectives = text.parse().map_err(fault)?;
    BurnObjectives::try_from((&text, raw)).map_err(fault)
}

impl TryFrom<(&SettingsText, RawObjectives)> for BurnObjectives {
    type Error = SettingsError;

    fn try_from((text, raw): (&SettingsText, RawObjectives)) -> Result<Self, SettingsError> {
        for source in &raw.sources {
            if !source.starts_with("http://") {
                let expected = format!("expected http://ADDRESS/metrics, got `{source}`");
                return Err(text.fault("sources", expected));
            }
        }
        let mut windows = Vec::new();
        for window in &raw.windows {
            windows.push(check_window(text, window)?);
        }
        if windows.is_empty() {
            windows.extend(
                DEFAULT_WINDOWS.map(|(name, short_ms, long_ms, burn_limit)| BurnWindow {
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
                return Err(text.fault("name", expected));
            }
            objectives.push(check_objective(text, objective)?);
        }
        if objectives.is_empty() {
            return Err(text.fault("objectives", "expected at least one objective"));
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
        return Err(text.fault("short_ms", expected));
    }
    if !(raw.burn_limit.is_finite() && raw.burn_limit >= 1.0) {
        let expected = "expected at least 1, because 1 uses up exactly what is allowed";
        return Err(text.fault("burn_limit", expected));
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
        return Err(text.fault("target_percent", expected));
    }
    if raw.threshold_ms.is_some() != (raw.indicator == Indicator::FirstToken) {
        let expected = format!("objective {name}: exactly `first_token` has a threshold");
        return Err(text.fault("threshold_ms", expected));
    }
    let (good, total) = selectors(raw).ok_or_else(|| {
        let subject = match raw.indicator {
            Indicator::Availability => "either `routes` or `customer`",
            Indicator::FirstToken => "`routes`",
            Indicator::StepOnTime | Indicator::Staleness => "`run`",
            Indicator::UsageOnTime => "`zones`",
        };
        text.fault(
            "indicator",
            format!("objective {name}: expected {subject} and no other subject"),
        )
    })?;
    Ok(ServiceObjective {
        name,
        indicator: raw.indicator,
        allowance: 1.0 - raw.target_percent / 100.0,
        good,
        total,
    })
}

/// Returns the counters of an objective, or `None` if its subject does not fit the indicator.
fn selectors(raw: &RawObjective) -> Option<(CounterSelector, CounterSelector)> {
    let routes = (!raw.routes.is_empty()).then_some(&raw.routes);
    let zones = (!raw.zones.is_empty()).then_some(&raw.zones);
    let split = |metric: &str, label: &str, values: &[String], outcome: &str| {
        let total = CounterSelector::counter(metric, label, values);
        let good = total
            .clone()
            .with(outcome, LabelTest::OneOf(vec!["true".to_owned()]));
        (good, total)
    };
    match (raw.indicator, routes, &raw.customer, &raw.run, zones) {
        (Indicator::Availability, Some(routes), None, None, None) => {
            let metric = "catkindeck_entry_requests_total";
            let total = CounterSelector::counter(metric, "route", routes);
            let good = total
                .clone()
                .with("answer", LabelTest::NoneOf(failures_of_service()));
            Some((good, total))
        }
        (Indicator::Availability, None, Some(customer), None, None) => {
            let metric = "catkindeck_entry_customer_requests_total";
            Some(split(
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
            let good = series.clone().up_to(threshold_ms as f64 / 1000.0);
            Some((good, series.up_to(f64::INFINITY)))
        }
        (Indicator::StepOnTime, None, None, Some(run), None) => {
            let metric = "catkindeck_run_steps_total";
            Some(split(metric, "run", std::slice::from_ref(run), "on_time"))
        }
        (Indicator::Staleness, None, None, Some(run), None) => {
            let metric = "catkindeck_run_samples_total";
            Some(split(metric, "run", std::slice::from_ref(run), "fresh"))
        }
        (Indicator::UsageOnTime, None, None, None, Some(zones)) => Some(split(
            "catkindeck_usage_windows_total",
            "zone",
            zones,
            "on_time",
        )),
        _ => None,
    }
}

/// Returns the answers that count against the service; a caller's own mistake does not.
fn failures_of_service() -> Vec<String> {
    let failures = ErrorKind::ALL.into_iter().filter(|kind| {
        let answer = kind.answer();
        answer.status >= 500 || matches!(kind, ErrorKind::Overloaded)
    });
    failures.map(|kind| kind.answer().name.to_owned()).collect()
}
