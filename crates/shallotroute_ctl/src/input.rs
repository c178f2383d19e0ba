//! Reads the configuration files of operators.

use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use shallotroute_config::document::Source;

use crate::client::{Error, Result};

/// Reads the files at `paths`. For a folder, reads its `.yaml` and `.yml` files in the order of
/// their names, without nested folders.
///
/// # Errors
///
/// Returns an error if a path can't be read or if there is no file to read.
pub(crate) fn read_sources(paths: &[PathBuf]) -> Result<Vec<Source>> {
    let mut sources = Vec::new();
    for path in paths {
        match path.is_dir() {
            true => {
                for file in yaml_files(path)? {
                    sources.push(read_source(&file)?);
                }
            }
            false => sources.push(read_source(path)?),
        }
    }
    match sources.is_empty() {
        true => Err(Report::new(Error::Usage("no YAML file is given".into()))),
        false => Ok(sources),
    }
}

fn yaml_files(path: &Path) -> Result<Vec<PathBuf>> {
    let error = || Error::File(path.display().to_string());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).change_context_lazy(error)? {
        let file = entry.change_context_lazy(error)?.path();
        let extension = file.extension().and_then(|extension| extension.to_str());
        if matches!(extension, Some("yaml" | "yml")) {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn read_source(path: &Path) -> Result<Source> {
    let file = path.display().to_string();
    let error = || Error::File(file.clone());
    let text = std::fs::read_to_string(path).change_context_lazy(error)?;
    Ok(Source { file, text })
}
