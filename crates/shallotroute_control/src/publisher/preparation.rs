//! Prepares a publication before its first write: checks the submission, reads the parent and
//! creates the record.

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

use super::{Publisher, not_published, publication_with};
use crate::error::{Error, Result};

/// The timeout of reading the revision that won over a publication, for the difference to it.
const DIFFERENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of the preparation.
pub(super) enum Preparation {
    /// The publication may be written.
    Ready(Box<Prepared>),
    /// The publication ends with this result; nothing is written.
    Ended(Box<api::Publication>),
}

/// A publication that may be written.
pub(super) struct Prepared {
    pub(super) plan: Plan,
    /// The parent's set, with which the winner of a conflict is compared.
    pub(super) base_set: Set,
    pub(super) changes: Changes,
    pub(super) findings: Vec<Finding>,
}

/// The end of the chain of revisions.
struct Tip {
    /// The version of the head's key; 0 if the key has no value.
    version: u64,
    head: Head,
    /// The newest revision; `None` before the first publication.
    snapshot: Option<Arc<Snapshot>>,
}

impl Publisher {
    /// Checks a submission and creates its record and parts.
    ///
    /// # Errors
    ///
    /// Returns an error if the key-value service can't be read or the set can't be encoded.
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
            let rejected = publication_with(&identity, Outcome::Rejected);
            return Ok(ended_early(rejected, checked.findings));
        }
        let tip = self.read_tip().await?;
        if let Some(result) = self.known_outcome(&submission, &tip.head).await? {
            return Ok(ended_early(
                publication_with(&identity, result),
                checked.findings,
            ));
        }
        let set = match submission.rollback {
            None => Some(checked.set),
            Some(target) => {
                let snapshot = self.repository.snapshot_at(&tip.head, target).await?;
                snapshot.map(|snapshot| snapshot.set.clone())
            }
        };
        let Some(set) = set else {
            let missing = not_published(&identity, "there is no such revision to return to");
            return Ok(ended_early(missing, checked.findings));
        };
        let metadata = Metadata {
            publication: identity,
            author,
            at: self.clock.wall_time(),
            reason: submission.reason,
            warnings: checked.findings.iter().map(ToString::to_string).collect(),
        };
        plan_write(tip, &set, metadata, checked.findings)
    }

    /// Returns the outcome if the chain that ends at `head` determines it: the publication is in
    /// the chain already, or the operator's change is based on an older revision.
    async fn known_outcome(&self, submission: &Submission, head: &Head) -> Result<Option<Outcome>> {
        if let Some(revision) = self.find_publication(head, &submission.publication).await? {
            return Ok(Some(Outcome::Published { revision }));
        }
        match submission.parent {
            Some(parent) if parent != head.revision => {
                let base_set = self.repository.snapshot_at(head, parent).await?;
                let base_set = base_set
                    .map(|snapshot| snapshot.set.clone())
                    .unwrap_or_default();
                Ok(Some(self.conflict(head, &base_set).await))
            }
            Some(_) | None => Ok(None),
        }
    }

    /// Returns the conflict of a publication based on `base_set` with the revision of `winner`.
    /// Omits author and difference if that revision can't be read in time.
    pub(super) async fn conflict(&self, winner: &Head, base_set: &Set) -> Outcome {
        let read = timeout(DIFFERENCE_TIMEOUT, self.repository.head_snapshot(winner)).await;
        let snapshot = read.ok().and_then(|read| read.ok()).flatten();
        Outcome::Conflict {
            winner: winner.revision,
            author: snapshot
                .as_ref()
                .map(|snapshot| snapshot.record.author.clone()),
            difference: snapshot
                .map(|snapshot| difference::between(base_set, &snapshot.set))
                .unwrap_or_default(),
        }
    }

    async fn read_tip(&self) -> Result<Tip> {
        let (version, head) = self.repository.head().await?;
        let snapshot = self.repository.head_snapshot(&head).await?;
        Ok(Tip {
            version,
            head,
            snapshot,
        })
    }
}

/// Creates the preparation of a publication that ends without a write.
fn ended_early(publication: api::Publication, findings: Vec<Finding>) -> Preparation {
    Preparation::Ended(Box::new(api::Publication {
        findings,
        ..publication
    }))
}

/// Encodes a set as the successor of `tip`. A set without changes ends the publication.
fn plan_write(
    tip: Tip,
    set: &Set,
    metadata: Metadata,
    findings: Vec<Finding>,
) -> Result<Preparation> {
    let identity = metadata.publication.clone();
    let malformed = || Error::Malformed("the set".into());
    let bundle =
        Bundle::new(tip.snapshot.as_deref(), set, metadata).change_context_lazy(malformed)?;
    let changes = bundle.record().change_context_lazy(malformed)?.changes;
    if changes == Changes::default() {
        let revision = tip.head.revision;
        let reason = format!("revision {revision} has the same objects");
        return Ok(ended_early(not_published(&identity, &reason), findings));
    }
    let parts = tip.snapshot.as_ref().map(|parent| &parent.record.parts);
    Ok(Preparation::Ready(Box::new(Prepared {
        plan: Plan {
            stored: parts.cloned().unwrap_or_default(),
            publication: identity,
            parent: tip.head,
            version: tip.version,
            bundle,
        },
        base_set: tip
            .snapshot
            .map(|parent| parent.set.clone())
            .unwrap_or_default(),
        changes,
        findings,
    })))
}
