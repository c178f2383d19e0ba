//! The authorization decision: which workspace a caller's request belongs to, and whether it may be sent.
//!
//! Answers each request of a caller once on arrival and once before each send, from memory, so that a
//! key that has been removed stops working without a call to the store on a request's path.

use std::time::Duration;

use shallotroute_types::name::Name;

use crate::{
    route::{Route, Table},
    workspace::{Digest, Workspace},
};

/// The result of a decision.
pub type Result<T> = std::result::Result<T, Denial>;

/// Whether the configuration is recent enough to tell which keys are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is, or its age does not matter.
    Fresh,
    /// Keys may have been removed since.
    Stale {
        /// The advised delay before the caller retries.
        retry_after: Duration,
    },
}

/// The authorization decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Granted(Grant),
    /// The request needs the key of a workspace.
    Unauthorized,
    /// The configuration is too old to tell whether the key is valid.
    Stale {
        /// The advised delay before the caller retries.
        retry_after: Duration,
    },
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request needs the key of a workspace.
    Unauthorized,
    /// The configuration is too old to tell whether the key is valid.
    Stale {
        /// The advised delay before the caller retries.
        retry_after: Duration,
    },
}

/// On whose behalf a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The configuration has no workspaces. The headers of a request stay as they are.
    Unrestricted,
    /// No workspace.
    Anonymous,
    /// The workspace with this name.
    Workspace(Name),
}

/// The permission to send a request. Only this module makes one, so that no request is sent without a
/// decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    identity: Identity,
    priority: Option<u8>,
    basis: Basis,
}

/// What a decision rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// What a caller presented, and whether its route needs no key.
    Caller {
        key: Option<Digest>,
        is_public: bool,
    },
    /// The system's own decision, which no key can change.
    System,
}

impl Verdict {
    /// Returns the grant.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn into_result(self) -> Result<Grant> {
        match self {
            Self::Granted(grant) => Ok(grant),
            Self::Unauthorized => Err(Denial::Unauthorized),
            Self::Stale { retry_after } => Err(Denial::Stale { retry_after }),
        }
    }
}

impl Denial {
    /// Returns the reason, for logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::Stale { .. } => "stale_configuration",
        }
    }
}

impl Grant {
    /// Creates the grant of a request that the system itself sends, such as one to a scorer. It has no
    /// workspace.
    pub fn for_system() -> Self {
        Self {
            identity: Identity::Anonymous,
            priority: None,
            basis: Basis::System,
        }
    }

    /// Creates the grant of an item of an accepted batch job, which the removal of a key does not end.
    pub fn for_item(workspace: Option<&Name>, table: Option<&Table>) -> Self {
        let identity = match workspace {
            Some(name) => Identity::Workspace(name.clone()),
            None if table.is_some_and(|table| table.workspaces().is_some()) => Identity::Anonymous,
            None => Identity::Unrestricted,
        };
        Self {
            identity,
            priority: None,
            basis: Basis::System,
        }
    }

    fn for_caller(identity: Identity, priority: Option<u8>, basis: Basis) -> Verdict {
        Verdict::Granted(Self {
            identity,
            priority,
            basis,
        })
    }

    /// Returns on whose behalf the request is sent.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the name of the workspace; `None` for a request without one.
    pub fn workspace(&self) -> Option<&Name> {
        match &self.identity {
            Identity::Workspace(name) => Some(name),
            Identity::Unrestricted | Identity::Anonymous => None,
        }
    }

    /// Returns the priority of a request on a route: that of the workspace, where it has one.
    pub fn priority(&self, route: &Route) -> u8 {
        self.priority.unwrap_or(route.priority)
    }

    /// Returns whether a call may see or change every batch job, as where there are no workspaces.
    pub fn may_access_all(&self) -> bool {
        self.identity == Identity::Unrestricted
    }

    /// Returns whether a call may see or change a batch job that belongs to `workspace`. A job without
    /// one is open to all callers that have a grant.
    pub fn may_access(&self, workspace: Option<&str>) -> bool {
        match (&self.identity, workspace) {
            (Identity::Unrestricted, _) | (_, None) => true,
            (Identity::Workspace(name), Some(other)) => name.as_str() == other,
            (Identity::Anonymous, Some(_)) => false,
        }
    }
}

