//! What comes before the first write of a publication: check, parent, record.

use std::time::Duration;

use error_stack::ResultExt;
use shallotroute_config::{
    api::{self, Outcome, Submission},
    bundle::{Bundle, Head, Header},
    check::{self, Checked},
    difference,
    finding::{Finding, has_errors},
    publication::Plan,
    set::Set,
    snapshot::{Changes, Snapshot},
};
use shallotroute_types::name::Name;
use tokio::time::timeout;

use super::{Publisher, ended, not_published};
use crate::error::{Error, Result};

/// How long reading the difference to the winner of a race may take.
const DIFFERENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The first try to read the head and what it names; the next one comes after it failed.
const READ_ATTEMPTS: u32 = 3;

/// What a submission leads to before anything is written.
pub(super) enum Preparation {
    /// It may be written.
    Ready(Box<Prepared>),
    /// It has its result.
    Ended(Box<api::Publication>),
}

/// A publication that may be written.
pub(super) struct Prepared {
    pub(super) plan: Plan,
    pub(super) base: Set,
    pub(super) changes: Changes,
    pub(super) findings: Vec<Finding>,
}

/// The newest revision.
struct Newest {
    version: u64,
    head: Head,
    snapshot: Option<Snapshot>,
}

impl Publisher {
    /// Checks a submission and makes its record.
    pub(super) async fn prepare(
        &self,
        author: Name,
        submission: Submission,
    ) -> Result<Preparation> {
        let checked = match submission.rollback {
            None => check::files(&submission.files),
            Some(_) => Checked::default(),
        };
        let stop = |publication: api::Publication, findings: Vec<Finding>| {
            let publication = api::Publication {
                findings,
                ..publication
            };
            Ok(Preparation::Ended(Box::new(publication)))
        };
        let identity = submission.publication.clone();
        if has_errors(&checked.findings) {
            return stop(ended(&identity, Outcome::Rejected), checked.findings);
        }
        let newest = self.newest().await?;
        if let Some(revision) = self.find(&newest.head, &identity).await? {
            return stop(
                ended(&identity, Outcome::Published { revision }),
                checked.findings,
            );
        }
        if let Some(parent) = submission.parent
            && parent != newest.head.revision
        {
            let base = self.repository.at(&newest.head, parent).await?;
            let base = base.map(|snapshot| snapshot.set).unwrap_or_default();
            let conflict = self.conflict(&newest.head, &base).await;
            return stop(ended(&identity, conflict), checked.findings);
        }
        let set = match submission.rollback {
            None => checked.set,
            Some(target) => match self.repository.at(&newest.head, target).await? {
                Some(snapshot) => snapshot.set,
                None => {
                    let reason = format!("there is no revision {target}");
                    return stop(not_published(&identity, &reason), checked.findings);
                }
            },
        };
        let header = Header {
            publication: identity,
            author,
            at: self.clock.wall(),
            reason: submission.reason,
            warnings: checked.findings.iter().map(ToString::to_string).collect(),
        };
        plan(newest, &set, header, checked.findings)
    }

    /// Returns what won over a publication that is based on `base`.
    pub(super) async fn conflict(&self, winner: &Head, base: &Set) -> Outcome {
        let read = timeout(DIFFERENCE_TIMEOUT, self.repository.snapshot(winner)).await;
        let snapshot = read.ok().and_then(|read| read.ok()).flatten();
        Outcome::Conflict {
            winner: winner.revision,
            author: snapshot
                .as_ref()
                .map(|snapshot| snapshot.record.author.clone()),
            difference: snapshot
                .map(|snapshot| difference::between(base, &snapshot.set))
                .unwrap_or_default(),
        }
    }

    async fn newest(&self) -> Result<Newest> {
        let mut attempt = 1;
        loop {
            match self.read_newest().await {
                Ok(newest) => return Ok(newest),
                Err(report) if attempt == READ_ATTEMPTS => return Err(report),
                Err(_) => attempt += 1,
            }
        }
    }

    async fn read_newest(&self) -> Result<Newest> {
        let (version, head) = self.repository.head().await?;
        let snapshot = self.repository.snapshot(&head).await?;
        Ok(Newest {
            version,
            head,
            snapshot,
        })
    }
}

fn plan(newest: Newest, set: &Set, header: Header, findings: Vec<Finding>) -> Result<Preparation> {
    let identity = header.publication.clone();
    let malformed = || Error::Malformed("the set".into());
    let bundle =
        Bundle::new(newest.snapshot.as_ref(), set, header).change_context_lazy(malformed)?;
    let changes = bundle.record().change_context_lazy(malformed)?.changes;
    if changes == Changes::default() {
        let revision = newest.head.revision;
        let reason = format!("revision {revision} has the same objects");
        let publication = api::Publication {
            findings,
            ..not_published(&identity, &reason)
        };
        return Ok(Preparation::Ended(Box::new(publication)));
    }
    Ok(Preparation::Ready(Box::new(Prepared {
        plan: Plan {
            publication: identity,
            parent: newest.head,
            version: newest.version,
            bundle,
        },
        base: newest.snapshot.map(|parent| parent.set).unwrap_or_default(),
        changes,
        findings,
    })))
}
