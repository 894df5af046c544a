//! Command that runs the simulations and prints their results.

use {argh::FromArgs, catkindeck_bench::run, std::process::ExitCode};

/// Simulates the policies in virtual time and compares them with baselines and targets.
///
/// Exits with code 1 if a target that is listed as met is missed.
#[derive(FromArgs)]
struct BenchOptions {
    /// the random seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let options: BenchOptions = argh::from_env();
    let report = run(options.seed);
    if options.json {
        match serde_json::to_string_pretty(&report) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("catkindeck-bench: cannot serialize the report: {error}");
                return ExitCode::FAILURE;
            }
        }
    } else {
        print!("{}", report.to_text());
    }
    match report.failures().is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
