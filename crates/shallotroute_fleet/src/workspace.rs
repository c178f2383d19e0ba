//! The workspaces of a configuration and the digests of their API keys: finds the workspace of a key.
//!
//! Answers the lookup that each request of a caller makes, for some thousand keys, in constant time.
//! Keys are neither stored nor compared: a caller that measures response times learns nothing about them.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    sync::Arc,
};

use derive_more::Display;
use shallotroute_types::name::Name;

/// The result of building a directory.
pub type Result<T> = std::result::Result<T, Error>;

/// The random secret of a process, without which a digest can't be tested against guessed keys.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; 32]);

/// The keyed hash of an API key. It is meaningful only together with the [`Secret`] of its process.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

/// A workspace as a configuration defines it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Definition {
    /// The name, which servers receive.
    pub name: Name,
    /// The priority of the workspace's requests; 0 is the highest. `None` leaves that of the route.
    pub priority: Option<u8>,
    /// The digests of the API keys.
    pub keys: Vec<Digest>,
}

/// A workspace without its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The unique name, which servers receive.
    pub name: Name,
    /// The priority of the workspace's requests; 0 is the highest. `None` leaves that of the route.
    pub priority: Option<u8>,
    /// The number of different API keys.
    pub key_count: usize,
}

/// The workspaces of a configuration by the digests of their API keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    workspaces: Vec<Arc<Workspace>>,
    by_key: HashMap<Digest, Arc<Workspace>>,
}

/// The reasons why workspaces are invalid, one text for each. The texts name no key.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{}", _0.join("; "))]
pub struct Error(pub Vec<String>);

impl std::error::Error for Error {}

impl Secret {
    /// Creates a secret from random bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the digest of an API key.
    pub fn digest(&self, key: &[u8]) -> Digest {
        Digest(*blake3::keyed_hash(&self.0, key).as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Digest(..)")
    }
}

impl Directory {
    /// Creates a directory from the workspaces of a configuration.
    ///
    /// # Errors
    ///
    /// Returns all problems at once: workspaces without a name, with a name that no header can carry
    /// unchanged, or with that of another one, and keys that two workspaces have.
    pub fn new(definitions: Vec<Definition>) -> Result<Self> {
        let mut problems = name_problems(&definitions);
        let mut directory = Self::default();
        let mut shared_keys: BTreeSet<(Name, Name)> = BTreeSet::new();
        for definition in definitions {
            let keys: Vec<Digest> = distinct(definition.keys);
            let workspace = Arc::new(Workspace {
                name: definition.name,
                priority: definition.priority,
                key_count: keys.len(),
            });
            for key in keys {
                if let Some(other) = directory.by_key.insert(key, Arc::clone(&workspace)) {
                    shared_keys.insert((other.name.clone(), workspace.name.clone()));
                }
            }
            directory.workspaces.push(workspace);
        }
        problems.extend(shared_keys.into_iter().map(|(one, other)| {
            format!("workspaces `{one}` and `{other}` have an API key in common")
        }));
        match problems.is_empty() {
            true => Ok(directory),
            false => Err(Error(problems)),
        }
    }

    /// Returns the workspace of an API key; `None` if the key is unknown.
    pub fn identify(&self, key: &Digest) -> Option<&Workspace> {
        self.by_key.get(key).map(|workspace| &**workspace)
    }

    /// Returns the workspace with a name.
    pub fn find(&self, name: &str) -> Option<&Workspace> {
        self.workspaces()
            .find(|workspace| workspace.name.as_str() == name)
    }

    /// Returns the workspaces in the order of the configuration.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.iter().map(|workspace| &**workspace)
    }
}

fn name_problems(definitions: &[Definition]) -> Vec<String> {
    let mut problems = Vec::new();
    let mut names: BTreeSet<&Name> = BTreeSet::new();
    for (index, definition) in definitions.iter().enumerate() {
        let name = &definition.name;
        if name.is_empty() {
            problems.push(format!("workspace number {} has no name", index + 1));
        } else if name.trim() != name.as_str() || name.chars().any(char::is_control) {
            let name = name.escape_debug();
            problems.push(format!(
                "the name of workspace `{name}` has control characters or spaces around it"
            ));
        } else if !names.insert(name) {
            problems.push(format!("two workspaces have the name `{name}`"));
        }
    }
    problems
}

/// Returns the keys without repetitions.
fn distinct(keys: Vec<Digest>) -> Vec<Digest> {
    let mut seen = std::collections::HashSet::new();
    keys.into_iter().filter(|key| seen.insert(*key)).collect()
}
