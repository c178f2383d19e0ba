//! What comes before the first write of a publication: check, parent, record.

use std::{sync::Arc, time::Duration};

use error_stack::ResultExt;
use shallotroute_config::{
    api::{self, Outcome, Submission},
    bundle::{Bundle, Head, Metadata},
    check::{self, Validation},
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
    snapshot: Option<Arc<Snapshot>>,
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
            Some(_) => Validation::default(),
        };
        let identity = submission.publication.clone();
        if has_errors(&checked.findings) {
            let rejected = ended(&identity, Outcome::Rejected);
            return Ok(stop(rejected, checked.findings));
        }
        let newest = self.newest().await?;
        if let Some(result) = self.decided(&submission, &newest.head).await? {
            return Ok(stop(ended(&identity, result), checked.findings));
        }
        let set = match submission.rollback {
            None => Some(checked.set),
            Some(target) => {
                let snapshot = self.repository.at(&newest.head, target).await?;
                snapshot.map(|snapshot| snapshot.set.clone())
            }
        };
        let Some(set) = set else {
            let missing = not_published(&identity, "there is no such revision to return to");
            return Ok(stop(missing, checked.findings));
        };
        let metadata = Metadata {
            publication: identity,
            author,
            at: self.clock.wall_time(),
            reason: submission.reason,
            warnings: checked.findings.iter().map(ToString::to_string).collect(),
        };
        plan(newest, &set, metadata, checked.findings)
    }

    /// Returns the result that the chain alone decides: the publication is in it already, or the
    /// operator's change is based on an older revision.
    async fn decided(&self, submission: &Submission, head: &Head) -> Result<Option<Outcome>> {
        if let Some(revision) = self.find(head, &submission.publication).await? {
            return Ok(Some(Outcome::Published { revision }));
        }
        match submission.parent {
            Some(parent) if parent != head.revision => {
                let base = self.repository.at(head, parent).await?;
                let base = base
                    .map(|snapshot| snapshot.set.clone())
                    .unwrap_or_default();
                Ok(Some(self.conflict(head, &base).await))
            }
            Some(_) | None => Ok(None),
        }
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
        let (version, head) = self.repository.head().await?;
        let snapshot = self.repository.snapshot(&head).await?;
        Ok(Newest {
            version,
            head,
            snapshot,
        })
    }
}

fn stop(publication: api::Publication, findings: Vec<Finding>) -> Preparation {
    Preparation::Ended(Box::new(api::Publication {
        findings,
        ..publication
    }))
}

fn plan(
    newest: Newest,
    set: &Set,
    metadata: Metadata,
    findings: Vec<Finding>,
) -> Result<Preparation> {
    let identity = metadata.publication.clone();
    let malformed = || Error::Malformed("the set".into());
    let bundle =
        Bundle::new(newest.snapshot.as_deref(), set, metadata).change_context_lazy(malformed)?;
    let changes = bundle.record().change_context_lazy(malformed)?.changes;
    if changes == Changes::default() {
        let revision = newest.head.revision;
        let reason = format!("revision {revision} has the same objects");
        return Ok(stop(not_published(&identity, &reason), findings));
    }
    let parts = newest.snapshot.as_ref().map(|parent| &parent.record.parts);
    Ok(Preparation::Ready(Box::new(Prepared {
        plan: Plan {
            stored: parts.cloned().unwrap_or_default(),
            publication: identity,
            parent: newest.head,
            version: newest.version,
            bundle,
        },
        base: newest
            .snapshot
            .map(|parent| parent.set.clone())
            .unwrap_or_default(),
        changes,
        findings,
    })))
}
