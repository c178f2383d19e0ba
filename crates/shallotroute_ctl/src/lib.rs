//! The command-line program `shallotctl` for operators and auditors. The entry point is [`run`].

use std::io::Write;

mod arguments;
mod client;
mod command;
mod explain;
mod input;
mod output;
mod site;

use arguments::{Arguments, Parsed};

/// The result that the program's exit code reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command was refused or failed, and the reason was printed.
    Refused,
    /// The command line is wrong.
    Usage,
}

impl Exit {
    /// Returns the exit code: 0, 1 or 2.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
        }
    }
}

/// Runs a command line, given without the program's name. Writes the result to `out` and the
/// reason of a failure to `err`.
///
/// # Errors
///
/// Returns an error if `out` or `err` can't be written.
pub async fn run(
    arguments: &[String],
    out: &mut (dyn Write + Send),
    err: &mut (dyn Write + Send),
) -> std::io::Result<Exit> {
    let arguments = match Arguments::parse(arguments) {
        Parsed::Run(arguments) => arguments,
        Parsed::Help(text) => {
            write!(out, "{text}")?;
            return Ok(Exit::Done);
        }
        Parsed::Usage(text) => {
            writeln!(err, "{}", text.trim_end())?;
            return Ok(Exit::Usage);
        }
    };
    let json = arguments.json;
    match command::execute(*arguments).await {
        Ok(report) => {
            match json {
                true => writeln!(out, "{}", report.value)?,
                false => write!(out, "{}", report.text)?,
            }
            if let Some(reason) = &report.refusal {
                writeln!(err, "refused: {reason}")?;
                return Ok(Exit::Refused);
            }
            Ok(Exit::Done)
        }
        Err(report) => {
            let error = report.current_context();
            if json {
                let value = serde_json::json!({"error": {"message": error.to_string()}});
                writeln!(out, "{value}")?;
            }
            writeln!(err, "refused: {error}")?;
            Ok(error.exit())
        }
    }
}
