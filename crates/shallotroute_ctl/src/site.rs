//! Formats the state of a system on the users' platform from the dumps of its nodes.

use std::{collections::BTreeMap, fmt::Write};

use serde::{Deserialize, Serialize};

/// The fields of a node's dump that are printed. Their names are those of the dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Dump {
    node: Process,
    ready: bool,
    draining: bool,
    configuration: Option<Configuration>,
    members: Members,
    /// The target version that the trainer set last, by model.
    named_versions: BTreeMap<String, u64>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Process {
    node: String,
    incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Configuration {
    version: u64,
    in_force_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Members {
    duty: Option<Leadership>,
    nodes: Vec<Member>,
}

/// The leadership, whose leader alone sends orders to servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Leadership {
    holder: Option<Process>,
    fence: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Member {
    process: Process,
    leaving: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Server {
    id: String,
    service: String,
    draining: bool,
    versions: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Job {
    id: String,
    ended: bool,
    oldest_version: u64,
    waiting: usize,
    generating: usize,
    rating: usize,
    ready: usize,
    listed: usize,
    total: usize,
}

/// Formats the system as the first node sees it, and then each node's own state.
pub(crate) fn format_dumps(dumps: &[Dump]) -> String {
    let mut text = String::new();
    if let Some(first) = dumps.first() {
        let _ = write_system(&mut text, first, dumps);
    }
    for dump in dumps {
        let _ = write_node(&mut text, dump);
    }
    text
}

fn write_system(text: &mut String, first: &Dump, dumps: &[Dump]) -> std::fmt::Result {
    writeln!(text, "by {}:", first.node.node)?;
    match &first.members.duty {
        Some(Leadership {
            holder: Some(holder),
            fence,
        }) => writeln!(
            text,
            "orders to servers: {}, fencing number {fence}",
            holder.node
        )?,
        Some(Leadership { fence, .. }) => writeln!(
            text,
            "orders to servers: nobody, last fencing number {fence}"
        )?,
        None => writeln!(text, "orders to servers: nobody")?,
    }
    for (model, version) in &first.named_versions {
        writeln!(text, "named version: {model} {version}")?;
    }
    for server in &first.servers {
        let versions: Vec<String> = server
            .versions
            .iter()
            .map(|(model, version)| format!("{model} {version}"))
            .collect();
        let draining = if server.draining { ", draining" } else { "" };
        writeln!(
            text,
            "server {} of {}: {}{draining}",
            server.id,
            server.service,
            match versions.is_empty() {
                true => "no model".to_owned(),
                false => versions.join(", "),
            }
        )?;
    }
    for member in &first.members.nodes {
        let is_shown = dumps.iter().any(|dump| dump.node == member.process);
        if !is_shown {
            let leaving = if member.leaving { ", leaving" } else { "" };
            writeln!(text, "node {} was not asked{leaving}", member.process.node)?;
        }
    }
    Ok(())
}

fn write_node(text: &mut String, dump: &Dump) -> std::fmt::Result {
    let state = match (dump.draining, dump.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    write!(text, "node {}: {state}, ", dump.node.node)?;
    match &dump.configuration {
        Some(configuration) => writeln!(
            text,
            "configuration {} in force for {} s",
            configuration.version,
            configuration.in_force_ms / 1000
        )?,
        None => writeln!(text, "no configuration in force")?,
    }
    for job in &dump.jobs {
        let ended = if job.ended { ", ended" } else { "" };
        writeln!(
            text,
            "  job {}: {} of {} listed, {} ready, {} rating, {} generating, {} waiting, from version {}{ended}",
            job.id,
            job.listed,
            job.total,
            job.ready,
            job.rating,
            job.generating,
            job.waiting,
            job.oldest_version
        )?;
    }
    Ok(())
}
