//! Output of subcommands as text and as JSON.

use {
    crate::arguments::CommandArguments,
    catkindeck::{ErrorKind, ServiceError},
    serde::Serialize,
    serde_json::{Value, json},
    std::{
        io::{self, Write},
        path::PathBuf,
    },
};

/// The result of a subcommand.
#[derive(Debug, Clone)]
pub struct CommandReport {
    /// The text output.
    pub text: String,
    /// The JSON output for `--json`.
    pub content: Value,
    /// The error kind that determines the exit code, or `None` for success.
    pub failure: Option<ErrorKind>,
}

impl CommandReport {
    /// Creates the report of a successful command.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the content cannot be encoded as JSON.
    pub fn success<T: Serialize>(text: String, content: &T) -> Result<Self, ServiceError> {
        let content = serde_json::to_value(content).map_err(|error| {
            ServiceError::unknown(
                ErrorKind::Internal,
                format!("cannot encode the JSON output: {error}"),
            )
        })?;
        Ok(Self {
            text,
            content,
            failure: None,
        })
    }
}

/// The options that apply to all subcommands.
pub struct CommandContext {
    /// Whether the output is JSON.
    pub json: bool,
    /// The admin URLs of entries, tried in order.
    pub admin: Vec<String>,
    /// The file with the operator key.
    pub operator_key_file: Option<PathBuf>,
}

impl CommandContext {
    /// Takes the global options from the arguments or else from the environment.
    pub fn new(arguments: &CommandArguments) -> Self {
        let admin = arguments
            .admin
            .clone()
            .or_else(|| std::env::var("CATKINDECK_ADMIN").ok())
            .unwrap_or_else(|| "http://127.0.0.1:7391".to_owned());
        let from_environment =
            || std::env::var_os("CATKINDECK_OPERATOR_KEY_FILE").map(PathBuf::from);
        Self {
            json: arguments.json,
            admin: admin
                .split(',')
                .map(|address| admin_url(address.trim().trim_end_matches('/')))
                .collect(),
            operator_key_file: arguments
                .operator_key_file
                .clone()
                .or_else(from_environment),
        }
    }

    /// Writes a report or an error and returns the exit code.
    pub fn write_outcome(&self, outcome: Result<CommandReport, ServiceError>) -> u8 {
        match outcome {
            Ok(report) => {
                if self.json {
                    write_line(&mut io::stdout(), &report.content.to_string());
                } else {
                    write_line(&mut io::stdout(), report.text.trim_end());
                }
                report.failure.map_or(0, |kind| kind.response().exit_code)
            }
            Err(error) => {
                if self.json {
                    let content = json!({"error": {
                        "kind": error.kind,
                        "execution": error.execution,
                        "message": error.detail,
                    }});
                    write_line(&mut io::stdout(), &content.to_string());
                } else {
                    write_line(&mut io::stderr(), &format!("catkindeck: {error}"));
                }
                error.kind.response().exit_code
            }
        }
    }
}

/// Writes a line; ignores errors, such as those of a pipe that a pager closed early.
pub fn write_line(output: &mut dyn Write, line: &str) {
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

/// Formats rows as columns of equal width.
pub fn align_columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width_of = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width_of).collect();
    let lines = rows.iter().map(|row| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        cells.join("  ").trim_end().to_owned()
    });
    lines.collect::<Vec<String>>().join("\n")
}

/// Adds the scheme to an address without one, such as `127.0.0.1:7391`.
fn admin_url(address: &str) -> String {
    match address.contains("://") {
        true => address.to_owned(),
        false => format!("http://{address}"),
    }
}
