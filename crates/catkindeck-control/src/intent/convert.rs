//! Conversion of parsed declarations to validated ones.

use {
    super::{
        check::{LocatedValue, NumberBounds},
        declared::{DeclaredKey, DeclaredUpstream, DeclaredZone},
        raw::{RawCustomer, RawKey, RawRoute, RawRun, RawService, RawUpstream, RawZone},
    },
    catkindeck::{
        config::{
            CustomerRecord, KeyRecord, RouteRecord, RunRecord, ServiceKind, ServiceRecord,
            ZoneState,
        },
        direct::{DirectOptions, RouteOptions},
        id::KeyDigest,
        settings::SettingsError,
    },
};

const WEIGHT_BOUNDS: NumberBounds = bounds(1, 1000, 1, "shares");
/// Retries may increase the number of attempts by at most 10 %, even when a whole zone fails
/// (decision 5).
const RETRY_PERCENT: NumberBounds = bounds(0, 10, 10, "percent");
const CONCURRENCY_BOUNDS: NumberBounds = bounds(1, 4096, 1, "requests");
const COLD_START_BOUNDS: NumberBounds = bounds(0, 3_600_000, 0, "milliseconds");
const ROUTE_TIMEOUT_MS: NumberBounds = bounds(10, 3_600_000, 30_000, "milliseconds");
const STALENESS_BOUNDS: NumberBounds = bounds(0, 64, 1, "versions");
const STEP_DEADLINE_MS: NumberBounds = bounds(1000, 86_400_000, 600_000, "milliseconds");

const fn bounds(low: i64, high: i64, default: i64, unit: &'static str) -> NumberBounds {
    NumberBounds {
        low,
        high,
        default,
        unit,
    }
}

impl TryFrom<LocatedValue<'_, RawCustomer>> for CustomerRecord {
    type Error = SettingsError;

    fn try_from(located: LocatedValue<'_, RawCustomer>) -> Result<Self, SettingsError> {
        let raw = located.raw;
        Ok(Self {
            name: located.name("customers.name", &raw.name)?,
            weight: located.number_u32("customers.weight", raw.weight.as_ref(), WEIGHT_BOUNDS)?,
            retry_percent: located.number_u32(
                "customers.retry_percent",
                raw.retry_percent.as_ref(),
                RETRY_PERCENT,
            )?,
            priority: None,
        })
    }
}

impl TryFrom<LocatedValue<'_, RawKey>> for DeclaredKey {
    type Error = SettingsError;

    fn try_from(located: LocatedValue<'_, RawKey>) -> Result<Self, SettingsError> {
        let raw = located.raw;
        let digest: KeyDigest = located.digest("keys.digest", &raw.digest)?;
        Ok(Self {
            record: KeyRecord {
                digest,
                customer: located.name("keys.customer", &raw.customer)?,
                label: located.name("keys.label", &raw.label)?,
            },
            revoked: raw.revoked,
        })
    }
}

impl TryFrom<LocatedValue<'_, RawService>> for ServiceRecord {
    type Error = SettingsError;

    fn try_from(located: LocatedValue<'_, RawService>) -> Result<Self, SettingsError> {
        let raw = located.raw;
        let kinds = [ServiceKind::Engine, ServiceKind::Plain];
        let kind =
            kinds[located.index_of_word("services.kind", &raw.kind, &["engine", "plain"])?];
        let warm_limit = located.number_u32(
            "services.warm_limit",
            Some(&raw.warm_limit),
            CONCURRENCY_BOUNDS,
        )?;
        let cold_bounds = NumberBounds {
            high: i64::from(warm_limit),
            ..CONCURRENCY_BOUNDS
        };
        Ok(Self {
            name: located.name("services.name", &raw.name)?,
            kind,
            warm_limit,
            cold_limit: located.number_u32(
                "services.cold_limit",
                raw.cold_limit.as_ref(),
                cold_bounds,
            )?,
            cold_start_ms: located.number(
                "services.cold_start_ms",
                Some(&raw.cold_start_ms),
                COLD_START_BOUNDS,
            )?,
            checks_fence: raw.checks_fence,
            direct: DirectOptions::default(),
        })
    }
}

impl TryFrom<LocatedValue<'_, RawRoute>> for RouteRecord {
    type Error = SettingsError;

    fn try_from(located: LocatedValue<'_, RawRoute>) -> Result<Self, SettingsError> {
        let raw = located.raw;
        Ok(Self {
            name: located.name("routes.name", &raw.name)?,
            service: located.name("routes.service", &raw.service)?,
            open: raw.open,
            idempotent: raw.idempotent,
            timeout_ms: located.number(
                "routes.timeout_ms",
                raw.timeout_ms.as_ref(),
                ROUTE_TIMEOUT_MS,
            )?,
            terms: RouteOptions::default(),
        })
    }
}

impl TryFrom<LocatedValue<'_, RawZone>> for DeclaredZone {
    type Error = SettingsError;

    fn try_from(located: LocatedValue<'_, RawZone>) -> Result<Self, SettingsError> {
        let raw = located.raw;
        let states = [ZoneState::In, ZoneState::Out];
        let state = match &raw.state {
            Some(state) => {
                Some(states[located.index_of_word("zones.state", state, &["in", "out"])?])
            }
            None => None,
        };
        Ok(Self {
            name: located.name("zones.name", &raw.name)?,
            region: located.name("zones.region", &raw.region)?,
            state,
        })
    }
}

impl TryFrom<LocatedValue<'_, RawUpstream>> for DeclaredUpstream {
    type Error = SettingsError;

    fn try_from(located: LocatedValue<'_, RawUpstream>) -> Result<Self, SettingsError> {
        let raw = located.raw;
        Ok(Self {
            name: located.name("upstreams.name", &raw.name)?,
            service: located.name("upstreams.service", &raw.service)?,
            zone: located.name("upstreams.zone", &raw.zone)?,
            agent: located.address("upstreams.agent", &raw.agent)?,
        })
    }
}

impl TryFrom<LocatedValue<'_, RawRun>> for RunRecord {
    type Error = SettingsError;

    fn try_from(located: LocatedValue<'_, RawRun>) -> Result<Self, SettingsError> {
        let raw = located.raw;
        Ok(Self {
            name: located.name("runs.name", &raw.name)?,
            customer: located.name("runs.customer", &raw.customer)?,
            service: located.name("runs.service", &raw.service)?,
            staleness_bound: located.number(
                "runs.staleness_bound",
                raw.staleness_bound.as_ref(),
                STALENESS_BOUNDS,
            )?,
            step_deadline_ms: located.number(
                "runs.step_deadline_ms",
                raw.step_deadline_ms.as_ref(),
                STEP_DEADLINE_MS,
            )?,
        })
    }
}
