//! Parses and validates [`Settings`].

use std::{collections::BTreeMap, net::SocketAddr, path::Path, path::PathBuf, str::FromStr};

use serde_yaml_ng::{Mapping, Value};
use shallotroute_types::name::Name;

use crate::{
    Level, Limits, Listen, Log, Node, Operator, Peers, Platform, Result, Settings,
    finding::{Finding, Findings},
    reader::{Reader, join_path},
};

/// The number of hexadecimal digits of a 32-byte key or hash.
const KEY_HEX_DIGITS: usize = 64;

/// The keys at the root of the file.
const SECTIONS: [&str; 8] = [
    "node",
    "listen",
    "peers",
    "platform",
    "operators",
    "data_folder",
    "log",
    "limits",
];

pub(crate) fn parse(path: &Path, text: &str) -> Result<Settings> {
    let value = read_yaml(path, text)?;
    let mut reader = Reader::new(path, text);
    let settings = reader
        .mapping(Some(&value), "", &SECTIONS)
        .and_then(|root| read_sections(&mut reader, &root));
    let findings = reader.into_findings();
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(Findings(findings)),
    }
}

pub(crate) fn read_yaml(path: &Path, text: &str) -> Result<Value> {
    serde_yaml_ng::from_str(text).map_err(|error| {
        let line = error.location().map_or(0, |location| location.line());
        Findings(vec![Finding::new(
            path,
            line,
            "",
            format!("not valid YAML: {error}"),
        )])
    })
}

/// Reads every section, also after an invalid one, so that all findings are reported at once.
fn read_sections(reader: &mut Reader<'_>, root: &Mapping) -> Option<Settings> {
    let node = read_node(reader, root.get("node"));
    let listen = read_listen(reader, root.get("listen"));
    let peers = read_peers(reader, root.get("peers"));
    let platform = read_platform(reader, root.get("platform"));
    let operators = read_operators(reader, root.get("operators"));
    let data_folder = read_folder(reader, root.get("data_folder"));
    let log = read_log(reader, root.get("log"));
    let limits = read_limits(reader, root.get("limits"));
    Some(Settings {
        node: node?,
        listen: listen?,
        peers: peers?,
        platform: platform?,
        operators,
        data_folder,
        log,
        limits: limits?,
    })
}

fn read_limits(reader: &mut Reader<'_>, value: Option<&Value>) -> Option<Limits> {
    if value.is_none() {
        return Some(Limits::default());
    }
    let section = reader.mapping(value, "limits", &["memory_mb", "descriptors"])?;
    let memory_mb = read_count(reader, section.get("memory_mb"), "limits.memory_mb");
    let descriptors = read_count(reader, section.get("descriptors"), "limits.descriptors");
    Some(Limits {
        memory_mb: memory_mb?,
        descriptors: descriptors?,
    })
}

/// Reads an optional positive number. Returns `None` if it is invalid.
pub(crate) fn read_count(
    reader: &mut Reader<'_>,
    value: Option<&Value>,
    path: &str,
) -> Option<Option<u64>> {
    let Some(value) = value.filter(|value| !value.is_null()) else {
        return Some(None);
    };
    let count: u64 = reader.parse(Some(value), path, "a positive whole number")?;
    if count == 0 {
        reader.report(path, "has to be positive");
        return None;
    }
    Some(Some(count))
}

pub(crate) fn read_node(reader: &mut Reader<'_>, value: Option<&Value>) -> Option<Node> {
    let section = reader.mapping(value, "node", &["id", "region", "zone"])?;
    let id = read_name(reader, section.get("id"), "node.id");
    let region = read_name(reader, section.get("region"), "node.region");
    let zone = read_name(reader, section.get("zone"), "node.zone");
    Some(Node {
        id: id?,
        region: region?,
        zone: zone?,
    })
}

fn read_listen(reader: &mut Reader<'_>, value: Option<&Value>) -> Option<Listen> {
    let section = reader.mapping(value, "listen", &["callers", "admin", "peers"])?;
    let callers = read_address(reader, section.get("callers"), "listen.callers");
    let admin = read_address(reader, section.get("admin"), "listen.admin");
    let peers = read_address(reader, section.get("peers"), "listen.peers");
    let listen = Listen {
        callers: callers?,
        admin: admin?,
        peers: peers?,
    };
    if listen.callers == listen.admin {
        reader.report("listen.admin", "is the same address as listen.callers");
    }
    if listen.peers == listen.callers || listen.peers == listen.admin {
        reader.report("listen.peers", "is the same address as another listener's");
    }
    if listen.peers.ip().is_unspecified() {
        reader.report(
            "listen.peers",
            "has to be an address that other nodes can reach",
        );
    }
    Some(listen)
}

