//! The agent daemon, which runs beside one upstream.

use {
    argh::FromArgs,
    catkindeck::{ServiceKernel, log::build_logger},
    catkindeck_agent::{AgentProcess, AgentSettings},
    catkindeck_health::ShutdownCause,
    std::{path::PathBuf, process::ExitCode},
};

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// The exit code after a second signal ended the drain.
const EXIT_FORCED: u8 = 3;

/// Runs beside one upstream; all requests to the upstream pass through this process.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/catkindeck/agent.toml",
    example = "{command_name} --settings agent.toml --check",
    error_code(1, "the agent could not start"),
    error_code(2, "the settings are invalid"),
    error_code(3, "a second signal stopped the agent with requests in flight")
)]
struct AgentCommand {
    /// the settings file in TOML
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let command: AgentCommand = argh::from_env();
    let settings = match AgentSettings::read(&command.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if command.check {
        println!("{}: settings are valid", command.settings.display());
        return ExitCode::SUCCESS;
    }
    let logger = build_logger(settings.process.log_format, settings.process.log_level);
    let outcome = AgentProcess::start(settings, &ServiceKernel::new(), logger.clone())
        .and_then(|process| process.run(&logger));
    match outcome {
        Ok(ShutdownCause::Drained) => ExitCode::SUCCESS,
        Ok(ShutdownCause::Forced) => ExitCode::from(EXIT_FORCED),
        Err(error) => {
            eprintln!("cannot start the agent: {error}");
            ExitCode::FAILURE
        }
    }
}
