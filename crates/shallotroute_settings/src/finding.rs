//! What a check finds wrong in a settings file.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use derive_more::Display;

/// One fault in a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{}:{line}: {field}: {message}", file.display())]
pub struct Finding {
    /// The file.
    pub file: PathBuf,
    /// The line, counted from 1; 0 when the fault is in no line.
    pub line: usize,
    /// The field as a dotted path.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// Makes a finding.
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

/// All faults in a settings file, by line.
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
