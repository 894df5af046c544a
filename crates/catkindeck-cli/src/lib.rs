//! The operators' command line, load generator and burn report.
//!
//! The command is stateless: it calls the admin addresses of entries, reads declarations and
//! settings, and stores only the samples of the burn report, in a file that the operator names.

mod admin_client;
mod arguments;
pub mod burn;
mod certificate_command;
mod check_command;
mod confirm;
mod files;
mod intent_command;
mod key_command;
pub mod load;
mod output;
mod queue_command;
mod usage_command;

use {
    argh::FromArgs,
    arguments::{CommandArguments, Subcommand, hoist_global_options},
    catkindeck::ErrorKind,
    output::{CommandContext, write_line},
    std::io,
};

/// Runs the command with the given arguments, the program name first, and returns the exit code.
///
/// Exit codes follow the table in `docs/errors.md`; zero means success.
pub fn run(arguments: &[String]) -> u8 {
    let arguments = hoist_global_options(arguments);
    let parser_arguments: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let parsed = match CommandArguments::from_args(&["catkindeck"], &parser_arguments) {
        Ok(parsed) => parsed,
        Err(exit) if exit.status.is_ok() => {
            write_line(&mut io::stdout(), exit.output.trim_end());
            return 0;
        }
        Err(exit) => {
            write_line(&mut io::stderr(), exit.output.trim_end());
            return ErrorKind::BadRequest.response().exit_code;
        }
    };
    let context = CommandContext::new(&parsed);
    let outcome = match parsed.subcommand {
        Subcommand::Plan(arguments) => intent_command::plan(&context, &arguments),
        Subcommand::Apply(arguments) => intent_command::apply(&context, &arguments),
        Subcommand::Status(arguments) => intent_command::status(&context, &arguments),
        Subcommand::Zone(arguments) => intent_command::zone(&context, &arguments),
        Subcommand::Keys(arguments) => key_command::run(&context, arguments),
        Subcommand::CheckConfig(arguments) => check_command::run(&arguments),
        Subcommand::Usage(arguments) => usage_command::run(&arguments),
        Subcommand::Queue(arguments) => queue_command::run(&arguments),
        Subcommand::Burn(arguments) => burn::run(&arguments),
        Subcommand::Certs(arguments) => certificate_command::run(&arguments),
        Subcommand::Load(arguments) => load::run(&arguments),
    };
    context.write_outcome(outcome)
}
