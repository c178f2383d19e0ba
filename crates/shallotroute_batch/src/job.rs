//! The state machine of a batch job at its owner.
//!
//! Decides which items generate at which servers, which outputs are scored, and which results are
//! committed next. The caller passes events and the time, and performs the returned actions.

mod event;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use shallotroute_types::{name::Name, version::Version};

pub use self::event::{
    Action, Choice, Discard, DiscardReason, Event, GenerationEnd, ItemCounts, Limits, Preference,
    ScoringEnd,
};
use crate::{
    item::{ItemState, Phase},
    record::{self, Checkpoint, CheckpointState, Chunk, ItemResult, Outcome, Specification},
};

/// The time for which the results of a complete group wait for others to be committed with them. Each
/// write is a call to the store, and trainers read about twice a second.
const COMMIT_DELAY: Duration = Duration::from_millis(250);

/// The time for which the results of an incomplete group wait; the trainer can't use them yet.
const INCOMPLETE_COMMIT_DELAY: Duration = Duration::from_millis(1000);

/// The delay before an item is retried after a server rejected it.
const REJECTION_RETRY_DELAY: Duration = Duration::from_millis(30);

/// The first back-off of an item after a failed attempt; each further failure doubles it.
const BACKOFF_MIN: Duration = Duration::from_millis(20);

/// The longest back-off of an item.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// The longest pause before a scoring request is repeated that had no usable response. A service that is
/// short got 180,354 rejected requests of 193,180 when each was repeated after [`BACKOFF_MIN`].
const SCORING_PAUSE_MAX: Duration = Duration::from_secs(1);

/// The maximum number of migrations of an item away from slow servers.
const MAX_MIGRATIONS: u32 = 3;

/// The minimum age of an attempt that is migrated away from a slow server. Shorter attempts end sooner
/// where they are.
const MIN_AGE_TO_MIGRATE: Duration = Duration::from_millis(250);

/// The time before the departure of a server at which its attempts are migrated, whatever they still need:
/// a resumption elsewhere takes about as long, and a lost connection is seen late.
const DEPARTURE_MARGIN: Duration = Duration::from_millis(400);

/// The number of new events after which an output is checkpointed again: some 400 ms of generation.
pub const CHECKPOINT_EVENTS: u64 = 10;

/// How long an item waits for servers of the software that generated its output while the time between
/// two events is unknown, as it is at a new owner: about the time that the shortest output with a
/// checkpoint took, see [`CHECKPOINT_EVENTS`].
const DEFAULT_SOFTWARE_WAIT: Duration = Duration::from_millis(500);

/// The longest wait of an item for servers of the software that generated its events. Items must not be at
/// no server for 5 s while others have free slots.
const MAX_SOFTWARE_WAIT: Duration = Duration::from_secs(2);

/// The maximum size of the outputs in one chunk, in bytes. As Base64 text the chunk stays below the
/// store's limit of one megabyte.
const MAX_CHUNK_BYTES: usize = 500 << 10;

/// The state of a batch job at its owner.
#[derive(Debug)]
pub struct Job {
    specification: Arc<Specification>,
    items: Vec<ItemState>,
    /// The committed results, by position.
    results: Vec<ItemResult>,
    /// The items of the attempts in progress, by attempt number.
    attempts: BTreeMap<u64, usize>,
    next_attempt: u64,
    /// The chunk whose write is in progress.
    writing: Option<Chunk>,
    /// The server of each group's last attempt, which has the group's prompt in its prefix cache.
    cached_on: BTreeMap<Name, Name>,
    /// The items by descending expected length of their outputs. A long output that starts late delays
    /// its whole group.
    start_order: Vec<usize>,
    abandon_at: Instant,
    is_stopped: bool,
    is_released: bool,
}

impl Job {
    /// Creates the state of a job from its committed results. Items that are unfinished at
    /// `abandon_at` are abandoned.
    pub fn new(
        specification: Arc<Specification>,
        results: Vec<ItemResult>,
        abandon_at: Instant,
    ) -> Self {
        let mut items: Vec<ItemState> = specification
            .items
            .iter()
            .map(|_| ItemState::new())
            .collect();
        let mut start_order: Vec<usize> = (0..items.len()).collect();
        start_order.sort_by_key(|index| {
            Reverse(
                specification.items[*index]
                    .expected_tokens
                    .unwrap_or_default(),
            )
        });
        for result in &results {
            if let Some(item) = items.get_mut(result.item as usize) {
                item.phase = Phase::Committed;
            }
        }
        Self {
            specification,
            items,
            results,
            attempts: BTreeMap::new(),
            next_attempt: 1,
            writing: None,
            cached_on: BTreeMap::new(),
            start_order,
            abandon_at,
            is_stopped: false,
            is_released: false,
        }
    }

