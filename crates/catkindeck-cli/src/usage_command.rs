//! The subcommand `usage`.

use {
    crate::{
        arguments::UsageArguments,
        output::{CommandReport, align_columns},
    },
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        id::ObjectName,
        log::discard_logger,
        message::{USAGE_WINDOW_MS, UsageLine},
        platform::StoreClient,
        record,
        time::SystemClock,
    },
    catkindeck_control::usage::SealedUsage,
    catkindeck_store::{ClientSettings, HttpStore},
    serde::Deserialize,
    std::sync::Arc,
};

/// The maximum number of windows per zone, which is one day.
const MAX_WINDOWS: u64 = 1440;

/// The part of a zone's sealing progress that is read here; the sealer owns the record.
#[derive(Deserialize)]
struct SealProgress {
    next: u64,
}

#[record]
struct ZoneUsage {
    zone: ObjectName,
    /// The sealed windows, oldest first.
    windows: Vec<SealedUsage>,
}

/// Reads the last sealed windows of each zone and sums them up.
pub fn run(arguments: &UsageArguments) -> Result<CommandReport, ServiceError> {
    if arguments.zone.is_empty() || !(1..=MAX_WINDOWS).contains(&arguments.windows) {
        let detail = format!("expected at least one --zone, and --windows 1 to {MAX_WINDOWS}");
        return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
    }
    let customer = arguments
        .customer
        .as_deref()
        .map(ObjectName::try_from)
        .transpose()?;
    let settings = ClientSettings::new(arguments.store);
    let store = HttpStore::new(settings, Arc::new(SystemClock::new()), discard_logger());
    let mut zones = Vec::new();
    for zone in &arguments.zone {
        let zone = ObjectName::try_from(zone.as_str())?;
        zones.push(read_zone(
            &store,
            zone,
            arguments.windows,
            customer.as_ref(),
        )?);
    }
    CommandReport::success(describe_usage(&zones), &zones)
}

fn read_zone(
    store: &dyn StoreClient,
    zone: ObjectName,
    count: u64,
    customer: Option<&ObjectName>,
) -> Result<ZoneUsage, ServiceError> {
    let mut usage = ZoneUsage {
        zone,
        windows: Vec::new(),
    };
    let Some(stored) = store.read(&format!("usage/{}/progress", usage.zone))? else {
        return Ok(usage);
    };
    let progress: SealProgress = parse_stored(&stored.value)?;
    for window in progress.next.saturating_sub(count)..progress.next {
        let key = format!("usage/{}/window/{window}", usage.zone);
        // The window precedes the first sealed one or has expired.
        let Some(stored) = store.read(&key)? else {
            continue;
        };
        let mut sealed: SealedUsage = parse_stored(&stored.value)?;
        sealed
            .lines
            .retain(|line| customer.is_none() || line.customer.as_ref() == customer);
        usage.windows.push(sealed);
    }
    Ok(usage)
}

fn describe_usage(zones: &[ZoneUsage]) -> String {
    let header = ["zone", "customer", "service", "requests", "tokens"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    let mut notes = Vec::new();
    for usage in zones {
        let mut totals: SortedMap<(Option<ObjectName>, ObjectName), (u64, u64)> = SortedMap::new();
        let mut late_lines = 0;
        for sealed in &usage.windows {
            for line in &sealed.lines {
                add_line(&mut totals, line);
                late_lines += u64::from(line.window != sealed.window);
            }
        }
        rows.extend(
            totals
                .iter()
                .map(|((customer, service), (requests, tokens))| {
                    // Requests on open routes need no key and have no customer.
                    let customer = customer.as_ref().map_or("-", ObjectName::as_str);
                    vec![
                        usage.zone.to_string(),
                        customer.to_owned(),
                        service.to_string(),
                        requests.to_string(),
                        tokens.to_string(),
                    ]
                }),
        );
        notes.push(match (usage.windows.first(), usage.windows.last()) {
            (Some(first), Some(last)) => format!(
                "{}: {} sealed windows of {} s (numbers {} to {}), with {late_lines} late lines for \
                 earlier windows",
                usage.zone,
                usage.windows.len(),
                USAGE_WINDOW_MS / 1000,
                first.window,
                last.window
            ),
            _ => format!("{}: no sealed windows", usage.zone),
        });
    }
    format!("{}\n\n{}", align_columns(&rows), notes.join("\n"))
}

fn add_line(
    totals: &mut SortedMap<(Option<ObjectName>, ObjectName), (u64, u64)>,
    line: &UsageLine,
) {
    let key = (line.customer.clone(), line.service.clone());
    let (requests, tokens) = totals.get_or_insert_with(key, || (0, 0));
    *requests = requests.saturating_add(line.requests);
    *tokens = tokens.saturating_add(line.tokens);
}

fn parse_stored<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, ServiceError> {
    serde_json::from_slice(bytes).map_err(|error| {
        let detail = format!("stored usage is malformed: {error}");
        ServiceError::not_run(ErrorKind::Internal, detail)
    })
}
