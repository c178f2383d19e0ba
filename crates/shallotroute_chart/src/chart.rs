//! A checked chart.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
};

use error_stack::Report;
use serde::Deserialize;

use crate::error::{Error, Finding, Result};

/// The states of type `S` and what the events of type `E` do in each.
///
/// The names in the file are those that `S` and `E` display.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    states: Vec<S>,
    events: Vec<E>,
    initial: S,
    finals: Vec<S>,
    /// The next state by state and event; none where the event is ignored.
    table: Vec<Vec<Option<S>>>,
}

/// The file of a chart.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    initial: String,
    #[serde(default, rename = "final")]
    finals: Vec<String>,
    events: Vec<String>,
    states: BTreeMap<String, Reactions>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Reactions {
    #[serde(default)]
    on: BTreeMap<String, String>,
    #[serde(default)]
    ignore: Vec<String>,
}

impl<S: Copy + Eq + Display, E: Copy + Eq + Display> Chart<S, E> {
    /// Loads and checks a chart for exactly the given states and events.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the chart.
    pub fn new(yaml: &str, states: &[S], events: &[E]) -> Result<Self> {
        let file: File = serde_yaml_ng::from_str(yaml)
            .map_err(|error| Report::new(Error(vec![Finding::Syntax(error.to_string())])))?;
        let mut findings = check_names(&file, states, events);
        findings.extend(check_transitions(&file));
        findings.extend(check_reachable(&file));
        findings.sort();
        findings.dedup();
        if !findings.is_empty() {
            return Err(Report::new(Error(findings)));
        }
        let unusable = || Report::new(Error(Vec::new()));
        Ok(Self {
            states: states.to_vec(),
            events: events.to_vec(),
            initial: find(states, &file.initial).ok_or_else(unusable)?,
            finals: file
                .finals
                .iter()
                .filter_map(|name| find(states, name))
                .collect(),
            table: table(&file, states, events),
        })
    }

    /// Returns the state in which a machine starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Tells whether a state is final.
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    /// Returns the state to which an event leads, or none where it is ignored.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        let row = self.states.iter().position(|other| *other == state)?;
        let column = self.events.iter().position(|other| *other == event)?;
        self.table[row][column]
    }
}

fn find<T: Copy + Display>(all: &[T], name: &str) -> Option<T> {
    all.iter().copied().find(|one| one.to_string() == name)
}

fn table<S: Copy + Display, E: Copy + Display>(
    file: &File,
    states: &[S],
    events: &[E],
) -> Vec<Vec<Option<S>>> {
    let target = |state: &S, event: &E| {
        let reactions = file.states.get(&state.to_string())?;
        let target = reactions.on.get(&event.to_string())?;
        find(states, target)
    };
    let row = |state| events.iter().map(|event| target(state, event)).collect();
    states.iter().map(row).collect()
}

fn check_names<S: Copy + Display, E: Copy + Display>(
    file: &File,
    states: &[S],
    events: &[E],
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let known: BTreeSet<String> = states.iter().map(ToString::to_string).collect();
    let unknown = |name: &&String| !known.contains(*name) || !file.states.contains_key(*name);
    let used = file
        .states
        .iter()
        .flat_map(|(name, reactions)| std::iter::once(name).chain(reactions.on.values()))
        .chain(&file.finals)
        .chain([&file.initial]);
    findings.extend(used.filter(unknown).cloned().map(Finding::UnknownState));
    let missing = known.iter().filter(|name| !file.states.contains_key(*name));
    findings.extend(missing.cloned().map(Finding::MissingState));

    let known: BTreeSet<String> = events.iter().map(ToString::to_string).collect();
    let unknown = |name: &&String| !known.contains(*name) || !file.events.contains(name);
    let reactions = file.states.values();
    let used = reactions
        .flat_map(|reactions| reactions.on.keys().chain(&reactions.ignore))
        .chain(&file.events);
    findings.extend(used.filter(unknown).cloned().map(Finding::UnknownEvent));
    let missing = known.iter().filter(|name| !file.events.contains(name));
    findings.extend(missing.cloned().map(Finding::MissingEvent));
    findings
}

fn check_transitions(file: &File) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, reactions) in &file.states {
        let is_final = file.finals.contains(name);
        for event in &file.events {
            let reacts = reactions.on.contains_key(event);
            let ignores = reactions.ignore.contains(event);
            let (state, event) = (name.clone(), event.clone());
            if reacts && (ignores || is_final) {
                findings.push(Finding::UnexpectedTransition { state, event });
            } else if !reacts && !ignores && !is_final {
                findings.push(Finding::MissingTransition { state, event });
            }
        }
    }
    findings
}

fn check_reachable(file: &File) -> Vec<Finding> {
    let mut reached = BTreeSet::from([&file.initial]);
    let mut open = vec![&file.initial];
    while let Some(reactions) = open.pop().map(|name| file.states.get(name)) {
        for target in reactions
            .into_iter()
            .flat_map(|reactions| reactions.on.values())
        {
            if reached.insert(target) {
                open.push(target);
            }
        }
    }
    let lost = file.states.keys().filter(|name| !reached.contains(name));
    lost.cloned().map(Finding::Unreachable).collect()
}