    /// Returns the outputs in progress that have at least `min_events` events.
    pub fn partial_outputs(&self, min_events: u64) -> Vec<Checkpoint> {
        let is_long = |(_, item): &(usize, &ItemState)| item.last_event >= min_events;
        self.items
            .iter()
            .enumerate()
            .filter(is_long)
            .filter_map(|(index, item)| {
                Some(Checkpoint {
                    item: u32::try_from(index).unwrap_or(u32::MAX),
                    state: item.partial()?,
                })
            })
            .collect()
    }

    /// Restores the progress of uncommitted items from checkpoints of a former owner. The one with the
    /// most progress wins. Call it before the first [`Job::advance`]: an item that has started keeps
    /// what it has.
    pub fn restore(&mut self, mut checkpoints: Vec<Checkpoint>, now: Instant) {
        checkpoints.sort_by_key(|checkpoint| Reverse(checkpoint.progress()));
        for checkpoint in checkpoints {
            if let Some(item) = self.items.get_mut(checkpoint.item as usize) {
                item.restore(checkpoint.state, now);
            }
        }
    }

    /// Returns the checkpoints to replicate to other nodes: of outputs that have grown by
    /// [`CHECKPOINT_EVENTS`] since their last checkpoint and, with `include_results`, of uncommitted
    /// outcomes. `replicated_progress` holds the progress of each item at its last checkpoint and is
    /// updated.
    pub fn checkpoints(
        &self,
        replicated_progress: &mut BTreeMap<u32, u64>,
        include_results: bool,
    ) -> Vec<Checkpoint> {
        let mut checkpoints = Vec::new();
        for (index, item) in self.items.iter().enumerate() {
            let state = match &item.phase {
                Phase::Ready { outcome, .. } if include_results => {
                    CheckpointState::Done(outcome.clone())
                }
                Phase::Ready { .. } | Phase::Committed => continue,
                _ => match item.partial() {
                    Some(partial) => partial,
                    None => continue,
                },
            };
            let checkpoint = Checkpoint {
                item: u32::try_from(index).unwrap_or(u32::MAX),
                state,
            };
            let last = replicated_progress.entry(checkpoint.item).or_default();
            let progress = checkpoint.progress();
            // An output that was discarded after its last checkpoint starts again.
            if progress < *last {
                *last = 0;
            }
            if progress > *last && progress >= last.saturating_add(CHECKPOINT_EVENTS) {
                *last = progress;
                checkpoints.push(checkpoint);
            }
        }
        checkpoints
    }

    /// Returns the specification; without payloads after [`Job::release_payloads`].
    pub fn specification(&self) -> &Arc<Specification> {
        &self.specification
    }

    /// Returns the committed results in the order of their positions.
    pub fn results(&self) -> &[ItemResult] {
        &self.results
    }

    /// Returns whether [`Job::stop`] was called.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Returns whether a chunk is being written. The store may already have its results.
    pub fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Returns whether the results of all items are committed.
    pub fn is_finished(&self) -> bool {
        self.results.len() == self.items.len()
    }

    /// Frees what only unfinished items need: outputs, bodies, headers and scoring requests. Call it
    /// once the job has ended or has another owner; its committed results stay readable.
    pub fn release_payloads(&mut self) {
        let without_payload = |item: &record::Item| record::Item {
            id: item.id.clone(),
            group: item.group.clone(),
            path: String::new(),
            headers: Vec::new(),
            body: Vec::new(),
            expected_tokens: item.expected_tokens,
            scorer: None,
        };
        let specification = &self.specification;
        self.specification = Arc::new(Specification {
            host: specification.host.clone(),
            path: specification.path.clone(),
            model: specification.model.clone(),
            items: specification.items.iter().map(without_payload).collect(),
            workspace: specification.workspace.clone(),
            ..**specification
        });
        self.items.iter_mut().for_each(ItemState::release);
        self.is_released = true;
    }

