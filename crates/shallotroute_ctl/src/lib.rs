//! The program `shallotctl` for operators and auditors. Start with [`run`].

use std::io::Write;

mod arguments;
mod client;
mod command;
mod input;
mod output;
mod site;

use arguments::{Arguments, Parsed};

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// What was asked for is done.
    Done,
    /// It was refused or could not be done; the reason was printed.
    Refused,
    /// The command line is wrong.
    Usage,
}

impl Exit {
    /// Returns the code for the operating system.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
        }
    }
}

/// Runs a command line without the program's name; results go to `out`, reasons to `err`.
///
/// # Errors
///
/// `out` or `err` can't be written.
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
