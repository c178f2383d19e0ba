//! Parses the settings of a node on the users' platform, which the deployment generates from a
//! template.

use std::{collections::BTreeSet, net::SocketAddr, path::Path, time::Duration};

use serde_yaml_ng::{Mapping, Value};

use crate::{
    Level, Node, Result, check,
    finding::{Finding, Findings},
    reader::Reader,
};

/// The keys at the root of the file.
const SECTIONS: [&str; 4] = ["node", "site", "listen", "log_level"];

/// The fields of the section `site`.
const SITE_FIELDS: [&str; 13] = [
    "role",
    "store",
    "cores",
    "grace_s",
    "retention_s",
    "fences_checked",
    "lease_s",
    "revocation_s",
    "duties",
    "scaling",
    "memory_mb",
    "descriptors",
    "overload",
];

/// The settings of a node on the users' platform.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The identity and the location of the node.
    pub node: Node,
    /// Whether the node serves callers.
    pub role: Role,
    /// The listeners' addresses.
    pub listen: Listen,
    /// The address of the platform's key-value store.
    pub store: SocketAddr,
    /// The processor time that the node may use, in cores; less than 1 for a share of a core.
    pub cores: f64,
    /// The time from SIGTERM to SIGKILL, within which the node has to drain.
    pub grace: Duration,
    /// How long after its submission the results of an ended job are stored.
    pub retention: Duration,
    /// How long orders of a former leader may still arrive at model servers that do not check
    /// fencing numbers, for which a new leader waits; zero when all servers check them.
    pub stale_order_delay: Duration,
    /// How long the lease of a leader counts, within which leaders must not take turns.
    pub lease: Duration,
    /// How long after its removal from the configuration a key may still work; `None` if only the bound
    /// of the configuration holds.
    pub revocation: Option<Duration>,
    /// The duties that one node of the fleet performs at a time; `None` without any.
    pub duties: Option<Duties>,
    /// How the number of servers is chosen where the node has the duty [`Duty::Scale`].
    pub scaling: ScalingPolicy,
    /// The memory that the process may use, in megabytes; `None` if only the host's memory bounds it.
    pub memory_mb: Option<u64>,
    /// The file descriptors that the process may use; `None` if only the operating system bounds them.
    pub descriptors: Option<u64>,
    /// Who waits or is turned away when there is too little room; in the order of arrival if absent.
    pub overload: Overload,
    /// The least severe level that is logged; `info` if absent.
    pub log_level: Level,
}

/// How it is decided who waits or is turned away when there is too little room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Overload {
    /// In the order of arrival.
    #[default]
    FirstCome,
    /// By priority, deadline and the work that is needed.
    ByCost,
}

/// The duties that the platform expects of one node at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// The address of the platform's API.
    pub address: SocketAddr,
    /// The duties that the deployment has.
    pub kinds: BTreeSet<Duty>,
    /// The calls per second that the platform takes from all nodes together.
    pub calls_per_second: f64,
    /// The length of a window of usage.
    pub window: Duration,
    /// How long after the end of a window its usage is due.
    pub report_within: Duration,
}

/// A duty of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// Reports the usage of each workspace.
    Usage,
    /// Orders the number of backend servers.
    Scale,
}

/// How the number of backend servers is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ScalingPolicy {
    /// By the demand.
    #[default]
    ByDemand,
    /// Numbers stay as they are.
    Unchanged,
    /// Each zone has a fixed number of on-demand servers.
    Fixed {
        /// The number as a part of the maximum, from 0 to 1.
        factor: f64,
    },
}

/// The role of a node on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves callers and trainers.
    Entry,
    /// Runs on a host with a disk and serves no callers. The node stores nothing on the disk, since
    /// all persistent data is in the platform's store.
    Standby,
}

/// The addresses that a node on the platform listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP for callers and trainers; optional on a standby node only.
    pub callers: Option<SocketAddr>,
    /// HTTP for the balancer's readiness check; optional on a standby node only.
    pub readiness: Option<SocketAddr>,
    /// TCP for other nodes.
    pub peers: SocketAddr,
    /// HTTP for metrics scrapers.
    pub metrics: SocketAddr,
}

