//! Tests that the pages in docs/ agree with the code.

use {
    catkindeck::ErrorKind,
    std::{
        collections::BTreeSet,
        fs,
        path::{Path, PathBuf},
    },
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    let path = root().join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the cells of a table row, without the backticks around code.
fn cells(line: &str) -> Option<Vec<String>> {
    let row = line.trim().strip_prefix('|')?.strip_suffix('|')?;
    let cell = |cell: &str| cell.trim().trim_matches('`').to_owned();
    Some(row.split('|').map(cell).collect())
}

/// Guards against a table of errors that differs from the responses and exit codes.
#[test]
fn error_table_matches_code() {
    let page = read("docs/errors.md");
    let kinds = ErrorKind::ALL.map(|kind| {
        let answer = kind.response();
        let retryable = if answer.retryable { "yes" } else { "no" };
        [
            answer.name.to_owned(),
            answer.status.to_string(),
            answer.exit_code.to_string(),
            retryable.to_owned(),
        ]
    });
    let rows = page.lines().filter_map(cells).filter(|row| row.len() == 6);
    let rows: Vec<[String; 4]> = rows
        .skip_while(|row| row[0] != "kind")
        .skip(2)
        .map(|row| {
            [
                row[0].clone(),
                row[1].clone(),
                row[2].clone(),
                row[3].clone(),
            ]
        })
        .collect();
    assert_eq!(rows, kinds);
}

/// The part of an event that both the code and the page state.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventLine {
    number: u16,
    name: String,
    level: String,
}

/// Finds events defined as `LogEvent { number: 1, ... }` or as rows of a crate's macro,
/// `NAME = 1, "name", Level, "text";`.
fn events_in_code(source: &str) -> Vec<EventLine> {
    let after = |block: &str, field: &str| -> String {
        let start = block
            .find(field)
            .unwrap_or_else(|| panic!("no {field} in {block}"));
        let rest = &block[start + field.len()..];
        rest[..rest.find(',').unwrap()]
            .trim()
            .trim_matches('"')
            .to_owned()
    };
    let blocks = source.split("LogEvent {").skip(1).filter(|block| {
        let number = block.trim_start().strip_prefix("number:");
        number.is_some_and(|number| {
            number
                .trim_start()
                .starts_with(|c: char| c.is_ascii_digit())
        })
    });
    let mut events: Vec<EventLine> = blocks
        .map(|block| EventLine {
            number: after(block, "number:").replace('_', "").parse().unwrap(),
            name: after(block, "name:"),
            level: after(block, "Level::").to_lowercase(),
        })
        .collect();
    // A row of a macro may span several lines, but ends with a semicolon.
    for statement in source.split(';') {
        let Some((_, row)) = statement.rsplit_once(" = ") else {
            continue;
        };
        let parts: Vec<&str> = row.split(',').map(str::trim).collect();
        let (Some(Ok(number)), true) = (parts.first().map(|part| part.parse()), parts.len() >= 4)
        else {
            continue;
        };
        events.push(EventLine {
            number,
            name: parts[1].trim_matches('"').to_owned(),
            level: parts[2].to_lowercase(),
        });
    }
    events
}