/// Decides about a request that has just arrived with the API key `key`. `route` is `None` for a call
/// about a batch job, which always needs a key.
///
/// While the configuration is stale, a request on a public route is treated as one without a key: it is
/// unknown whether its key is valid, and the route serves callers without one.
pub fn decide(
    table: &Table,
    route: Option<&Route>,
    key: Option<Digest>,
    freshness: Freshness,
) -> Verdict {
    let is_public = route.is_some_and(|route| route.is_public);
    judge(table, key, is_public, freshness)
}

/// Decides again about a request that has waited since its grant. The workspace of a request never
/// changes: a grant becomes invalid when the key has been removed or has moved to another workspace.
pub fn recheck(table: &Table, grant: &Grant, freshness: Freshness) -> Verdict {
    let Basis::Caller { key, is_public } = grant.basis else {
        return Verdict::Granted(grant.clone());
    };
    let (name, directory) = match (&grant.identity, table.workspaces()) {
        (Identity::Unrestricted, Some(_)) => return judge(table, key, is_public, freshness),
        (Identity::Workspace(name), Some(directory)) => (name, directory),
        // A configuration without workspaces serves all callers.
        (_, None) | (Identity::Anonymous, _) => return Verdict::Granted(grant.clone()),
    };
    let workspace = key.and_then(|key| directory.identify(&key));
    match (workspace, freshness) {
        (Some(workspace), Freshness::Stale { retry_after })
            if workspace.name == *name && !is_public =>
        {
            Verdict::Stale { retry_after }
        }
        (Some(workspace), _) if workspace.name == *name => Verdict::Granted(grant.clone()),
        _ => Verdict::Unauthorized,
    }
}

fn judge(table: &Table, key: Option<Digest>, is_public: bool, freshness: Freshness) -> Verdict {
    let basis = Basis::Caller { key, is_public };
    let Some(directory) = table.workspaces() else {
        return Grant::for_caller(Identity::Unrestricted, None, basis);
    };
    let find = || key.and_then(|key| directory.identify(&key));
    match identify(find, key.is_some(), is_public, freshness) {
        Ok(Some(Workspace { name, priority, .. })) => {
            Grant::for_caller(Identity::Workspace(name.clone()), *priority, basis)
        }
        Ok(None) => Grant::for_caller(Identity::Anonymous, None, basis),
        Err(Denial::Unauthorized) => Verdict::Unauthorized,
        Err(Denial::Stale { retry_after }) => Verdict::Stale { retry_after },
    }
}

/// Returns the workspace of a request, or `None` if it has none and needs none.
fn identify<'a>(
    find: impl FnOnce() -> Option<&'a Workspace>,
    has_key: bool,
    is_public: bool,
    freshness: Freshness,
) -> Result<Option<&'a Workspace>> {
    let known = match freshness {
        Freshness::Fresh => find(),
        Freshness::Stale { retry_after } if has_key && !is_public => {
            return Err(Denial::Stale { retry_after });
        }
        Freshness::Stale { .. } => None,
    };
    match known {
        None if !is_public => Err(Denial::Unauthorized),
        known => Ok(known),
    }
}

/// Returns on whose behalf a request with a valid key of `workspace`, or without a key, would be sent, and
/// with which priority. Unlike [`decide`] it makes no grant, so that nothing can be sent by it.
///
/// # Errors
///
/// Returns why the request would not be sent.
pub fn preview(
    table: &Table,
    route: &Route,
    workspace: Option<&str>,
    freshness: Freshness,
) -> Result<(Identity, u8)> {
    let Some(directory) = table.workspaces() else {
        return Ok((Identity::Unrestricted, route.priority));
    };
    let find = || workspace.and_then(|name| directory.find(name));
    let known = identify(find, workspace.is_some(), route.is_public, freshness)?;
    Ok(match known {
        Some(Workspace { name, priority, .. }) => (
            Identity::Workspace(name.clone()),
            priority.unwrap_or(route.priority),
        ),
        None => (Identity::Anonymous, route.priority),
    })
}
