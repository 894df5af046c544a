//! The operators' command `catkindeck`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    ExitCode::from(catkindeck_cli::run(&arguments))
}
