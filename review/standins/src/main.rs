//! Cases of the review. Each starts the system's own processes with the command of the deploy file, and stand-ins for
//! the platform, its store, workers and clients as threads of this process.
//!
//! `review-case CASE FOLDER` writes `record.txt` to the folder and exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cancel;
mod cold;
mod drain;
mod http;
mod json;
mod kept;
mod keys;
mod node;
mod store;
mod worker;

use std::{
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    sync::Mutex,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const PROGRAM: &str = "target/release/catkindeck-node";

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// What a case found.
pub enum Verdict {
    Broken(String),
    Held(String),
    /// The case could not run as described.
    Failed(String),
}

pub struct Case {
    pub record: std::sync::Arc<Record>,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Waits until something holds, for 20 s at most.
pub fn wait_for(mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, target] = &arguments[..] else {
        eprintln!("usage: review-case CASE FOLDER");
        std::process::exit(2);
    };
    let file =
        File::create(Path::new(target).join("record.txt")).expect("the record can be written");
    let record = std::sync::Arc::new(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
    let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder can be created");
    let case = Case {
        record: std::sync::Arc::clone(&record),
        folder: folder.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    // The runs of a case are bounded; this is the last resort. Otherwise the processes end with their
    // owner's `Drop`, or with the case.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(112));
        node::end_all();
        std::process::exit(2);
    });
    let verdict = match name.as_str() {
        "cold" => cold::run(&case),
        "drain" => drain::run(&case),
        "cancel" => cancel::run(&case),
        "kept" => kept::run(&case),
        "keys" => keys::run(&case),
        _ => Verdict::Failed(format!("unknown case {name}")),
    };
    node::end_all();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Failed(text) => (2, format!("could not run: {text}")),
    };
    record.say(&text);
    std::process::exit(code);
}
