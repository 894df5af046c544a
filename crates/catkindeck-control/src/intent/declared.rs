//! Checked declarations and their conversion to a configuration.

use {
    super::{
        check::{LocatedValue, NameTable, SourceLocation},
        raw::RawIntent,
    },
    catkindeck::{
        config::{
            ConfigRevision, ConfigSnapshot, CustomerRecord, KeyRecord, RouteRecord, RunRecord,
            ServiceKind, ServiceRecord, UpstreamRecord, ZoneRecord, ZoneState,
        },
        direct::CallerLimits,
        id::ObjectName,
        settings::{SettingsError, SettingsText},
    },
    std::{collections::BTreeSet, net::SocketAddr, path::Path},
    toml::Spanned,
};

/// The time for which a removed upstream remains in the configuration, in milliseconds.
///
/// During this time its agent may hold idempotency records (`docs/design.md`, decision 4).
const EXECUTION_RETENTION_MS: u64 = 600_000;

#[derive(Debug, Clone)]
pub struct DeclarationFile {
    text: SettingsText,
    raw: RawIntent,
}

impl DeclarationFile {
    /// Parses the text of a declaration file.
    ///
    /// # Errors
    ///
    /// Returns the first syntax or type error.
    pub fn parse(text: SettingsText) -> Result<Self, SettingsError> {
        let raw = text.parse()?;
        Ok(Self { text, raw })
    }

