//! Node processes of the real program, with simulated platform services.

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

/// The API key of the operator that every cluster has.
pub const OPERATOR_KEY: &str = "operator-key";

/// The name of the operator that every cluster has.
pub const OPERATOR: &str = "operator";

/// The key that authenticates datagrams between the nodes of a cluster.
pub const PEER_KEY: &str = "5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e";

/// The timeout for opening a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The first port that [`unique_address`] returns.
const FIRST_PORT: u16 = 10_000;

/// Node processes and the platform services that they use; dropping the cluster kills the processes.
#[derive(Debug)]
pub struct Cluster {
    /// The node processes, in the order of the zones of the [`Layout`].
    pub nodes: Vec<Node>,
    /// The simulated key-value service.
    pub store: Arc<Store>,
    /// The simulated host list, which has the nodes as live hosts.
    pub hosts: Arc<List>,
    /// The HTTP client for calls to the nodes.
    pub client: Client,
    /// The operator that each node's settings allow.
    pub operator: Operator,
    binary: PathBuf,
    folder: TempDir,
}

/// The nodes of a cluster and the options that they share.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The region of all nodes.
    pub region: String,
    /// The availability zone of each node.
    pub zones: Vec<String>,
    /// The address at which nodes reach the key-value service, such as a proxy's; the service's own
    /// when absent.
    pub store: Option<SocketAddr>,
    /// The log level of the nodes.
    pub log_level: String,
    /// The memory that each node may use, in megabytes; unlimited when absent.
    pub memory_mb: Option<u64>,
    /// The file descriptors that each node may use; unlimited when absent.
    pub descriptors: Option<u64>,
}

impl Layout {
    /// Creates a layout with one node for each entry of `zones`.
    pub fn new(region: &str, zones: &[&str]) -> Self {
        Self {
            region: region.to_owned(),
            zones: zones.iter().map(|&zone| zone.to_owned()).collect(),
            store: None,
            log_level: "warn".to_owned(),
            memory_mb: None,
            descriptors: None,
        }
    }
}

impl Cluster {
    /// Starts the platform services and the nodes, and returns before the nodes are ready.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound, the folder can't be written, or the program can't be
    /// started.
    pub async fn start(binary: &Path, layout: &Layout) -> io::Result<Self> {
        let store = Arc::new(Store::start().await?);
        Self::start_with(binary, layout, store).await
    }

    /// Starts the nodes with a key-value service that is already running.
    ///
    /// # Errors
    ///
    /// Fails as [`Cluster::start`] does.
    pub async fn start_with(binary: &Path, layout: &Layout, store: Arc<Store>) -> io::Result<Self> {
        let hosts = Arc::new(List::start(Vec::new()).await?);
        let client = Client::new(CONNECT_TIMEOUT);
        let mut cluster = Self {
            nodes: Vec::new(),
            operator: Operator::new(client.clone(), OPERATOR_KEY),
            store,
            hosts,
            client,
            binary: binary.to_owned(),
            folder: TempDir::with_prefix("shallotroute-")?,
        };
        let settings = cluster.settings(layout);
        for node in &settings {
            cluster.hosts.set(&node.id, host::State::Live);
        }
        for node in settings {
            cluster.add(node)?;
        }
        Ok(cluster)
    }

    /// Starts one more node.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub fn add(&mut self, settings: Settings) -> io::Result<()> {
        let node = Node::start(&self.binary, settings, self.folder.path())?;
        self.nodes.push(node);
        Ok(())
    }

    /// Returns the folder with the settings and logs of the nodes; dropping the cluster removes it.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the address of each node for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.settings().callers)
            .collect()
    }

    /// Returns the address of a node for operators.
    ///
    /// # Panics
    ///
    /// Panics when the cluster has no node with this index.
    pub fn admin(&self, node: usize) -> SocketAddr {
        self.nodes[node].settings().admin
    }

    /// Waits until the administration API of every node responds, for at most `limit` a node.
    ///
    /// # Errors
    ///
    /// Fails when a node does not respond within `limit`.
    pub async fn await_live(&self, limit: Duration) -> crate::admin::Result<()> {
        for node in &self.nodes {
            self.operator
                .await_live(node.settings().admin, limit)
                .await?;
        }
        Ok(())
    }

    /// Waits until every node is ready, for at most `limit` a node.
    ///
    /// # Errors
    ///
    /// Fails when a node is not ready within `limit`.
    pub async fn await_ready(&self, limit: Duration) -> crate::admin::Result<()> {
        for node in &self.nodes {
            self.operator
                .await_ready(node.settings().admin, limit)
                .await?;
        }
        Ok(())
    }

    /// Returns the last lines of each node's log under a heading with the node's name.
    pub fn logs(&self, lines: usize) -> String {
        let mut text = String::new();
        for node in &self.nodes {
            let log = node.log();
            let all_lines: Vec<&str> = log.lines().collect();
            let tail = all_lines[all_lines.len().saturating_sub(lines)..].join("\n");
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
                memory_mb: layout.memory_mb,
                descriptors: layout.descriptors,
            })
            .collect()
    }
}

/// Returns a loopback address that no other call returns, in this or another process.
///
/// The IP address is derived from the process identifier, so that tests that run at the same time
/// don't compete for ports.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // 127.0.0.0/10 stays free for other uses, such as ports that the operating system chooses.
    let ip = Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low);
    SocketAddr::new(IpAddr::V4(ip), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Creates the entry of a live host for the host list.
pub fn live_host(name: &str) -> Host {
    Host {
        name: Name::from(name),
        state: host::State::Live,
    }
}

/// Returns the path of the node program in the target folder of the running example. Builds the
/// program first when it is absent or older than the example.
///
/// # Errors
///
/// Fails when the example is in no target folder or the build fails.
pub fn node_binary() -> io::Result<PathBuf> {
    let example = env::current_exe()?;
    let folder = example
        .ancestors()
        .nth(2)
        .ok_or_else(|| io::Error::other("the example is in no target folder"))?;
    let binary = folder.join("shallotroute");
    let is_fresh =
        modification_time(&binary).is_some_and(|at| Some(at) >= modification_time(&example));
    if !is_fresh {
        build_node(folder, &example)?;
    }
    Ok(binary)
}

fn build_node(folder: &Path, example: &Path) -> io::Result<()> {
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
    // Building the example too makes cargo select the same features of the dependencies, so that
    // none of them is built again.
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

fn modification_time(path: &Path) -> Option<SystemTime> {
    path.metadata().ok()?.modified().ok()
}
