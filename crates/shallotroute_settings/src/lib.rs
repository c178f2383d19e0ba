//! Parses and validates a node's YAML settings: [`Settings`] for a node with the project's own
//! API, and [`site::SiteSettings`] for a node on the users' platform.

mod check;
pub mod finding;
mod lines;
mod reader;
pub mod site;

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, path::PathBuf};

use shallotroute_types::name::Name;

use crate::finding::{Finding, Findings};

/// The result of parsing settings, with every fault of the file in the error.
pub type Result<T> = std::result::Result<T, Findings>;

/// The settings of a node with the project's own API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The identity and the location of the node.
    pub node: Node,
    /// The listeners' addresses, which all differ.
    pub listen: Listen,
    /// How other nodes are discovered and authenticated.
    pub peers: Peers,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The operators that may use the administration API; at least one, with unique names.
    pub operators: Vec<Operator>,
    /// The folder for bulk data, which exists. `None` on hosts without a disk.
    pub data_folder: Option<PathBuf>,
    /// The log levels; `info` for every crate if absent.
    pub log: Log,
    /// What the process may use of its host.
    pub limits: Limits,
}

/// What a process may use of its host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// The memory, in megabytes; `None` if only the host's memory bounds it.
    pub memory_mb: Option<u64>,
    /// The file descriptors; `None` if only the operating system bounds them.
    pub descriptors: Option<u64>,
}

/// The identity and the location of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// The node's name, unique in the fleet.
    pub id: Name,
    /// The region of the node's host.
    pub region: Name,
    /// The availability zone of the node's host.
    pub zone: Name,
}

/// The addresses that a node with the project's own API listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP for callers and trainers.
    pub callers: SocketAddr,
    /// HTTP for operators, metrics and the balancer's readiness check.
    pub admin: SocketAddr,
    /// UDP and TCP for other nodes; never an unspecified address such as `0.0.0.0`.
    pub peers: SocketAddr,
}

/// How a node discovers and authenticates other nodes.
#[derive(Clone, PartialEq, Eq)]
pub struct Peers {
    /// Peer addresses of some other nodes, from which the node learns the others.
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

/// The addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The address of the key-value service.
    pub store: SocketAddr,
    /// The address of the service with the host list.
    pub hosts: SocketAddr,
}

/// An operator who may use the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// The name that revisions record as their author.
    pub name: Name,
    /// BLAKE3 hash of the operator's key, 64 lower-case hexadecimal digits.
    pub key_hash: String,
}

/// The log levels of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// The level of crates that `modules` does not contain.
    pub level: Level,
    /// The levels by crate name without the prefix `shallotroute_`.
    pub modules: BTreeMap<String, Level>,
}

/// The least severe records that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Disables the log.
    Off,
    /// Faults that an operator has to mend.
    Error,
    /// Faults that the node handles itself.
    Warn,
    /// Changes of the node's state.
    #[default]
    Info,
    /// Events of single requests.
    Debug,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings: the file can't be read, is not YAML, or has invalid, missing or
    /// unknown fields.
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

    /// Parses the text of the settings file at `path`, which is only named in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, as [`Settings::read`] does.
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        check::parse(path, text)
    }
}