    /// Reads and parses a declaration file.
    ///
    /// # Errors
    ///
    /// Returns the error of reading the file, or the first syntax or type error.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(SettingsText::read(path)?)
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclaredKey {
    pub record: KeyRecord,
    /// Whether the key is revoked and therefore left out of the configuration.
    pub revoked: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclaredZone {
    pub name: ObjectName,
    pub region: ObjectName,
    /// The state, or `None` to leave it unchanged.
    pub state: Option<ZoneState>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclaredUpstream {
    pub name: ObjectName,
    /// The service that it runs.
    pub service: ObjectName,
    pub zone: ObjectName,
    /// The address of its agent.
    pub agent: SocketAddr,
}

/// The validated content of all declaration files. Objects that it does not contain are removed
/// from the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeclaredIntent {
    pub customers: Vec<CustomerRecord>,
    /// The keys, including revoked ones.
    pub keys: Vec<DeclaredKey>,
    pub services: Vec<ServiceRecord>,
    pub routes: Vec<RouteRecord>,
    pub zones: Vec<DeclaredZone>,
    pub upstreams: Vec<DeclaredUpstream>,
    pub runs: Vec<RunRecord>,
}

impl DeclaredIntent {
    /// Returns the configuration that results from applying this intent to `current`.
    ///
    /// `now_ms` is recorded as the time at which upstreams were added or removed, in milliseconds
    /// since the Unix epoch.
    pub fn to_snapshot(&self, current: &ConfigSnapshot, now_ms: u64) -> ConfigSnapshot {
        let keys = self.keys.iter().filter(|key| !key.revoked);
        let mut snapshot = ConfigSnapshot {
            revision: ConfigRevision(current.revision.0 + 1),
            customers: self.customers.clone(),
            keys: keys.map(|key| key.record.clone()).collect(),
            services: self.services.clone(),
            routes: self.routes.clone(),
            zones: self
                .zones
                .iter()
                .map(|zone| zone_record(zone, current))
                .collect(),
            upstreams: upstream_records(&self.upstreams, current, now_ms),
            runs: self.runs.clone(),
            limits: CallerLimits::default(),
        };
        snapshot.sort();
        snapshot
    }
}

fn zone_record(zone: &DeclaredZone, current: &ConfigSnapshot) -> ZoneRecord {
    let kept = current.zone(&zone.name).map(|record| record.state);
    ZoneRecord {
        name: zone.name.clone(),
        region: zone.region.clone(),
        state: zone.state.or(kept).unwrap_or(ZoneState::In),
    }
}

fn upstream_records(
    declared: &[DeclaredUpstream],
    current: &ConfigSnapshot,
    now_ms: u64,
) -> Vec<UpstreamRecord> {
    let mut records: Vec<UpstreamRecord> = declared
        .iter()
        .map(|upstream| {
            let member = current
                .upstream(&upstream.name)
                .filter(|record| record.removed_ms.is_none());
            UpstreamRecord {
                name: upstream.name.clone(),
                service: upstream.service.clone(),
                zone: upstream.zone.clone(),
                agent: upstream.agent,
                // A removed upstream that returns counts as a new member, because requests in the
                // meantime had another home agent.
                added_ms: member.map_or(now_ms, |record| record.added_ms),
                removed_ms: None,
            }
        })
        .collect();
    let names: BTreeSet<&ObjectName> = declared.iter().map(|upstream| &upstream.name).collect();
    for record in &current.upstreams {
        let declared_again = names.contains(&record.name);
        let removed_ms = record.removed_ms.unwrap_or(now_ms);
        let retained = now_ms.saturating_sub(removed_ms) < EXECUTION_RETENTION_MS;
        if !declared_again && retained {
            records.push(UpstreamRecord {
                removed_ms: Some(removed_ms),
                ..record.clone()
            });
        }
    }
    records
}

impl TryFrom<&[DeclarationFile]> for DeclaredIntent {
    type Error = SettingsError;

    fn try_from(files: &[DeclarationFile]) -> Result<Self, SettingsError> {
        let mut intent = Self::default();
        for file in files {
            let text = &file.text;
            let raw = &file.raw;
            convert(text, &raw.customers, &mut intent.customers)?;
            convert(text, &raw.keys, &mut intent.keys)?;
            convert(text, &raw.services, &mut intent.services)?;
            convert(text, &raw.routes, &mut intent.routes)?;
            convert(text, &raw.zones, &mut intent.zones)?;
            convert(text, &raw.upstreams, &mut intent.upstreams)?;
            convert(text, &raw.runs, &mut intent.runs)?;
        }
        check_references(files, &intent)?;
        Ok(intent)
    }
}

fn convert<'a, R, T>(
    text: &'a SettingsText,
    raw: &'a [R],
    into: &mut Vec<T>,
) -> Result<(), SettingsError>
where
    T: TryFrom<LocatedValue<'a, R>, Error = SettingsError>,
{
    for raw in raw {
        into.push(T::try_from(LocatedValue { text, raw })?);
    }
    Ok(())
}

/// Checks that names are unique and that referenced objects are declared, in any of the files.
fn check_references(
    files: &[DeclarationFile],
    intent: &DeclaredIntent,
) -> Result<(), SettingsError> {
    let customers = names_of(files, "customer", |raw| {
        raw.customers.iter().map(|raw| &raw.name)
    })?;
    let services = names_of(files, "service", |raw| {
        raw.services.iter().map(|raw| &raw.name)
    })?;
    let zones = names_of(files, "zone", |raw| raw.zones.iter().map(|raw| &raw.name))?;
    names_of(files, "key", |raw| raw.keys.iter().map(|raw| &raw.label))?;
    names_of(files, "key digest", |raw| {
        raw.keys.iter().map(|raw| &raw.digest)
    })?;
    names_of(files, "route", |raw| raw.routes.iter().map(|raw| &raw.name))?;
    names_of(files, "upstream", |raw| {
        raw.upstreams.iter().map(|raw| &raw.name)
    })?;
    names_of(files, "agent address", |raw| {
        raw.upstreams.iter().map(|raw| &raw.agent)
    })?;
    names_of(files, "run", |raw| raw.runs.iter().map(|raw| &raw.name))?;
    for file in files {
        for key in &file.raw.keys {
            check_declared(file, &customers, "keys.customer", &key.customer)?;
        }
        for route in &file.raw.routes {
            check_declared(file, &services, "routes.service", &route.service)?;
        }
        for upstream in &file.raw.upstreams {
            check_declared(file, &services, "upstreams.service", &upstream.service)?;
            check_declared(file, &zones, "upstreams.zone", &upstream.zone)?;
        }
        for run in &file.raw.runs {
            check_declared(file, &customers, "runs.customer", &run.customer)?;
            check_declared(file, &services, "runs.service", &run.service)?;
            let engine = intent.services.iter().any(|service| {
                service.name.as_str() == run.service.get_ref()
                    && service.kind == ServiceKind::Engine
            });
            if !engine {
                let expected = "expected a service of kind `engine`, because samples have tokens";
                let offset = run.service.span().start;
                return Err(file.text.field_error_at(offset, "runs.service", expected));
            }
        }
    }
    Ok(())
}

fn names_of<'a, I>(
    files: &'a [DeclarationFile],
    kind: &'static str,
    select: fn(&'a RawIntent) -> I,
) -> Result<NameTable<'a>, SettingsError>
where
    I: Iterator<Item = &'a Spanned<String>>,
{
    let mut table = NameTable::new(kind);
    for file in files {
        for value in select(&file.raw) {
            let offset = value.span().start;
            let location = SourceLocation {
                text: &file.text,
                offset,
            };
            table.add_unique(kind, value.get_ref(), location)?;
        }
    }
    Ok(table)
}

fn check_declared(
    file: &DeclarationFile,
    table: &NameTable<'_>,
    field: &str,
    value: &Spanned<String>,
) -> Result<(), SettingsError> {
    let location = SourceLocation {
        text: &file.text,
        offset: value.span().start,
    };
    table.check_declared(field, value.get_ref(), location)
}