    /// Returns whether [`Job::release_payloads`] was called.
    pub fn has_released_payloads(&self) -> bool {
        self.is_released
    }

    /// Returns the numbers of the attempts in progress.
    pub fn active_attempts(&self) -> Vec<u64> {
        self.attempts.keys().copied().collect()
    }

    /// Returns the number of the last event of an attempt's item; 0 before the first and for an attempt
    /// that is not in progress.
    pub fn last_event(&self, attempt: u64) -> u64 {
        let index = self.attempts.get(&attempt);
        index.map_or(0, |index| self.items[*index].last_event)
    }

    /// Returns whether an attempt to score repeats one that had no usable response.
    pub fn is_scoring_repeated(&self, attempt: u64) -> bool {
        let index = self.attempts.get(&attempt);
        index.is_some_and(|index| self.items[*index].scoring_repeats > 0)
    }

    /// Returns the number of attempts in progress, to generate and to score.
    pub fn active_attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of items in each phase.
    pub fn item_counts(&self) -> ItemCounts {
        let mut counts = ItemCounts::default();
        for item in &self.items {
            match item.phase {
                Phase::Waiting { .. } => counts.waiting += 1,
                Phase::Generating(_) => counts.generating += 1,
                Phase::Unscored { .. } | Phase::Scoring { .. } => counts.scoring += 1,
                Phase::Ready { .. } => counts.ready += 1,
                Phase::Committed => counts.committed += 1,
            }
        }
        counts
    }

    /// Returns the number of items that generate or wait for a server.
    pub fn open_item_count(&self) -> usize {
        let is_open =
            |item: &&ItemState| matches!(item.phase, Phase::Waiting { .. } | Phase::Generating(_));
        self.items.iter().filter(is_open).count()
    }

    /// Returns the number of groups all of whose results are committed.
    pub fn complete_group_count(&self) -> usize {
        let mut has_open_item: BTreeMap<&Name, bool> = BTreeMap::new();
        for (item, state) in self.specification.items.iter().zip(&self.items) {
            *has_open_item.entry(&item.group).or_default() |= state.phase != Phase::Committed;
        }
        has_open_item
            .values()
            .filter(|has_open| !**has_open)
            .count()
    }

    /// Stops the job at this process: cancels all attempts, and starts no new ones.
    pub fn stop(&mut self) -> Vec<Action> {
        self.is_stopped = true;
        self.cancel_all()
    }

    /// Cancels all attempts, for instance when the job's route was removed. Their items keep their
    /// outputs and wait for another attempt.
    pub fn cancel_all(&mut self) -> Vec<Action> {
        let attempts: Vec<u64> = self.attempts.keys().copied().collect();
        for item in &mut self.items {
            match item.phase {
                Phase::Generating(_) => item.phase = Phase::Waiting { retry_at: None },
                Phase::Scoring { .. } => item.phase = Phase::Unscored { retry_at: None },
                _ => {}
            }
        }
        self.attempts.clear();
        attempts
            .into_iter()
            .map(|attempt| Action::Cancel { attempt })
            .collect()
    }

    /// Migrates stalled and slow attempts, starts new ones within `limits`, and abandons unfinished
    /// items once their time is over. Returns the actions to perform.
    ///
    /// `choose` returns the server for an item, or `None` if none is available. It must count the
    /// item at that server, as further calls in the same pass rely on it. A server that it returns has
    /// the software that the preference requires.
    pub fn advance(
        &mut self,
        limits: &Limits,
        now: Instant,
        choose: &mut dyn FnMut(&Preference<'_>) -> Option<Choice>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_stopped {
            return actions;
        }
        if now >= self.abandon_at {
            self.abandon_unfinished(now, &mut actions);
            return actions;
        }
        self.migrate_attempts(limits, now, &mut actions);
        self.start_scoring(limits, now, &mut actions);
        self.start_generating(limits, now, choose, &mut actions);
        actions
    }