fn rust_files(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Guards against events missing from the page, and entries for events that do not exist.
#[test]
fn event_list_matches_code() {
    let page = read("docs/events.md");
    // Each crate with events has its own range of numbers, given here in thousands.
    let ranges = [
        ("catkindeck", 0),
        ("catkindeck-entry", 1),
        ("catkindeck-agent", 2),
        ("catkindeck-store", 3),
        ("catkindeck-control", 4),
        ("catkindeck-wire", 5),
        ("catkindeck-health", 6),
        ("catkindeck-net", 7),
        ("catkindeck-gateway", 8),
    ];
    let mut in_code = Vec::new();
    let mut crates_with_events = BTreeSet::new();
    for entry in fs::read_dir(root().join("crates")).unwrap() {
        let directory = entry.unwrap().path();
        let name = directory.file_name().unwrap().to_str().unwrap().to_owned();
        let mut files = Vec::new();
        rust_files(&directory.join("src"), &mut files);
        for file in files {
            let events = events_in_code(&fs::read_to_string(&file).unwrap());
            if events.is_empty() {
                continue;
            }
            assert_eq!(file.file_name().unwrap(), "events.rs", "{}", file.display());
            let thousands = ranges.iter().find(|(other, _)| *other == name);
            let thousands = thousands.unwrap_or_else(|| panic!("{name} has no range")).1;
            assert!(
                events.iter().all(|event| event.number / 1000 == thousands),
                "{name}"
            );
            crates_with_events.insert(name.clone());
            in_code.extend(events);
        }
    }
    let rows = page
        .lines()
        .filter_map(cells)
        .filter(|row| row[0].parse::<u16>().is_ok());
    let mut on_page: Vec<EventLine> = rows
        .map(|row| {
            assert!(
                row.len() == 5 && row.iter().all(|cell| !cell.is_empty()),
                "{row:?}"
            );
            EventLine {
                number: row[0].parse().unwrap(),
                name: row[1].clone(),
                level: row[2].clone(),
            }
        })
        .collect();
    in_code.sort();
    on_page.sort();
    assert!(crates_with_events.len() >= 5, "{crates_with_events:?}");
    assert_eq!(on_page, in_code);
    let numbers: BTreeSet<u16> = in_code.iter().map(|event| event.number).collect();
    assert_eq!(numbers.len(), in_code.len(), "a number is used twice");
}

/// Returns the public fields of a struct by their names in TOML.
fn fields_in_code(source: &str, name: &str) -> Vec<String> {
    let start = source
        .find(&format!("pub struct {name} {{"))
        .unwrap_or_else(|| panic!("{name}"));
    let body = &source[start..];
    let body = &body[..body.find("\n}").unwrap()];
    let mut renamed = None;
    let mut fields = Vec::new();
    for line in body.lines().map(str::trim) {
        if let Some((_, rest)) = line.split_once("rename = \"") {
            renamed = rest.split('"').next().map(str::to_owned);
        }
        if let Some((field, _)) = line
            .strip_prefix("pub ")
            .and_then(|line| line.split_once(':'))
        {
            fields.push(renamed.take().unwrap_or_else(|| field.to_owned()));
        }
    }
    fields
}

/// Returns the rows of the table below a heading.
fn rows_below(page: &str, heading: &str) -> Vec<Vec<String>> {
    let lines = page
        .lines()
        .skip_while(|line| line.trim_start_matches('#').trim() != heading);
    let section = lines.skip(1).take_while(|line| !line.starts_with('#'));
    section.filter_map(cells).skip(2).collect()
}

/// The settings types: file, type name, and heading of the table on the page.
const SETTINGS: &str = "
crates/catkindeck-entry/src/settings.rs RawEntry Entry
crates/catkindeck-entry/src/settings.rs RawPlatform Platform
crates/catkindeck-entry/src/settings.rs RawPeer Entry peers
crates/catkindeck-entry/src/settings.rs RawLimits Entry limits
crates/catkindeck-entry/src/settings.rs RawTimeouts Entry timeouts
crates/catkindeck-agent/src/settings.rs RawAgent Agent
crates/catkindeck-agent/src/settings.rs RawUpstream Agent upstream
crates/catkindeck-agent/src/settings.rs RawPeers Agent peers
crates/catkindeck-agent/src/settings.rs RawTimeouts Agent timeouts
crates/catkindeck-agent/src/settings.rs RawLimits Agent limits
crates/catkindeck-store/src/settings.rs RawClient Platform client
crates/catkindeck/src/process.rs RawProcess Every process
crates/catkindeck/src/process.rs RawLog Log
crates/catkindeck/src/process.rs RawTls TLS
crates/catkindeck-control/src/intent/raw.rs RawCustomer Customers
crates/catkindeck-control/src/intent/raw.rs RawKey Keys
crates/catkindeck-control/src/intent/raw.rs RawService Services
crates/catkindeck-control/src/intent/raw.rs RawRoute Routes
crates/catkindeck-control/src/intent/raw.rs RawZone Zones
crates/catkindeck-control/src/intent/raw.rs RawUpstream Upstreams
crates/catkindeck-control/src/intent/raw.rs RawRun Runs
crates/catkindeck-cli/src/burn/objective.rs RawObjectives Objectives
crates/catkindeck-cli/src/burn/objective.rs RawWindow Windows
crates/catkindeck-cli/src/burn/objective.rs RawObjective Objective
crates/catkindeck-gateway/src/settings.rs SchedulingSettings Scheduling of a node
crates/catkindeck-cli/src/load/profile.rs RawLoad Load profiles
crates/catkindeck-cli/src/load/profile.rs RawCustomerLoad Load customers
";

/// Guards against settings missing from the page, and entries for settings that do not exist.
#[test]
fn settings_page_lists_fields_of_code() {
    let page = read("docs/settings.md");
    for table in SETTINGS.trim().lines() {
        let mut words = table.splitn(3, ' ');
        let [file, name, heading] = [(); 3].map(|()| words.next().unwrap());
        let rows = rows_below(&page, heading);
        let listed: Vec<&str> = rows.iter().map(|row| row[0].as_str()).collect();
        assert_eq!(
            listed,
            fields_in_code(&read(file), name),
            "{file}, {name}, `{heading}`"
        );
        assert!(
            rows.iter().all(|row| row.len() == 5 && !row[4].is_empty()),
            "{heading}"
        );
    }
}

/// Guards against defaults on the page that differ from those in the code.
#[test]
fn settings_page_states_defaults_of_code() {
    let page = read("docs/settings.md");
    let defaults = [
        (
            "Entry limits",
            format!("{:?}", catkindeck_entry::settings::RawLimits::default()),
        ),
        (
            "Entry timeouts",
            format!("{:?}", catkindeck_entry::settings::RawTimeouts::default()),
        ),
        (
            "Agent limits",
            format!("{:?}", catkindeck_agent::settings::RawLimits::default()),
        ),
        (
            "Agent timeouts",
            format!("{:?}", catkindeck_agent::settings::RawTimeouts::default()),
        ),
        (
            "Log",
            format!("{:?}", catkindeck::process::RawLog::default()),
        ),
    ];
    for (heading, code) in defaults {
        let (_, fields) = code.split_once('{').unwrap();
        let fields = fields.trim_end_matches('}').split(',').map(|field| {
            let (name, value) = field.split_once(':').unwrap();
            [
                name.trim().to_owned(),
                value.trim().trim_matches('"').to_owned(),
            ]
        });
        let fields: Vec<[String; 2]> = fields.collect();
        let rows = rows_below(&page, heading);
        let rows: Vec<[String; 2]> = rows
            .iter()
            .map(|row| [row[0].clone(), row[2].clone()])
            .collect();
        assert_eq!(rows, fields, "{heading}");
    }
}
