//! A node's settings in YAML and their check. Start with [`Settings::parse`], and for a
//! node on the users' platform with [`site::Site`].

mod check;
pub mod finding;
mod lines;
mod reader;
pub mod site;

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, path::PathBuf};

use shallotroute_types::name::Name;

use crate::finding::{Finding, Findings};

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Findings>;

/// The settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Who and where the node is.
    pub node: Node,
    /// Where it listens.
    pub listen: Listen,
    /// The other nodes.
    pub peers: Peers,
    /// The platform's services.
    pub platform: Platform,
    /// Who may use the administration API.
    pub operators: Vec<Operator>,
    /// The folder for bulk data; none on most hosts.
    pub data_folder: Option<PathBuf>,
    /// What is logged.
    pub log: Log,
}

/// Who and where a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// The node's name, unique in the fleet.
    pub id: Name,
    /// Its region.
    pub region: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// Where a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP for callers and trainers.
    pub callers: SocketAddr,
    /// HTTP for operators, metrics and the balancer's readiness check.
    pub admin: SocketAddr,
    /// UDP and TCP for other nodes.
    pub peers: SocketAddr,
}

/// How a node finds other nodes.
#[derive(Clone, PartialEq, Eq)]
pub struct Peers {
    /// Peer addresses of some other nodes; the rest is learned from them.
    pub seeds: Vec<SocketAddr>,
    /// The key of the checksum of heartbeat datagrams, the same on all nodes.
    pub key: [u8; 32],
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Peers")
            .field("seeds", &self.seeds)
            .finish_non_exhaustive()
    }
}

/// The platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The key-value service.
    pub store: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
}

/// An operator who may use the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The operator's name.
    pub name: Name,
    /// BLAKE3 hash of the operator's key, 64 lower-case hexadecimal digits.
    pub key_hash: String,
}

/// What is logged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// The level of modules without one of their own.
    pub level: Level,
    /// Levels by crate, without the prefix `shallotroute_`.
    pub modules: BTreeMap<String, Level>,
}

/// A log level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nothing.
    Off,
    /// Faults that need an operator.
    Error,
    /// Faults that the node handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Single requests.
    Debug,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// All findings: the file can't be read, is not YAML, or has wrong, missing or unknown fields.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|error| {
            Findings(vec![Finding::new(
                path,
                0,
                "",
                format!("the file can't be read: {error}"),
            )])
        })?;
        Self::parse(path, &text)
    }

    /// Reads settings from the text of the file at `path`.
    ///
    /// # Errors
    ///
    /// As for [`Settings::read`].
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        check::parse(path, text)
    }
}
