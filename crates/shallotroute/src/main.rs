//! The node program.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use shallotroute_settings::Settings;

/// A node of shallotroute, the rollout service between callers and backend servers.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// the settings file, in YAML
    #[argh(option)]
    settings: PathBuf,

    /// read the settings, print every error with its line, and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match Settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::FAILURE;
        }
    };
    if arguments.check {
        eprintln!("{}: no errors", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shallotroute: {error:?}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> shallotroute_node::error::Result<()> {
    shallotroute_node::log::init(&settings.log)?;
    shallotroute_node::run(settings).await
}