    /// Processes an event of an attempt and returns the actions to perform. Events of attempts that are
    /// not in progress are ignored.
    pub fn handle_event(
        &mut self,
        attempt: u64,
        event: Event,
        limits: &Limits,
        now: Instant,
    ) -> Vec<Action> {
        let Some(&index) = self.attempts.get(&attempt) else {
            return Vec::new();
        };
        match event {
            Event::Generated {
                number,
                data,
                version,
            } => self.handle_generated(attempt, index, number, &data, version, limits, now),
            Event::GenerationEnded(generation_end) => {
                self.attempts.remove(&attempt);
                self.handle_generation_end(index, generation_end, limits, now)
                    .into_iter()
                    .collect()
            }
            Event::ScoringEnded(scoring_end) => {
                self.attempts.remove(&attempt);
                self.handle_scoring_end(index, scoring_end, limits, now);
                Vec::new()
            }
        }
    }

    /// Returns the next results to commit. Returns `None` while a write is in progress, while results
    /// wait for others to be committed with them, and once the job is stopped.
    ///
    /// The caller writes the chunk and then calls [`Job::commit_chunk`] or [`Job::abort_chunk`].
    pub fn next_chunk(&mut self, now: Instant) -> Option<Chunk> {
        if self.is_stopped || self.writing.is_some() || !self.should_commit(now) {
            return None;
        }
        let mut bytes = 0;
        let mut results = Vec::new();
        for (index, item) in self.items.iter().enumerate() {
            let Phase::Ready { outcome, .. } = &item.phase else {
                continue;
            };
            if let Outcome::Completed(sample) = outcome {
                bytes += sample.output.len();
            }
            if bytes > MAX_CHUNK_BYTES && !results.is_empty() {
                break;
            }
            results.push(ItemResult {
                item: u32::try_from(index).unwrap_or(u32::MAX),
                outcome: outcome.clone(),
            });
        }
        let chunk = Chunk {
            start: u32::try_from(self.results.len()).unwrap_or(u32::MAX),
            results,
        };
        self.writing = Some(chunk.clone());
        Some(chunk)
    }

    /// Records that the chunk in progress was written: its results are committed.
    pub fn commit_chunk(&mut self) {
        if let Some(chunk) = self.writing.take() {
            for result in chunk.results {
                if let Some(item) = self.items.get_mut(result.item as usize) {
                    item.phase = Phase::Committed;
                }
                self.results.push(result);
            }
        }
    }

    /// Records that the chunk in progress was not written and never will be.
    pub fn abort_chunk(&mut self) {
        self.writing = None;
    }

    /// Returns whether to commit now: the trainer can end the job with the results, no other will
    /// follow, or a result has waited for long enough.
    ///
    /// Trainers wait for a result to be committed, then pause before they read again. A result that is
    /// committed shortly before the one that lets them end the job delays the end by that pause.
    fn should_commit(&self, now: Instant) -> bool {
        let mut has_waited = false;
        let mut has_unfinished = false;
        let mut groups: BTreeMap<&Name, Group> = BTreeMap::new();
        for (item, state) in self.specification.items.iter().zip(&self.items) {
            let group = groups.entry(&item.group).or_default();
            match &state.phase {
                Phase::Ready { since, .. } => {
                    let wait = now.saturating_duration_since(*since);
                    group.longest_wait = group.longest_wait.max(Some(wait));
                }
                Phase::Committed => {}
                _ => {
                    has_unfinished = true;
                    group.has_unfinished = true;
                }
            }
        }
        let complete = groups.values().filter(|group| !group.has_unfinished);
        let can_end = complete.count() >= self.specification.wanted_groups as usize;
        let mut has_ready = false;
        let mut completes_group = false;
        for group in groups.values() {
            let Some(wait) = group.longest_wait else {
                continue;
            };
            has_ready = true;
            completes_group |= !group.has_unfinished;
            has_waited |= wait >= group.commit_delay();
        }
        has_waited || (has_ready && !has_unfinished) || (completes_group && can_end)
    }

    fn abandon_unfinished(&mut self, now: Instant, actions: &mut Vec<Action>) {
        actions.extend(self.cancel_all());
        for item in self.items.iter_mut().filter(|item| !item.has_outcome()) {
            item.abandon(now);
        }
    }