impl SiteSettings {
    /// Parses the text of the settings file at `path`, which is only named in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings: the text is not YAML, or has invalid, missing or unknown fields.
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        let value: Value = check::read_yaml(path, text)?;
        let mut reader = Reader::new(path, text);
        let settings = read(&mut reader, &value);
        let findings = reader.into_findings();
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(Findings(findings)),
        }
    }

    /// Returns whether a settings file is that of a node on the platform, which has a section
    /// `site`.
    ///
    /// # Errors
    ///
    /// Returns a finding if the text is not YAML.
    pub fn has_site_section(path: &Path, text: &str) -> std::result::Result<bool, Findings> {
        let value = check::read_yaml(path, text)?;
        Ok(value.get("site").is_some())
    }
}

fn read(reader: &mut Reader<'_>, value: &Value) -> Option<SiteSettings> {
    let root = reader.mapping(Some(value), "", &SECTIONS)?;
    let node = check::read_node(reader, root.get("node"));
    let listen = read_listen(reader, root.get("listen"));
    let log_level = root
        .get("log_level")
        .and_then(|level| check::read_level(reader, level, "log_level"))
        .unwrap_or_default();
    let site = reader.mapping(root.get("site"), "site", &SITE_FIELDS)?;
    let role = read_role(reader, site.get("role"));
    let store = check::read_address(reader, site.get("store"), "site.store");
    let cores: Option<f64> = reader.parse(site.get("cores"), "site.cores", "a number of cores");
    let grace = read_seconds(reader, site.get("grace_s"), "site.grace_s");
    let retention = read_seconds(reader, site.get("retention_s"), "site.retention_s");
    let fences_checked: Option<bool> = reader.parse(
        site.get("fences_checked"),
        "site.fences_checked",
        "true or false",
    );
    let lease = read_seconds(reader, site.get("lease_s"), "site.lease_s");
    let stale_order_delay = match fences_checked {
        Some(true) => Some(Duration::ZERO),
        Some(false) => lease,
        None => None,
    };
    let revocation = read_optional(reader, &site, "revocation_s", read_seconds);
    let duties = read_optional(reader, &site, "duties", read_duties);
    let scaling = read_optional(reader, &site, "scaling", read_scaling);
    let memory_mb = check::read_count(reader, site.get("memory_mb"), "site.memory_mb");
    let descriptors = check::read_count(reader, site.get("descriptors"), "site.descriptors");
    let overload = read_optional(reader, &site, "overload", read_overload);
    let (role, listen) = (role?, listen?);
    if role == Role::Entry && (listen.callers.is_none() || listen.readiness.is_none()) {
        reader.report(
            "listen",
            "an entry node needs the addresses `callers` and `readiness`",
        );
    }
    Some(SiteSettings {
        node: node?,
        role,
        listen,
        store: store?,
        cores: cores?,
        grace: grace?,
        retention: retention?,
        stale_order_delay: stale_order_delay?,
        lease: lease?,
        revocation: revocation?,
        duties: duties?,
        scaling: scaling?.unwrap_or_default(),
        memory_mb: memory_mb?,
        descriptors: descriptors?,
        overload: overload?.unwrap_or_default(),
        log_level,
    })
}

/// Returns a value unless it is missing or empty.
fn optional(value: Option<&Value>) -> Option<&Value> {
    value.filter(|value| !value.is_null())
}

