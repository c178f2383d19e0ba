//! Takes operators' publications and finds out what became of them.

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

/// How much the operator's clock may differ from the node's.
const CLOCK_ALLOWANCE: Duration = Duration::from_secs(60);

/// The age from which a publication can't be under way at any node: the allowance for the clocks of
/// the operator and of both nodes, the time limit, and a margin.
const SETTLED_AGE: Duration = Duration::from_secs(300);

/// How often a publication is prepared before it is given up. An answer in ten may be lost.
const PREPARATIONS: u32 = 4;

/// The pause before a publication is prepared again: together the pauses outlast the backoff of calls
/// after an outage, in which a read is refused at once.
const PREPARATION_PAUSE: Duration = Duration::from_millis(500);

/// How many results are kept.
const MAX_RESULTS: usize = 1024;

/// The state of a publication; none while it is under way.
type State = Option<api::Publication>;

/// The publications that this node was asked for.
pub(crate) struct Publisher {
    repository: Arc<Repository>,
    adopter: Arc<Adopter>,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    rng: Mutex<ChaCha8Rng>,
    results: Mutex<Results>,
}

#[derive(Default)]
struct Results {
    by_identity: HashMap<String, watch::Receiver<State>>,
    order: VecDeque<String>,
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

    /// Tells why a submission can't be taken, if it can't.
    pub(crate) fn fault(&self, submission: &Submission) -> Option<String> {
        let Some(time) = creation_time(&submission.publication) else {
            return Some("`publication` should be a UUID of version 7".into());
        };
        let apart = self
            .clock
            .wall_time()
            .duration_since(time)
            .unwrap_or_else(|error| error.duration());
        if apart > CLOCK_ALLOWANCE {
            let seconds = apart.as_secs();
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

    /// Publishes, or waits for the same publication under way. The publication goes on when the
    /// caller stops waiting.
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
        let ended = state.wait_for(Option::is_some).await;
        let ended = ended.ok().and_then(|state| state.clone());
        ended.unwrap_or_else(|| unknown(&identity))
    }

    /// Finds out what became of a publication.
    pub(crate) async fn lookup(&self, identity: &str) -> Result<api::Publication> {
        let kept = self.lock().by_identity.get(identity).cloned();
        if let Some(state) = kept {
            let state = state.borrow().clone();
            return Ok(state.unwrap_or_else(|| unknown(identity)));
        }
        let (version, head) = self.repository.head().await?;
        if let Some(revision) = self.find(&head, identity).await? {
            return Ok(ended(identity, Outcome::Published { revision }));
        }
        let now = self.clock.wall_time();
        let settled = creation_time(identity)
            .and_then(|time| now.duration_since(time).ok())
            .is_some_and(|age| age > SETTLED_AGE);
        if !settled {
            return Ok(unknown(identity));
        }
        // A lost write may still be under way; after a barrier write it fails.
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
            WriteResult::Conflict | WriteResult::NotRun | WriteResult::Lost => unknown(identity),
        })
    }

    /// Compares a set with the newest revision.
    pub(crate) async fn compare(&self, set: &Set) -> Result<(Revision, Changes)> {
        let (_, head) = self.repository.head().await?;
        let parent = self.repository.snapshot(&head).await?;
        let empty = Set::default();
        let changes = difference::between(parent.as_ref().map_or(&empty, |old| &old.set), set);
        Ok((head.revision, changes))
    }

    /// Notes a publication; the sender is present if it was not noted before.
    fn register(&self, identity: &str) -> (Option<watch::Sender<State>>, watch::Receiver<State>) {
        let mut results = self.lock();
        if let Some(receiver) = results.by_identity.get(identity) {
            return (None, receiver.clone());
        }
        let (sender, receiver) = watch::channel(None);
        results
            .by_identity
            .insert(identity.to_owned(), receiver.clone());
        results.order.push_back(identity.to_owned());
        if results.order.len() > MAX_RESULTS
            && let Some(oldest) = results.order.pop_front()
        {
            results.by_identity.remove(&oldest);
        }
        (Some(sender), receiver)
    }

    async fn run(&self, author: Name, submission: Submission, sender: &watch::Sender<State>) {
        let identity = submission.publication.clone();
        let deadline = self.clock.now() + TIMEOUT;
        let unreadable = "the key-value service could not be read; nothing was written";
        match timeout(TIMEOUT, self.prepare_again(author, submission)).await {
            Ok(Ok(Preparation::Ready(prepared))) => {
                self.publish(&identity, *prepared, deadline, sender).await;
            }
            Ok(Ok(Preparation::Ended(publication))) => self.end(sender, *publication),
            Ok(Err(report)) => {
                spdlog::warn!("publication {} could not begin: {:?}", identity, report);
                self.end(sender, not_published(&identity, unreadable));
            }
            Err(_) => self.end(sender, not_published(&identity, unreadable)),
        }
    }

    /// Prepares a publication, again after a failed read; nothing is written yet.
    async fn prepare_again(&self, author: Name, submission: Submission) -> Result<Preparation> {
        let mut attempt = 1;
        loop {
            match self.prepare(author.clone(), submission.clone()).await {
                Err(report) if attempt < PREPARATIONS => {
                    spdlog::debug!("preparation {} failed: {:?}", attempt, report);
                    attempt += 1;
                    tokio::time::sleep(PREPARATION_PAUSE).await;
                }
                result => return result,
            }
        }
    }

    /// Records the result of a publication.
    fn end(&self, sender: &watch::Sender<State>, publication: api::Publication) {
        let result = match &publication.result {
            Outcome::Published { .. } => "published",
            Outcome::Rejected => "rejected",
            Outcome::Conflict { .. } => "conflict",
            Outcome::NotPublished { .. } => "not_published",
            Outcome::Unknown { .. } => "unknown",
        };
        self.metrics.published(result);
        spdlog::info!("publication {} ended: {}", publication.publication, result);
        sender.send_replace(Some(publication));
    }

    /// Returns the revision of a publication that is in the chain below `head`.
    async fn find(&self, head: &Head, identity: &str) -> Result<Option<Revision>> {
        let oldest = creation_time(identity).map(|time| time - SETTLED_AGE);
        let mut next = head.record.clone();
        while let Some(hash) = next {
            let record = self.repository.record(&hash).await?;
            if record.publication == identity {
                return Ok(Some(record.revision));
            }
            let older = oldest.is_some_and(|oldest| record.at < oldest);
            next = record.parent.filter(|_| !older);
        }
        Ok(None)
    }

    fn lock(&self) -> MutexGuard<'_, Results> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time in a UUID of version 7, whose first 48 bits are milliseconds since 1970
/// (RFC 9562, section 5.7).
fn creation_time(identity: &str) -> Option<SystemTime> {
    let digits: Vec<u8> = identity.bytes().filter(|byte| *byte != b'-').collect();
    let plain = digits.iter().all(u8::is_ascii_hexdigit);
    if identity.len() != 36 || digits.len() != 32 || !plain || digits[12] != b'7' {
        return None;
    }
    let text = std::str::from_utf8(&digits[..12]).ok()?;
    let millis = u64::from_str_radix(text, 16).ok()?;
    Some(UNIX_EPOCH + Duration::from_millis(millis))
}

fn ended(identity: &str, result: Outcome) -> api::Publication {
    api::Publication {
        publication: identity.to_owned(),
        result,
        findings: Vec::new(),
        changes: Changes::default(),
    }
}

fn not_published(identity: &str, reason: &str) -> api::Publication {
    let reason = reason.to_owned();
    ended(identity, Outcome::NotPublished { reason })
}

fn unknown(identity: &str) -> api::Publication {
    let command = format!("shallotctl status --publication {identity}");
    ended(identity, Outcome::Unknown { command })
}
