//! A state chart that was loaded from YAML and validated.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
};

use error_stack::Report;
use serde::Deserialize;

use crate::error::{Error, Finding, Result};

/// The transitions between states of type `S` on events of type `E`.
///
/// The file names states and events by the `Display` texts of `S` and `E`.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    states: Vec<S>,
    events: Vec<E>,
    initial: S,
    finals: Vec<S>,
    /// The next state by the indexes of state and event; `None` where the event is ignored.
    table: Vec<Vec<Option<S>>>,
}

/// The YAML form of a chart.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    initial: String,
    #[serde(default, rename = "final")]
    finals: Vec<String>,
    events: Vec<String>,
    states: BTreeMap<String, Reactions>,
}

/// The reactions of one state to events.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Reactions {
    /// The next state by event.
    #[serde(default)]
    on: BTreeMap<String, String>,
    /// The events that have no effect.
    #[serde(default)]
    ignore: Vec<String>,
}

impl<S: Copy + Eq + Display, E: Copy + Eq + Display> Chart<S, E> {
    /// Parses and validates a chart, which must contain exactly the given states and events.
    ///
    /// # Errors
    ///
    /// Returns all findings about the chart, or only the first syntax error if the YAML can't be
    /// parsed.
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
        let no_initial_state = || Report::new(Error(Vec::new()));
        Ok(Self {
            states: states.to_vec(),
            events: events.to_vec(),
            initial: find(states, &file.initial).ok_or_else(no_initial_state)?,
            finals: file
                .finals
                .iter()
                .filter_map(|name| find(states, name))
                .collect(),
            table: transition_table(&file, states, events),
        })
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether `state` is final: no event leads out of it.
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    /// Returns the next state after `event` in `state`; `None` if the event is ignored there.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        let row = self.states.iter().position(|other| *other == state)?;
        let column = self.events.iter().position(|other| *other == event)?;
        self.table[row][column]
    }
}

fn find<T: Copy + Display>(variants: &[T], name: &str) -> Option<T> {
    variants
        .iter()
        .copied()
        .find(|variant| variant.to_string() == name)
}

fn transition_table<S: Copy + Display, E: Copy + Display>(
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

/// Compares the names of states and events between file and code, and with their uses in the file.
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

/// Checks that each state except final ones either reacts to an event or ignores it.
fn check_transitions(file: &File) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, reactions) in &file.states {
        let is_final = file.finals.contains(name);
        for event in &file.events {
            let has_transition = reactions.on.contains_key(event);
            let is_ignored = reactions.ignore.contains(event);
            let (state, event) = (name.clone(), event.clone());
            if has_transition && (is_ignored || is_final) {
                findings.push(Finding::UnexpectedTransition { state, event });
            } else if !has_transition && !is_ignored && !is_final {
                findings.push(Finding::MissingTransition { state, event });
            }
        }
    }
    findings
}

/// Checks that each state can be reached from the initial one (depth-first search).
fn check_reachable(file: &File) -> Vec<Finding> {
    let mut reached = BTreeSet::from([&file.initial]);
    let mut stack = vec![&file.initial];
    while let Some(reactions) = stack.pop().map(|name| file.states.get(name)) {
        for target in reactions
            .into_iter()
            .flat_map(|reactions| reactions.on.values())
        {
            if reached.insert(target) {
                stack.push(target);
            }
        }
    }
    let unreachable = file.states.keys().filter(|name| !reached.contains(name));
    unreachable.cloned().map(Finding::Unreachable).collect()
}
