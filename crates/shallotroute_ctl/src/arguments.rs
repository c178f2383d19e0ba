//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use argh::{EarlyExit, FromArgs};

/// The environment variable with the operator's key. Unlike a command-line argument, it is not
/// visible to other users of the host.
const KEY_VARIABLE: &str = "SHALLOTCTL_KEY";

/// The options with a value that are accepted before and after the command.
const COMMON_OPTIONS: [&str; 3] = ["--node", "--key", "--key-file"];

/// The option without a value that is accepted before and after the command.
const JSON_SWITCH: &str = "--json";

/// Publishes and inspects the configuration of a fleet of shallotroute nodes.
///
/// Exit codes: 0 done, 1 refused with the reason, 2 usage. The options may also stand after the
/// command.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    /// address of a node's administration listener
    #[argh(option)]
    pub(crate) node: Option<SocketAddr>,
    /// operator's key; better in --key-file or the variable SHALLOTCTL_KEY
    #[argh(option)]
    pub(crate) key: Option<String>,
    /// file with the operator's key
    #[argh(option)]
    pub(crate) key_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(Check),
    Publish(Publish),
    Status(Status),
    History(History),
    Show(Show),
    Audit(Audit),
    Dump(Dump),
    Explain(Explain),
    Site(Site),
    HashKey(HashKey),
}

/// Checks a set of objects without publishing it; without --node on this host alone.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// yaml files, or folders whose .yaml files are read
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Publishes a set of objects in place of the one in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// yaml files, or folders whose .yaml files are read
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
    /// why, for the record
    #[argh(option)]
    pub(crate) reason: String,
    /// revision that the change is based on; another newest revision is a conflict
    #[argh(option)]
    pub(crate) parent: Option<u64>,
    /// publish the objects of this revision again instead of files
    #[argh(option)]
    pub(crate) rollback: Option<u64>,
    /// identity of the publication, to repeat one whose result is unknown
    #[argh(option)]
    pub(crate) publication: Option<uuid::Uuid>,
    /// wait until the revision is in force on all live nodes
    #[argh(switch)]
    pub(crate) wait: bool,
    /// how many seconds to wait at most; 10 if absent
    #[argh(option, default = "10")]
    pub(crate) wait_seconds: u64,
}

/// Shows revisions accepted and in force by node, or the result of a publication.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// identity of a publication
    #[argh(option)]
    pub(crate) publication: Option<uuid::Uuid>,
}

/// Lists revisions, newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// only revisions that changed this object, as kind/name
    #[argh(option)]
    pub(crate) object: Option<String>,
    /// how many revisions to list; 50 if absent
    #[argh(option, default = "50")]
    pub(crate) limit: usize,
    /// hash of the record to begin at
    #[argh(option)]
    pub(crate) from: Option<String>,
}

/// Shows the objects of a revision; of the newest one without a number or a time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// number of the revision
    #[argh(positional)]
    pub(crate) revision: Option<u64>,
    /// time as 2026-12-03T20:40:00Z or in seconds since 1970: the revision accepted last by then
    #[argh(option)]
    pub(crate) at: Option<String>,
}

/// Shows the history of an object, or what is recorded of a sample.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub(crate) struct Audit {
    /// object as kind/name, or sample as trainer/step/group/index
    #[argh(positional)]
    pub(crate) target: String,
}

/// Prints the state of a node as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {}

/// Shows where a request or batch job would go now at a node on the users' platform, and why, without sending it.
///
/// --node is the node's metrics listener. Example:
/// shallotctl --node 10.0.0.1:9464 explain --host api.example --path /quotes/last --id r-1 --workspace desk
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// host that the request names
    #[argh(option)]
    pub(crate) host: String,
    /// path of the request, with a leading slash and without a query
    #[argh(option)]
    pub(crate) path: String,
    /// identity of the request or job, which decides between the services of a route
    #[argh(option)]
    pub(crate) id: String,
    /// name of the workspace whose key the request would have; never a key. Without it, the request has no key
    #[argh(option)]
    pub(crate) workspace: Option<String>,
}

/// Shows a system on the users' platform: orders, versions of servers, and each node's jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "site")]
pub(crate) struct Site {
    /// addresses of more nodes' metrics listeners, to show their jobs too
    #[argh(positional)]
    pub(crate) nodes: Vec<SocketAddr>,
}

/// Prints the hash of the key that is given, for a node's settings or a caller object.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub(crate) struct HashKey {}

/// The result of parsing a command line.
pub(crate) enum Parsed {
    Run(Box<Arguments>),
    /// The help text that was requested.
    Help(String),
    /// The explanation of a usage error.
    Usage(String),
}

impl Arguments {
    /// Parses a command line without the program's name.
    pub(crate) fn parse(arguments: &[String]) -> Parsed {
        let reordered = move_common_options_first(arguments);
        let argument_texts: Vec<&str> = reordered.iter().map(String::as_str).collect();
        match Self::from_args(&["shallotctl"], &argument_texts) {
            Ok(parsed) => Parsed::Run(Box::new(parsed)),
            Err(EarlyExit { output, status }) => match status {
                Ok(()) => Parsed::Help(output),
                Err(()) => Parsed::Usage(output),
            },
        }
    }

    /// Returns the operator's key from the option, the file or the environment, in this order.
    /// Returns `None` if none of them is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the key file can't be read.
    pub(crate) fn key(&self) -> std::io::Result<Option<String>> {
        if let Some(key) = &self.key {
            return Ok(Some(key.clone()));
        }
        if let Some(file) = &self.key_file {
            return std::fs::read_to_string(file).map(|text| Some(text.trim().to_owned()));
        }
        Ok(std::env::var(KEY_VARIABLE).ok())
    }
}

/// Moves the common options before the command, because `argh` accepts an option only at the
/// command level that declares it.
fn move_common_options_first(arguments: &[String]) -> Vec<String> {
    let mut common = Vec::new();
    let mut rest = Vec::new();
    let mut remaining = arguments.iter();
    while let Some(argument) = remaining.next() {
        if argument == "--" {
            rest.push(argument.clone());
            rest.extend(remaining.by_ref().cloned());
        } else if argument == JSON_SWITCH {
            common.push(argument.clone());
        } else if COMMON_OPTIONS.contains(&argument.as_str()) {
            common.push(argument.clone());
            common.extend(remaining.next().cloned());
        } else {
            rest.push(argument.clone());
        }
    }
    common.append(&mut rest);
    common
}