    /// Cancels stalled attempts, and attempts at slow or leaving servers as far as `limits` allow. Their items are
    /// resumed at other servers.
    fn migrate_attempts(&mut self, limits: &Limits, now: Instant, actions: &mut Vec<Action>) {
        let mut free_slots = limits.free_slots.clone();
        for (item, specification) in self.items.iter_mut().zip(&self.specification.items) {
            let Some(attempt) = item.attempt() else {
                continue;
            };
            let since = attempt.last_event_at.unwrap_or(attempt.started_at);
            let is_stalled = now.saturating_duration_since(since) >= limits.stall_timeout;
            let is_slow = item.migrations < MAX_MIGRATIONS
                && now.saturating_duration_since(attempt.started_at) >= MIN_AGE_TO_MIGRATE
                && limits.slow_servers.contains(&attempt.server);
            let left = limits.leaving_servers.get(&attempt.server);
            let must_leave = left.is_some_and(|left| {
                let needed = remaining_time(item, specification, limits.event_interval);
                *left < needed.unwrap_or_default().max(DEPARTURE_MARGIN)
            });
            if !is_stalled {
                if !(is_slow || must_leave) || !take_slot(&mut free_slots, item.software()) {
                    continue;
                }
                item.migrations += u32::from(!must_leave);
            }
            let Some(attempt) = item.attempt() else {
                continue;
            };
            let (number, server) = (attempt.number, attempt.server.clone());
            self.attempts.remove(&number);
            item.requeue(None, Some(server));
            actions.push(Action::Cancel { attempt: number });
        }
    }

    fn start_scoring(&mut self, limits: &Limits, now: Instant, actions: &mut Vec<Action>) {
        let is_scoring = |item: &&ItemState| matches!(item.phase, Phase::Scoring { .. });
        let mut active = self.items.iter().filter(is_scoring).count();
        let max_active = limits
            .max_scoring
            .min(active.saturating_add(limits.scoring_room));
        for (index, item) in self.items.iter_mut().enumerate() {
            let Phase::Unscored { retry_at } = item.phase else {
                continue;
            };
            if active >= max_active || retry_at.is_some_and(|until| now < until) {
                continue;
            }
            active += 1;
            let attempt = self.next_attempt;
            self.next_attempt += 1;
            item.phase = Phase::Scoring { attempt };
            self.attempts.insert(attempt, index);
            actions.push(Action::RequestScore {
                attempt,
                item: index,
            });
        }
    }

    fn start_generating(
        &mut self,
        limits: &Limits,
        now: Instant,
        choose: &mut dyn FnMut(&Preference<'_>) -> Option<Choice>,
        actions: &mut Vec<Action>,
    ) {
        let mut active = self
            .items
            .iter()
            .filter(|item| item.attempt().is_some())
            .count();
        let mut pass = Pass {
            limits,
            now,
            choose,
            exhausted: BTreeSet::new(),
            is_full: false,
        };
        for index in self.start_order.clone() {
            if active >= limits.max_generating {
                return;
            }
            let item = &mut self.items[index];
            match item.phase {
                Phase::Waiting { retry_at } if retry_at.is_none_or(|until| now >= until) => {}
                _ => continue,
            }
            if item
                .software()
                .is_some_and(|software| !pass.is_offered(software))
            {
                let discard = item.discard_for_software(index, DiscardReason::NotOffered);
                actions.extend(discard.map(Action::ReportDiscard));
            }
            let group = &self.specification.items[index].group;
            let Some(choice) = pass.choose(item, self.cached_on.get(group)) else {
                if pass.is_full {
                    return;
                }
                continue;
            };
            if item
                .software()
                .is_some_and(|software| *software != choice.software)
            {
                let discard = item.discard_for_software(index, DiscardReason::NoSlot);
                actions.extend(discard.map(Action::ReportDiscard));
            }
            self.cached_on.insert(group.clone(), choice.server.clone());
            let attempt = self.next_attempt;
            self.next_attempt += 1;
            item.start(attempt, choice.clone(), now);
            self.attempts.insert(attempt, index);
            active += 1;
            let Choice { server, software } = choice;
            actions.push(Action::Generate {
                attempt,
                item: index,
                server,
                software,
                resume_after: item.last_event,
            });
        }
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "the fields of one event, and the context to check them"
    )]
    fn handle_generated(
        &mut self,
        attempt: u64,
        index: usize,
        number: u64,
        data: &str,
        version: Version,
        limits: &Limits,
        now: Instant,
    ) -> Vec<Action> {
        let item = &mut self.items[index];
        let server = item.attempt().map(|attempt| attempt.server.clone());
        if number <= item.last_event {
            return Vec::new();
        }
        if number == item.last_event + 1
            && item.accepts_version(
                version,
                self.specification.min_version,
                limits.requires_single_version,
            )
        {
            item.push_event(data, version, now);
            return Vec::new();
        }
        // After a gap the output can be resumed after its last event. An unacceptable version makes
        // the whole output unusable.
        if number == item.last_event + 1 {
            item.discard_output();
        }
        item.requeue(Some(now + BACKOFF_MIN), server);
        self.attempts.remove(&attempt);
        vec![Action::Cancel { attempt }]
    }

