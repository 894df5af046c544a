//! Tests of the rate limit on log lines.

use {
    catkindeck::{
        Moment, SortedMap,
        log::{LimiterDrain, LineDecision, LineLimiter, LogEvent},
        log_event,
    },
    slog::{Drain, KV, Key, Level, Logger, OwnedKVList, Record, Serializer, o},
    std::{
        fmt,
        sync::{Arc, Mutex},
    },
};

const FREQUENT_EVENT: LogEvent = LogEvent {
    number: 9_000,
    name: "frequent",
    level: Level::Info,
    text: "happens often",
};

const RARE_EVENT: LogEvent = LogEvent {
    number: 9_001,
    name: "rare",
    level: Level::Info,
    text: "happens once",
};

/// Logs `lines` of one event each second for `seconds`. Returns the number of lines written in each
/// second and the number reported as suppressed.
fn simulate(seconds: u64, lines: u64) -> (Vec<u64>, u64) {
    let mut limiter = LineLimiter::default();
    let mut reported = 0;
    let mut written = Vec::new();
    for second in 0..seconds {
        let mut count = 0;
        for line in 0..lines {
            let now = Moment(second * 1_000 + line * 1_000 / lines);
            if let LineDecision::Write { suppressed } = limiter.decide(now, 1) {
                count += 1;
                reported += suppressed;
            }
        }
        written.push(count);
    }
    (written, reported)
}

/// Guards against logs that grow with the load: 20,000 lines per second must be rate-limited.
#[test]
fn sustained_burst_is_rate_limited() {
    let (written, reported) = simulate(20, 20_000);
    assert!(written[0] <= 2_400, "{written:?}");
    assert!(
        written[2..].iter().all(|count| *count <= 401),
        "{written:?}"
    );
    let suppressed = 20 * 20_000 - written.iter().sum::<u64>();
    // Lines suppressed after the last written line are reported with the next one.
    assert!(
        reported <= suppressed && suppressed - reported < 100,
        "{reported} of {suppressed}"
    );
}

/// Guards against a limit so low that it suppresses lines under normal load, for example a burst of
/// one line per item of a step.
#[test]
fn normal_load_is_not_suppressed() {
    let (written, reported) = simulate(60, 300);
    assert!(written.iter().all(|count| *count == 300));
    let (step, step_reported) = simulate(1, 2_000);
    assert_eq!((step[0], reported, step_reported), (2_000, 0, 0));
}

#[derive(Clone, Default)]
struct LineCollector(Arc<Mutex<Vec<SortedMap<String, String>>>>);

struct FieldCollector(SortedMap<String, String>);

impl Serializer for FieldCollector {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Drain for LineCollector {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, line: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut fields = FieldCollector(SortedMap::new());
        line.kv()
            .serialize(line, &mut fields)
            .expect("fields are collected");
        self.0.lock().expect("no test panicked").push(fields.0);
        Ok(())
    }
}

/// Guards against one event suppressing the lines of others, and against unreported suppression.
#[test]
fn suppressed_lines_are_reported_and_other_events_are_unaffected() {
    let collector = LineCollector::default();
    let drain = LimiterDrain::new(collector.clone()).fuse();
    let logger = Logger::root(drain, o!());
    for _ in 0..10_000 {
        log_event!(logger, FREQUENT_EVENT; "request" => "r-1");
    }
    log_event!(logger, RARE_EVENT);
    std::thread::sleep(std::time::Duration::from_millis(20));
    log_event!(logger, FREQUENT_EVENT; "request" => "r-2");
    let lines = collector.0.lock().expect("no test panicked");
    let lines_of = |name: &str| {
        let matches_name = |fields: &&SortedMap<String, String>| {
            fields.get(&"name".to_owned()).map(String::as_str) == Some(name)
        };
        lines
            .iter()
            .filter(matches_name)
            .cloned()
            .collect::<Vec<_>>()
    };
    assert_eq!(lines_of("rare").len(), 1);
    let written = lines_of("frequent").len() as u64;
    assert!(written < 10_000);
    let reports = lines_of("lines_left_out");
    let reported: u64 = reports
        .iter()
        .map(|fields| {
            fields
                .get(&"lines".to_owned())
                .expect("the report holds a count")
        })
        .map(|count| count.parse::<u64>().expect("the count is a number"))
        .sum();
    assert_eq!(written + reported, 10_001);
    assert_eq!(
        reports[0].get(&"of".to_owned()).map(String::as_str),
        Some("9000")
    );
}
