//! Reading of operators' files.

use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use shallotroute_config::document::Source;

use crate::client::{Error, Result};

/// Reads files, and the `.yaml` and `.yml` files of folders in the order of their names.
///
/// # Errors
///
/// A path can't be read, or there is none.
pub(crate) fn read(paths: &[PathBuf]) -> Result<Vec<Source>> {
    let mut sources = Vec::new();
    for path in paths {
        match path.is_dir() {
            true => {
                for file in folder(path)? {
                    sources.push(source(&file)?);
                }
            }
            false => sources.push(source(path)?),
        }
    }
    match sources.is_empty() {
        true => Err(Report::new(Error::Usage("no YAML file is given".into()))),
        false => Ok(sources),
    }
}

fn folder(path: &Path) -> Result<Vec<PathBuf>> {
    let failed = || Error::File(path.display().to_string());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).change_context_lazy(failed)? {
        let file = entry.change_context_lazy(failed)?.path();
        let extension = file.extension().and_then(|extension| extension.to_str());
        if matches!(extension, Some("yaml" | "yml")) {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn source(path: &Path) -> Result<Source> {
    let file = path.display().to_string();
    let failed = || Error::File(file.clone());
    let text = std::fs::read_to_string(path).change_context_lazy(failed)?;
    Ok(Source { file, text })
}
