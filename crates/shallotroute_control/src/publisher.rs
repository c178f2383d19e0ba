//! Publishes operators' submissions and determines the outcome of each publication.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rand_chacha::ChaCha8Rng;
use shallotroute_config::{
    api::{self, Outcome, Submission},
    bundle::{HEAD_KEY, Head},
    difference,
    publication::{TIMEOUT, WriteResult},
    set::Set,
    snapshot::Changes,
};
use shallotroute_types::{clock::Clock, name::Name, revision::Revision};
use tokio::{sync::watch, time::timeout};

use crate::{adopter::Adopter, error::Result, metric::Metrics, repository::Repository};

mod driver;
mod preparation;

use preparation::Preparation;

/// The maximum difference between the operator's clock and the node's.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// The age above which no node can still be writing a publication: the allowance for the clocks of
/// the operator and of both nodes, the timeout of a publication, and a margin.
const MAX_ACTIVE_AGE: Duration = Duration::from_secs(300);

/// The maximum number of attempts to prepare a publication. One response in ten may be lost.
const MAX_PREPARATION_ATTEMPTS: u32 = 4;

/// The delay before the next attempt to prepare a publication. Together the delays are longer than
/// the back-off after an outage, during which reads fail at once.
const PREPARATION_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of publications whose results are cached.
const MAX_RESULTS: usize = 1024;

/// The result of a publication; `None` while it is in progress.
type Progress = Option<api::Publication>;

/// Runs the publications that operators submit to this node and caches their results.
pub(crate) struct Publisher {
    repository: Arc<Repository>,
    adopter: Arc<Adopter>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    rng: Mutex<ChaCha8Rng>,
    results: Mutex<Results>,
}

/// The cached publications, by identity.
#[derive(Default)]
struct Results {
    by_identity: HashMap<String, watch::Receiver<Progress>>,
    /// The identities in the order of submission, oldest first.
    submission_order: VecDeque<String>,
}

impl Publisher {
    pub(crate) fn new(
        repository: Arc<Repository>,
        adopter: Arc<Adopter>,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        rng: ChaCha8Rng,
    ) -> Self {
        Self {
            repository,
            adopter,
            clock,
            metrics,
            rng: Mutex::new(rng),
            results: Mutex::default(),
        }
    }

    /// Returns the reason why a submission is invalid; `None` if it may be submitted.
    pub(crate) fn rejection_reason(&self, submission: &Submission) -> Option<String> {
        let Some(time) = creation_time(&submission.publication) else {
            return Some("`publication` should be a UUID of version 7".into());
        };
        let skew = self
            .clock
            .wall_time()
            .duration_since(time)
            .unwrap_or_else(|error| error.duration());
        if skew > MAX_CLOCK_SKEW {
            let seconds = skew.as_secs();
            return Some(format!(
                "the identity is {seconds} s away from this node's clock; make a new one"
            ));
        }
        if submission.reason.trim().is_empty() {
            return Some("a publication needs a reason".into());
        }
        (submission.rollback.is_some() && !submission.files.is_empty())
            .then(|| "a roll-back takes no files".into())
    }

