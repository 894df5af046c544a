//! The cases of the review that start processes. See `review/REPORT-2.md`.
//!
//! Usage: deck CASE RECORD. With `TROUBLE=0` in the environment a case goes without its disruption. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run.

mod deployment;
mod http;
mod json;
mod late_registration;
mod no_leader;
mod node;
mod record;
mod repeated_answer;
mod retained_batches;
mod store;
mod worker;

use std::{env, panic, process, sync::Arc, thread, time::Duration};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
}

/// The time after which a case counts as one that couldn't run; a script may take 120 s.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: deck CASE RECORD");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(record::Record::create(path));
    thread::spawn(move || {
        thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        node::end_all();
        process::exit(2);
    });
    let run: fn(bool, &Arc<record::Record>) -> Verdict = match case.as_str() {
        "late-registration" => late_registration::run,
        "no-leader" => no_leader::run,
        "retained-batches" => retained_batches::run,
        "repeated-answer" => repeated_answer::run,
        _ => {
            eprintln!("unknown case {case}");
            process::exit(2);
        }
    };
    let verdict = panic::catch_unwind(|| run(has_trouble, &record));
    let code = match verdict {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            0
        }
        Ok(Verdict::Broken(detail)) => {
            record.line(&format!("verdict: the rule was broken: {detail}"));
            println!("broken: {detail}");
            1
        }
        Err(_) => {
            record.line("verdict: the case couldn't run");
            2
        }
    };
    process::exit(code);
}