fn read_peers(reader: &mut Reader<'_>, value: Option<&Value>) -> Option<Peers> {
    let section = reader.mapping(value, "peers", &["seeds", "key"])?;
    let items = reader.sequence(section.get("seeds"), "peers.seeds");
    let seeds = items
        .iter()
        .enumerate()
        .filter_map(|(index, item)| {
            read_address(reader, Some(item), &format!("peers.seeds.{index}"))
        })
        .collect();
    let text = reader.text(section.get("key"), "peers.key")?;
    match decode_key(&text) {
        Some(key) => Some(Peers { seeds, key }),
        None => {
            reader.report("peers.key", "has to be 64 hexadecimal digits");
            None
        }
    }
}

fn read_platform(reader: &mut Reader<'_>, value: Option<&Value>) -> Option<Platform> {
    let section = reader.mapping(value, "platform", &["store", "hosts"])?;
    let store = read_address(reader, section.get("store"), "platform.store");
    let hosts = read_address(reader, section.get("hosts"), "platform.hosts");
    Some(Platform {
        store: store?,
        hosts: hosts?,
    })
}

fn read_operators(reader: &mut Reader<'_>, value: Option<&Value>) -> Vec<Operator> {
    let items = reader.sequence(value, "operators");
    if items.is_empty() {
        reader.report("operators", "has to name at least one operator");
    }
    let mut operators: Vec<Operator> = Vec::new();
    for (index, item) in items.iter().enumerate() {
        let path = format!("operators.{index}");
        let Some(operator) = read_operator(reader, item, &path) else {
            continue;
        };
        if operators.iter().any(|other| other.name == operator.name) {
            reader.report(
                &join_path(&path, "name"),
                format!("`{}` is named twice", operator.name),
            );
        }
        operators.push(operator);
    }
    operators
}

fn read_operator(reader: &mut Reader<'_>, item: &Value, path: &str) -> Option<Operator> {
    let section = reader.mapping(Some(item), path, &["name", "key_hash"])?;
    let name = read_name(reader, section.get("name"), &join_path(path, "name"));
    let hash_path = join_path(path, "key_hash");
    let key_hash = reader.text(section.get("key_hash"), &hash_path)?;
    if decode_key(&key_hash).is_none() || key_hash != key_hash.to_lowercase() {
        reader.report(&hash_path, "has to be 64 lower-case hexadecimal digits");
        return None;
    }
    Some(Operator {
        name: name?,
        key_hash,
    })
}

fn read_folder(reader: &mut Reader<'_>, value: Option<&Value>) -> Option<PathBuf> {
    let value = value.filter(|value| !value.is_null())?;
    let folder = PathBuf::from(reader.text(Some(value), "data_folder")?);
    if !folder.is_dir() {
        reader.report(
            "data_folder",
            format!("`{}` is not a folder", folder.display()),
        );
    }
    Some(folder)
}

fn read_log(reader: &mut Reader<'_>, value: Option<&Value>) -> Log {
    if value.is_none() {
        return Log::default();
    }
    let Some(section) = reader.mapping(value, "log", &["level", "modules"]) else {
        return Log::default();
    };
    let level = section
        .get("level")
        .and_then(|value| read_level(reader, value, "log.level"))
        .unwrap_or_default();
    let mut modules = BTreeMap::new();
    if let Some(Value::Mapping(entries)) = section.get("modules") {
        for (key, value) in entries {
            let name = key.as_str().unwrap_or_default().to_owned();
            let path = format!("log.modules.{name}");
            if let Some(level) = read_level(reader, value, &path) {
                modules.insert(name, level);
            }
        }
    }
    Log { level, modules }
}

pub(crate) fn read_level(reader: &mut Reader<'_>, value: &Value, path: &str) -> Option<Level> {
    // A bare `off` is a string in YAML 1.2 and the boolean false in YAML 1.1.
    if value.as_bool() == Some(false) {
        return Some(Level::Off);
    }
    reader.parse(Some(value), path, "one of off, error, warn, info, debug")
}

fn read_name(reader: &mut Reader<'_>, value: Option<&Value>, path: &str) -> Option<Name> {
    let name = Name::from(reader.text(value, path)?);
    if !name.is_valid() {
        reader.report(
            path,
            "has to be 1 to 128 letters, digits, dots, dashes or underscores",
        );
        return None;
    }
    Some(name)
}

pub(crate) fn read_address(
    reader: &mut Reader<'_>,
    value: Option<&Value>,
    path: &str,
) -> Option<SocketAddr> {
    let address: SocketAddr = reader.parse(value, path, "an IP address with a port")?;
    if address.port() == 0 {
        reader.report(path, "needs a port other than 0");
        return None;
    }
    Some(address)
}

fn decode_key(text: &str) -> Option<[u8; 32]> {
    if text.len() != KEY_HEX_DIGITS || !text.is_ascii() {
        return None;
    }
    let mut key = [0; 32];
    for (index, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(key)
}

impl FromStr for Level {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        match text {
            "off" => Ok(Self::Off),
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(()),
        }
    }
}
