//! The node program. Runs a node on the users' platform if the settings have a section `site`, and
//! otherwise one with the product's own interfaces.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use shallotroute_settings::{
    Settings,
    site::{NodeSettings, SiteSettings},
};

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
    let node_settings = match NodeSettings::read(&arguments.settings) {
        Ok(node_settings) => node_settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::FAILURE;
        }
    };
    if arguments.check {
        eprintln!("{}: no errors", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    let result = match node_settings {
        NodeSettings::Node(settings) => {
            run_node(*settings).map_err(|error| eprintln!("shallotroute: {error:?}"))
        }
        NodeSettings::Site(site) => run_site(*site, arguments.settings)
            .map_err(|error| eprintln!("shallotroute: {error:?}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(()) => ExitCode::FAILURE,
    }
}

#[tokio::main]
async fn run_node(settings: Settings) -> shallotroute_node::error::Result<()> {
    shallotroute_node::log::init(&settings.log)?;
    shallotroute_node::run(settings).await
}

// A host on the platform has only a fraction of a core; more threads would only add context
// switches.
#[tokio::main(flavor = "current_thread")]
async fn run_site(site: SiteSettings, file: PathBuf) -> shallotroute_resident::error::Result<()> {
    shallotroute_resident::run(site, file).await
}