    /// Publishes a submission and returns the result. If a publication with the same identity is in
    /// progress or cached, returns the result of that one. The publication continues if the caller
    /// drops the future.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        author: Name,
        submission: Submission,
    ) -> api::Publication {
        let identity = submission.publication.clone();
        let (sender, mut state) = self.register(&identity);
        if let Some(sender) = sender {
            let publisher = Arc::clone(self);
            tokio::spawn(async move { publisher.run(author, submission, &sender).await });
        }
        let progress = state.wait_for(Option::is_some).await;
        let progress = progress.ok().and_then(|state| state.clone());
        progress.unwrap_or_else(|| unknown_result(&identity))
    }

    /// Returns the result of a publication as far as it can be determined.
    ///
    /// # Errors
    ///
    /// Returns an error if the key-value service can't be read. A failed write makes the result
    /// unknown instead.
    pub(crate) async fn lookup(&self, identity: &str) -> Result<api::Publication> {
        let cached = self.lock().by_identity.get(identity).cloned();
        if let Some(state) = cached {
            let state = state.borrow().clone();
            return Ok(state.unwrap_or_else(|| unknown_result(identity)));
        }
        let (version, head) = self.repository.head().await?;
        if let Some(revision) = self.find_publication(&head, identity).await? {
            return Ok(publication_with(identity, Outcome::Published { revision }));
        }
        let now = self.clock.wall_time();
        let is_inactive = creation_time(identity)
            .and_then(|time| now.duration_since(time).ok())
            .is_some_and(|age| age > MAX_ACTIVE_AGE);
        if !is_inactive {
            return Ok(unknown_result(identity));
        }
        // A lost write of the head may still be in flight. A barrier write, which rewrites the head
        // with the same content, increases the version, so the lost write can't take effect
        // afterwards.
        let barrier = self
            .repository
            .write(HEAD_KEY, version, head.to_bytes())
            .await;
        let revision = head.revision;
        Ok(match barrier {
            WriteResult::Done => not_published(
                identity,
                &format!("it is not in the chain that ends at revision {revision}"),
            ),
            WriteResult::Conflict | WriteResult::NotRun | WriteResult::Lost => {
                unknown_result(identity)
            }
        })
    }

    /// Returns the newest revision and the changes from it to `set`.
    pub(crate) async fn compare(&self, set: &Set) -> Result<(Revision, Changes)> {
        let (_, head) = self.repository.head().await?;
        let parent = self.repository.head_snapshot(&head).await?;
        let empty = Set::default();
        let changes = difference::between(parent.as_ref().map_or(&empty, |old| &old.set), set);
        Ok((head.revision, changes))
    }

    /// Registers a publication. Returns the sender of its result only if it was not registered yet.
    fn register(
        &self,
        identity: &str,
    ) -> (Option<watch::Sender<Progress>>, watch::Receiver<Progress>) {
        let mut results = self.lock();
        if let Some(receiver) = results.by_identity.get(identity) {
            return (None, receiver.clone());
        }
        let (sender, receiver) = watch::channel(None);
        results
            .by_identity
            .insert(identity.to_owned(), receiver.clone());
        results.submission_order.push_back(identity.to_owned());
        if results.submission_order.len() > MAX_RESULTS
            && let Some(oldest) = results.submission_order.pop_front()
        {
            results.by_identity.remove(&oldest);
        }
        (Some(sender), receiver)
    }

    async fn run(&self, author: Name, submission: Submission, sender: &watch::Sender<Progress>) {
        let identity = submission.publication.clone();
        let deadline = self.clock.now() + TIMEOUT;
        let read_failure = "the key-value service could not be read; nothing was written";
        match timeout(TIMEOUT, self.prepare_with_retries(author, submission)).await {
            Ok(Ok(Preparation::Ready(prepared))) => {
                self.publish(&identity, *prepared, deadline, sender).await;
            }
            Ok(Ok(Preparation::Ended(publication))) => self.record_result(sender, *publication),
            Ok(Err(report)) => {
                spdlog::warn!("failed to prepare publication {}: {:?}", identity, report);
                self.record_result(sender, not_published(&identity, read_failure));
            }
            Err(_) => self.record_result(sender, not_published(&identity, read_failure)),
        }
    }

    /// Prepares a publication, with retries after failed reads; writes nothing.
    async fn prepare_with_retries(
        &self,
        author: Name,
        submission: Submission,
    ) -> Result<Preparation> {
        let mut attempt = 1;
        loop {
            match self.prepare(author.clone(), submission.clone()).await {
                Err(report) if attempt < MAX_PREPARATION_ATTEMPTS => {
                    spdlog::debug!(
                        "attempt {} to prepare a publication failed: {:?}",
                        attempt,
                        report
                    );
                    attempt += 1;
                    tokio::time::sleep(PREPARATION_RETRY_DELAY).await;
                }
                result => return result,
            }
        }
    }

    /// Counts, logs and sends the result of a publication.
    fn record_result(&self, sender: &watch::Sender<Progress>, publication: api::Publication) {
        let result = match &publication.result {
            Outcome::Published { .. } => "published",
            Outcome::Rejected => "rejected",
            Outcome::Conflict { .. } => "conflict",
            Outcome::NotPublished { .. } => "not_published",
            Outcome::Unknown { .. } => "unknown",
        };
        self.metrics.count_publication(result);
        spdlog::info!("publication {} ended: {}", publication.publication, result);
        sender.send_replace(Some(publication));
    }

    /// Returns the revision that a publication created; `None` if it is not in the chain that ends
    /// at `head`. The search stops at records that are more than [`MAX_ACTIVE_AGE`] older than the
    /// identity.
    async fn find_publication(&self, head: &Head, identity: &str) -> Result<Option<Revision>> {
        let oldest = creation_time(identity).map(|time| time - MAX_ACTIVE_AGE);
        let mut next = head.record.clone();
        while let Some(hash) = next {
            let record = self.repository.record(&hash).await?;
            if record.publication == identity {
                return Ok(Some(record.revision));
            }
            let is_too_old = oldest.is_some_and(|oldest| record.at < oldest);
            next = record.parent.filter(|_| !is_too_old);
        }
        Ok(None)
    }

    fn lock(&self) -> MutexGuard<'_, Results> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the creation time of a version 7 UUID, whose first 48 bits are milliseconds since the
/// Unix epoch (RFC 9562, section 5.7). Returns `None` if `identity` is not such a UUID.
fn creation_time(identity: &str) -> Option<SystemTime> {
    let digits: Vec<u8> = identity.bytes().filter(|byte| *byte != b'-').collect();
    let is_hex = digits.iter().all(u8::is_ascii_hexdigit);
    if identity.len() != 36 || digits.len() != 32 || !is_hex || digits[12] != b'7' {
        return None;
    }
    let text = std::str::from_utf8(&digits[..12]).ok()?;
    let millis = u64::from_str_radix(text, 16).ok()?;
    Some(UNIX_EPOCH + Duration::from_millis(millis))
}

fn publication_with(identity: &str, result: Outcome) -> api::Publication {
    api::Publication {
        publication: identity.to_owned(),
        result,
        findings: Vec::new(),
        changes: Changes::default(),
    }
}

fn not_published(identity: &str, reason: &str) -> api::Publication {
    let reason = reason.to_owned();
    publication_with(identity, Outcome::NotPublished { reason })
}

fn unknown_result(identity: &str) -> api::Publication {
    let command = format!("shallotctl status --publication {identity}");
    publication_with(identity, Outcome::Unknown { command })
}