    /// Returns the action that reports a discarded output, if there is one.
    fn handle_generation_end(
        &mut self,
        index: usize,
        generation_end: GenerationEnd,
        limits: &Limits,
        now: Instant,
    ) -> Option<Action> {
        let is_scored = self.specification.items[index].scorer.is_some();
        let item = &mut self.items[index];
        let attempt = item.attempt();
        let server = attempt.map(|attempt| attempt.server.clone());
        let has_added_events = attempt.is_some_and(|attempt| attempt.last_event_at.is_some());
        match generation_end {
            GenerationEnd::Complete if item.last_event == 0 => {
                item.requeue(Some(now + BACKOFF_MIN), server)
            }
            GenerationEnd::Complete if is_scored => item.phase = Phase::Unscored { retry_at: None },
            GenerationEnd::Complete => item.complete(None, now),
            GenerationEnd::Interrupted => item.requeue(None, server),
            GenerationEnd::Rejected => {
                let pause = spread(REJECTION_RETRY_DELAY, limits);
                item.requeue(Some(now + pause), server);
            }
            GenerationEnd::Failed => {
                item.failures += 1;
                match item.failures >= limits.max_attempts {
                    true => item.abandon(now),
                    false => {
                        let pause = spread(back_off(item.failures, BACKOFF_MAX), limits);
                        item.requeue(Some(now + pause), server);
                    }
                }
            }
            GenerationEnd::Unprocessable => item.abandon(now),
            GenerationEnd::SoftwareChanged => {
                item.requeue(None, None);
                if has_added_events {
                    let discard = item.discard_for_software(index, DiscardReason::Unattributed);
                    return discard.map(Action::ReportDiscard);
                }
            }
        }
        None
    }

    fn handle_scoring_end(
        &mut self,
        index: usize,
        scoring_end: ScoringEnd,
        limits: &Limits,
        now: Instant,
    ) {
        let item = &mut self.items[index];
        match scoring_end {
            ScoringEnd::Score(score) => item.complete(Some(score), now),
            ScoringEnd::Failed => {
                item.scoring_failures += 1;
                match item.scoring_failures >= limits.max_scoring_attempts {
                    true => item.abandon(now),
                    false => {
                        let pause = back_off(item.scoring_failures, BACKOFF_MAX);
                        item.phase = Phase::Unscored {
                            retry_at: Some(now + spread(pause, limits)),
                        }
                    }
                }
            }
            ScoringEnd::NoResponse => {
                item.scoring_repeats += 1;
                let repeats = usize::try_from(item.scoring_repeats).unwrap_or(usize::MAX);
                let pause = spread(back_off(repeats, SCORING_PAUSE_MAX), limits);
                item.phase = Phase::Unscored {
                    retry_at: Some(now + pause),
                }
            }
            ScoringEnd::Deferred(delay) => {
                item.phase = Phase::Unscored {
                    retry_at: Some(now + delay),
                }
            }
            ScoringEnd::NoRoute => {
                item.phase = Phase::Unscored {
                    retry_at: Some(now + spread(BACKOFF_MAX, limits)),
                }
            }
        }
    }
}

/// The choice of servers in one call of [`Job::advance`].
struct Pass<'a> {
    limits: &'a Limits,
    now: Instant,
    choose: &'a mut dyn FnMut(&Preference<'_>) -> Option<Choice>,
    /// The software versions without a server that can take an item in this pass.
    exhausted: BTreeSet<Name>,
    /// Whether no server can take an item in this pass.
    is_full: bool,
}

