//! The volume of logs under load.

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

const FREQUENT: LogEvent = LogEvent {
    number: 9_000,
    name: "frequent",
    level: Level::Info,
    text: "happens often",
};

const RARE: LogEvent = LogEvent {
    number: 9_001,
    name: "rare",
    level: Level::Info,
    text: "happens once",
};

/// Plays `seconds` with `lines` of one event each second and returns what was written each second,
/// and what the lines said to have been left out.
fn play(seconds: u64, lines: u64) -> (Vec<u64>, u64) {
    let mut budget = LineLimiter::default();
    let mut told = 0;
    let mut written = Vec::new();
    for second in 0..seconds {
        let mut count = 0;
        for line in 0..lines {
            let now = Moment(second * 1_000 + line * 1_000 / lines);
            if let LineDecision::Write { left_out } = budget.decide(now, 1) {
                count += 1;
                told += left_out;
            }
        }
        written.push(count);
    }
    (written, told)
}

/// Guards against logs that grow with the load: a storm of 20,000 lines a second is bounded.
#[test]
fn a_storm_is_bounded() {
    let (written, told) = play(20, 20_000);
    assert!(written[0] <= 2_400, "{written:?}");
    assert!(
        written[2..].iter().all(|count| *count <= 401),
        "{written:?}"
    );
    let left_out = 20 * 20_000 - written.iter().sum::<u64>();
    // The lines after the last one that was written are told with the next.
    assert!(
        told <= left_out && left_out - told < 100,
        "{told} of {left_out}"
    );
}

/// Guards against a budget that touches usual load, such as all items of a step at once.
#[test]
fn usual_load_is_written_whole() {
    let (written, told) = play(60, 300);
    assert!(written.iter().all(|count| *count == 300));
    let (step, told_of_step) = play(1, 2_000);
    assert_eq!((step[0], told, told_of_step), (2_000, 0, 0));
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

/// Guards against an event that silences others, and against lines that are lost without a word.
#[test]
fn what_is_left_out_is_told_and_other_events_go_on() {
    let collector = LineCollector::default();
    let drain = LimiterDrain::new(collector.clone()).fuse();
    let logger = Logger::root(drain, o!());
    for _ in 0..10_000 {
        log_event!(logger, FREQUENT; "request" => "r-1");
    }
    log_event!(logger, RARE);
    std::thread::sleep(std::time::Duration::from_millis(20));
    log_event!(logger, FREQUENT; "request" => "r-2");
    let lines = collector.0.lock().expect("no test panicked");
    let named = |name: &str| {
        let of_name = |fields: &&SortedMap<String, String>| {
            fields.get(&"name".to_owned()).map(String::as_str) == Some(name)
        };
        lines.iter().filter(of_name).cloned().collect::<Vec<_>>()
    };
    assert_eq!(named("rare").len(), 1);
    let written = named("frequent").len() as u64;
    assert!(written < 10_000);
    let notes = named("lines_left_out");
    let told: u64 = notes
        .iter()
        .map(|fields| fields.get(&"lines".to_owned()).expect("the count is told"))
        .map(|count| count.parse::<u64>().expect("the count is a number"))
        .sum();
    assert_eq!(written + told, 10_001);
    assert_eq!(
        notes[0].get(&"of".to_owned()).map(String::as_str),
        Some("9000")
    );
}
