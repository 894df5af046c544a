//! Command that prints the measurements.

use {argh::FromArgs, catkindeck_bench::run, std::process::ExitCode};

/// Measures the decision logic in virtual time and compares it with baselines and targets.
///
/// Exits with 1 if a target that is listed as met is missed.
#[derive(FromArgs)]
struct BenchOptions {
    /// the seed of all load models (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// prints JSON instead of a table
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
                eprintln!("catkindeck-bench: the report cannot be encoded: {error}");
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