impl Pass<'_> {
    /// Returns whether a server has the software. Without any server, each software counts as offered:
    /// its servers may be back before others come, and until then no item can start.
    fn is_offered(&self, software: &Name) -> bool {
        let offered = &self.limits.free_slots;
        offered.is_empty() || offered.contains_key(software)
    }

    /// Returns the server for an item, or `None` if none is available. Its software differs from that
    /// of the item's output only if the item has waited for long enough.
    fn choose(&mut self, item: &mut ItemState, cached_on: Option<&Name>) -> Option<Choice> {
        let required = item.software().cloned();
        let is_exhausted = required
            .as_ref()
            .is_some_and(|software| self.exhausted.contains(software));
        if !is_exhausted {
            let choice = (self.choose)(&Preference {
                cached_on,
                avoid: &item.avoided_servers,
                software: required.as_ref(),
            });
            if choice.is_some() {
                return choice;
            }
            if item.avoided_servers.is_empty() {
                // All items need the same model. Only an item that avoids servers or requires other
                // software may fail where the next one does not.
                match &required {
                    Some(software) if self.limits.free_slots.len() > 1 => {
                        self.exhausted.insert(software.clone());
                    }
                    _ => {
                        self.is_full = true;
                        return None;
                    }
                }
            }
        }
        let mut choice = None;
        let must_wait = required.is_some() && {
            let blocked_since = *item.blocked_since.get_or_insert(self.now);
            let blocked_for = self.now.saturating_duration_since(blocked_since);
            blocked_for < max_software_wait(item.last_event, self.limits.event_interval)
        };
        if required.is_some() && !must_wait {
            choice = (self.choose)(&Preference {
                cached_on,
                avoid: &item.avoided_servers,
                software: None,
            });
            self.is_full = choice.is_none() && item.avoided_servers.is_empty();
        }
        if choice.is_none() && (!is_exhausted || !must_wait) {
            item.avoided_servers.clear();
        }
        choice
    }
}

/// The results of a group, as far as they decide when to commit.
#[derive(Default)]
struct Group {
    /// Whether an item has no outcome yet.
    has_unfinished: bool,
    /// The longest wait of an uncommitted outcome; `None` if there is none.
    longest_wait: Option<Duration>,
}

impl Group {
    fn commit_delay(&self) -> Duration {
        match self.has_unfinished {
            true => INCOMPLETE_COMMIT_DELAY,
            false => COMMIT_DELAY,
        }
    }
}

/// Returns the back-off after `failures` failures of an item.
fn back_off(failures: usize, max: Duration) -> Duration {
    let doublings = u32::try_from(failures.saturating_sub(1).min(8)).unwrap_or(8);
    (BACKOFF_MIN * 2_u32.pow(doublings)).min(max)
}

/// Returns a time between half and one and a half times `mean`, so that what failed together is not
/// repeated together.
fn spread(mean: Duration, limits: &Limits) -> Duration {
    mean.mul_f64(0.5 + limits.random.clamp(0.0, 1.0))
}

/// Returns how long an output still takes; `None` if its length or the time between two events is unknown.
fn remaining_time(
    item: &ItemState,
    specification: &record::Item,
    event_interval: Option<Duration>,
) -> Option<Duration> {
    let left = u64::from(specification.expected_tokens?).checked_sub(item.last_event)?;
    Some(event_interval?.saturating_mul(u32::try_from(left).unwrap_or(u32::MAX)))
}

/// Takes a free slot at a server that has `software`, or any software if it is `None`. Returns whether
/// there was one.
fn take_slot(free_slots: &mut BTreeMap<Name, usize>, software: Option<&Name>) -> bool {
    let count = match software {
        Some(software) => free_slots.get_mut(software),
        None => free_slots.values_mut().max(),
    };
    match count {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}

/// Returns how long an item with `events` events waits for servers of the software that generated them:
/// as long as it takes to generate them again elsewhere, so that no item loses more than twice the time
/// that the better choice would have cost, and [`MAX_SOFTWARE_WAIT`] at most.
fn max_software_wait(events: u64, event_interval: Option<Duration>) -> Duration {
    let events = u32::try_from(events).unwrap_or(u32::MAX);
    event_interval
        .map_or(DEFAULT_SOFTWARE_WAIT, |interval| {
            interval.saturating_mul(events)
        })
        .min(MAX_SOFTWARE_WAIT)
}