/// Reads a field of the section `site` unless it is missing or empty. Returns `None` if it is invalid.
fn read_optional<T>(
    reader: &mut Reader<'_>,
    site: &Mapping,
    name: &str,
    read: impl Fn(&mut Reader<'_>, Option<&Value>, &str) -> Option<T>,
) -> Option<Option<T>> {
    match optional(site.get(name)) {
        Some(value) => read(reader, Some(value), &format!("site.{name}")).map(Some),
        None => Some(None),
    }
}

/// Reads the duties. Names that are not known are those of other builds and ignored.
fn read_duties(reader: &mut Reader<'_>, value: Option<&Value>, path: &str) -> Option<Duties> {
    let known = [
        "address",
        "kinds",
        "calls_per_s",
        "window_s",
        "report_within_s",
    ];
    let section = reader.mapping(value, path, &known)?;
    let field = |name: &str| format!("{path}.{name}");
    let address = check::read_address(reader, section.get("address"), &field("address"));
    let kinds = reader
        .sequence(section.get("kinds"), &field("kinds"))
        .iter()
        .filter_map(|kind| match kind.as_str() {
            Some("usage") => Some(Duty::Usage),
            Some("scale") => Some(Duty::Scale),
            _ => None,
        })
        .collect();
    let calls_per_second: Option<f64> = reader.parse(
        section.get("calls_per_s"),
        &field("calls_per_s"),
        "a number of calls",
    );
    let window = read_seconds(reader, section.get("window_s"), &field("window_s"));
    let report_within = read_seconds(
        reader,
        section.get("report_within_s"),
        &field("report_within_s"),
    );
    if window.is_some_and(|window| window.is_zero()) {
        reader.report(&field("window_s"), "has to be positive");
        return None;
    }
    Some(Duties {
        address: address?,
        kinds,
        calls_per_second: calls_per_second?,
        window: window?,
        report_within: report_within?,
    })
}

fn read_scaling(
    reader: &mut Reader<'_>,
    value: Option<&Value>,
    path: &str,
) -> Option<ScalingPolicy> {
    let section = reader.mapping(value, path, &["policy", "factor"])?;
    let field = format!("{path}.factor");
    let policy = reader.text(section.get("policy"), &format!("{path}.policy"))?;
    match (policy.as_str(), optional(section.get("factor"))) {
        ("by_demand", None) => Some(ScalingPolicy::ByDemand),
        ("unchanged", None) => Some(ScalingPolicy::Unchanged),
        ("fixed", factor) => {
            let factor: f64 = reader.parse(factor, &field, "a number from 0 to 1")?;
            if !(0.0..=1.0).contains(&factor) {
                reader.report(&field, "has to be from 0 to 1");
                return None;
            }
            Some(ScalingPolicy::Fixed { factor })
        }
        ("by_demand" | "unchanged", Some(_)) => {
            reader.report(&field, "belongs to the policy `fixed` only");
            None
        }
        (other, _) => {
            reader.report(
                &format!("{path}.policy"),
                format!("`{other}` is not one of by_demand, unchanged, fixed"),
            );
            None
        }
    }
}

fn read_overload(reader: &mut Reader<'_>, value: Option<&Value>, path: &str) -> Option<Overload> {
    let text = reader.text(value, path)?;
    match text.as_str() {
        "first_come" => Some(Overload::FirstCome),
        "by_cost" => Some(Overload::ByCost),
        other => {
            reader.report(path, format!("`{other}` is not one of first_come, by_cost"));
            None
        }
    }
}

fn read_role(reader: &mut Reader<'_>, value: Option<&Value>) -> Option<Role> {
    let text = reader.text(value, "site.role")?;
    match text.as_str() {
        "entry" => Some(Role::Entry),
        "standby" => Some(Role::Standby),
        other => {
            reader.report(
                "site.role",
                format!("`{other}` is not one of entry, standby"),
            );
            None
        }
    }
}

fn read_listen(reader: &mut Reader<'_>, value: Option<&Value>) -> Option<Listen> {
    let known = ["callers", "readiness", "peers", "metrics"];
    let section = reader.mapping(value, "listen", &known)?;
    let mut optional = |name: &str| match section.get(name) {
        None | Some(Value::Null) => None,
        some => check::read_address(reader, some, &format!("listen.{name}")),
    };
    let callers = optional("callers");
    let readiness = optional("readiness");
    let peers = check::read_address(reader, section.get("peers"), "listen.peers");
    let metrics = check::read_address(reader, section.get("metrics"), "listen.metrics");
    Some(Listen {
        callers,
        readiness,
        peers: peers?,
        metrics: metrics?,
    })
}

fn read_seconds(reader: &mut Reader<'_>, value: Option<&Value>, path: &str) -> Option<Duration> {
    let seconds: f64 = reader.parse(value, path, "a number of seconds")?;
    match Duration::try_from_secs_f64(seconds) {
        Ok(duration) => Some(duration),
        Err(_) => {
            reader.report(path, "has to be a number of seconds that is not negative");
            None
        }
    }
}

/// The settings of a node of either kind.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeSettings {
    /// The settings of a node with the project's own API.
    Node(Box<crate::Settings>),
    /// The settings of a node on the users' platform.
    Site(Box<SiteSettings>),
}

impl NodeSettings {
    /// Reads a settings file. A file with a section `site` is for a node on the platform.
    ///
    /// # Errors
    ///
    /// Returns all findings, as [`crate::Settings::read`] does.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            let message = format!("the file can't be read: {error}");
            Findings(vec![Finding::new(path, 0, "", message)])
        })?;
        match SiteSettings::has_site_section(path, &text)? {
            true => SiteSettings::parse(path, &text).map(|site| Self::Site(Box::new(site))),
            false => crate::Settings::parse(path, &text).map(|node| Self::Node(Box::new(node))),
        }
    }
}
