//! What nodes on the users' platform say of their system.

use std::{collections::BTreeMap, fmt::Write};

use serde::{Deserialize, Serialize};

/// The parts of a node's dump that are shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Dump {
    node: Process,
    ready: bool,
    draining: bool,
    configuration: Option<Configuration>,
    members: Members,
    /// The version that the trainer named last, by model.
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
    duty: Option<Duty>,
    nodes: Vec<Member>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Duty {
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

/// Writes what the first node believes of the system, and what each node says of itself.
pub(crate) fn text(dumps: &[Dump]) -> String {
    let mut text = String::new();
    if let Some(first) = dumps.first() {
        let _ = write_beliefs(&mut text, first, dumps);
    }
    for dump in dumps {
        let _ = write_node(&mut text, dump);
    }
    text
}

fn write_beliefs(text: &mut String, first: &Dump, dumps: &[Dump]) -> std::fmt::Result {
    writeln!(text, "by {}:", first.node.node)?;
    match &first.members.duty {
        Some(Duty {
            holder: Some(holder),
            fence,
        }) => writeln!(
            text,
            "orders to servers: {}, fencing number {fence}",
            holder.node
        )?,
        Some(Duty { fence, .. }) => writeln!(
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
