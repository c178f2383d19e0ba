//! Faults that validation finds in a settings file.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use derive_more::Display;

/// A fault in a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{}:{line}: {field}: {message}", file.display())]
pub struct Finding {
    /// The path of the settings file.
    pub file: PathBuf,
    /// The line number, counted from 1; 0 for a fault of the whole file.
    pub line: usize,
    /// The dotted path of the field, such as `operators.0.name`; empty for the whole file.
    pub field: String,
    /// The description of the fault, which follows the name of the field.
    pub message: String,
}

impl Finding {
    /// Creates a finding in `file`.
    pub fn new(
        file: &Path,
        line: usize,
        field: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        Self {
            file: file.to_owned(),
            line,
            field: field.into(),
            message: message.into(),
        }
    }
}

/// All faults of a settings file, in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            finding.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
