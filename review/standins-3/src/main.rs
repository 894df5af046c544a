//! Stand-ins for the platform, workers and clients, and the cases that run against them.
//!
//! `standins-3 CASE PROGRAM RECORD`; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With TROUBLE=0 in the environment the disruption is left out.

mod cases;
mod http;
mod nodes;
mod store;
mod workers;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, program, record] = &arguments[..] else {
        eprintln!("usage: standins-3 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").is_ok_and(|value| value == "0");
    let setting = cases::Setting {
        program: PathBuf::from(program),
        record: PathBuf::from(record),
        trouble: !trouble,
    };
    match cases::run(case, &setting) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("cannot run: {fault}");
            ExitCode::from(2)
        }
    }
}
