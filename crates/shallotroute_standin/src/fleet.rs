//! Real node processes on addresses of their own, with the platform's stand-ins.

use std::{
    env, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, SystemTime},
};

use shallotroute_http::client::Client;
use shallotroute_platform::host::{self, Host};
use shallotroute_types::name::Name;
use tempfile::TempDir;

use crate::{
    admin::Operator,
    host::List,
    process::{Node, Settings},
    store::Store,
};

/// The key of the operator that every fleet has.
pub const OPERATOR_KEY: &str = "operator-key";

/// The name of that operator.
pub const OPERATOR: &str = "operator";

/// The key of datagrams between the nodes of a fleet.
pub const PEER_KEY: &str = "5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e";

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The first port that [`unique_address`] gives.
const FIRST_PORT: u16 = 10_000;

/// Nodes with the platform around them; dropping it ends the processes.
#[derive(Debug)]
pub struct Fleet {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The key-value service.
    pub store: Arc<Store>,
    /// The host list.
    pub hosts: Arc<List>,
    /// The client of all calls to the nodes.
    pub client: Client,
    /// The operator.
    pub operator: Operator,
    binary: PathBuf,
    folder: TempDir,
}

/// Where the nodes of a fleet stand and what they use.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The region.
    pub region: String,
    /// The availability zone of each node.
    pub zones: Vec<String>,
    /// The address that nodes use for the key-value service, if not the stand-in's own.
    pub store: Option<SocketAddr>,
    /// The level of the nodes' logs.
    pub log_level: String,
}

impl Layout {
    /// Makes a layout with one node for each of the zones.
    pub fn new(region: &str, zones: &[&str]) -> Self {
        Self {
            region: region.to_owned(),
            zones: zones.iter().map(|&zone| zone.to_owned()).collect(),
            store: None,
            log_level: "warn".to_owned(),
        }
    }
}

impl Fleet {
    /// Starts the platform and the nodes, which are not ready yet.
    ///
    /// # Errors
    ///
    /// The folder can't be written, or the program can't be started.
    pub async fn start(binary: &Path, layout: &Layout) -> io::Result<Self> {
        let store = Arc::new(Store::start().await?);
        Self::start_with(binary, layout, store).await
    }

    /// Starts the nodes with a key-value service that runs already.
    ///
    /// # Errors
    ///
    /// As for [`Fleet::start`].
    pub async fn start_with(binary: &Path, layout: &Layout, store: Arc<Store>) -> io::Result<Self> {
        let hosts = Arc::new(List::start(Vec::new()).await?);
        let client = Client::new(CONNECT_TIMEOUT);
        let mut fleet = Self {
            nodes: Vec::new(),
            operator: Operator::new(client.clone(), OPERATOR_KEY),
            store,
            hosts,
            client,
            binary: binary.to_owned(),
            folder: TempDir::with_prefix("shallotroute-")?,
        };
        let settings = fleet.settings(layout);
        for node in &settings {
            fleet.hosts.set(&node.id, host::State::Live);
        }
        for node in settings {
            fleet.add(node)?;
        }
        Ok(fleet)
    }

    /// Starts one more node.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn add(&mut self, settings: Settings) -> io::Result<()> {
        let node = Node::start(&self.binary, settings, self.folder.path())?;
        self.nodes.push(node);
        Ok(())
    }

    /// Returns the folder of the settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.settings().callers)
            .collect()
    }

    /// Returns the address of a node for operators.
    pub fn admin(&self, node: usize) -> SocketAddr {
        self.nodes[node].settings().admin
    }

    /// Waits until every node answers operators.
    ///
    /// # Errors
    ///
    /// One does not within `limit`.
    pub async fn await_live(&self, limit: Duration) -> crate::admin::Result<()> {
        for node in &self.nodes {
            self.operator
                .await_live(node.settings().admin, limit)
                .await?;
        }
        Ok(())
    }

    /// Waits until every node is ready.
    ///
    /// # Errors
    ///
    /// One is not within `limit`.
    pub async fn await_ready(&self, limit: Duration) -> crate::admin::Result<()> {
        for node in &self.nodes {
            self.operator
                .await_ready(node.settings().admin, limit)
                .await?;
        }
        Ok(())
    }

    /// Returns the ends of the nodes' logs.
    pub fn logs(&self, lines: usize) -> String {
        let mut text = String::new();
        for node in &self.nodes {
            let log = node.log();
            let all: Vec<&str> = log.lines().collect();
            let tail = all[all.len().saturating_sub(lines)..].join("\n");
            text.push_str(&format!("--- {}\n{tail}\n", node.settings().id));
        }
        text
    }

    fn settings(&self, layout: &Layout) -> Vec<Settings> {
        let peers: Vec<SocketAddr> = layout.zones.iter().map(|_| unique_address()).collect();
        layout
            .zones
            .iter()
            .zip(&peers)
            .enumerate()
            .map(|(index, (zone, peer))| Settings {
                id: format!("node-{index}"),
                region: layout.region.clone(),
                zone: zone.clone(),
                callers: unique_address(),
                admin: unique_address(),
                peers: *peer,
                seeds: peers.clone(),
                peer_key: PEER_KEY.to_owned(),
                store: layout.store.unwrap_or_else(|| self.store.address()),
                hosts: self.hosts.address(),
                operators: vec![(OPERATOR.to_owned(), OPERATOR_KEY.to_owned())],
                log_level: layout.log_level.clone(),
            })
            .collect()
    }
}

/// Returns an address that no other user of this function has, in this or another process.
///
/// The IP address is a loopback address derived from the process identifier, so tests that run at
/// the same time do not compete for ports.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // 127.0.0.0/10 is left to other uses, such as ports that the operating system chooses.
    let ip = Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low);
    SocketAddr::new(IpAddr::V4(ip), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Makes the host list's entry of a live host.
pub fn live_host(name: &str) -> Host {
    Host {
        name: Name::from(name),
        state: host::State::Live,
    }
}

/// Returns the node program next to the running example, building it when it is absent or older.
///
/// # Errors
///
/// The build fails.
pub fn node_binary() -> io::Result<PathBuf> {
    let example = env::current_exe()?;
    let folder = example
        .ancestors()
        .nth(2)
        .ok_or_else(|| io::Error::other("the example is in no target folder"))?;
    let binary = folder.join("shallotroute");
    let fresh = modified(&binary).is_some_and(|at| Some(at) >= modified(&example));
    if !fresh {
        build(folder, &example)?;
    }
    Ok(binary)
}

fn build(folder: &Path, example: &Path) -> io::Result<()> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args([
        "build",
        "--quiet",
        "--package",
        "shallotroute",
        "--bin",
        "shallotroute",
    ]);
    // With the example, cargo selects the same features of the dependencies as for the example, so
    // that it builds none of them again.
    if let Some(name) = example.file_stem() {
        command.arg("--example").arg(name);
    }
    if folder.file_name().is_some_and(|name| name == "release") {
        command.arg("--release");
    }
    if let Some(target) = folder.parent() {
        command.arg("--target-dir").arg(target);
    }
    match command.status()?.success() {
        true => Ok(()),
        false => Err(io::Error::other("building the node program failed")),
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    path.metadata().ok()?.modified().ok()
}
