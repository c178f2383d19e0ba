//! One batch job at its owner: which items run where, which are rated, and which results are
//! written next. Events come in, actions come out; the caller passes the time.

mod event;

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use shallotroute_types::{name::Name, version::Version};

pub use self::event::{Action, Close, Event, Limits, Rating, Tally, Wish};
use crate::{
    item::{Attempt, Item, Phase},
    record::{self, Chunk, Draft, DraftState, Listed, Outcome, Specification},
};

/// How long a result waits for others to be written with it. Trainers read about twice a second, and
/// each write is a call to the store.
const GATHER_TIME: Duration = Duration::from_millis(250);

/// From this share of the wanted groups on, in percent, a group that is complete is written at once:
/// its trainer may only wait for this one.
const LAST_PERCENT: usize = 80;

/// The pause before an item whose server did not run it is tried again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(30);

/// The first pause before an item whose run or rating failed is tried again; it doubles.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// The longest pause between two tries of an item.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// The most moves of an item away from slow servers.
const MAX_MOVES: u32 = 3;

/// A run at a slow server is not moved before this time; shorter ones end sooner where they are.
const MIN_RUN: Duration = Duration::from_millis(250);

/// The events by which a text has to grow before it is shared again: some 400 ms of work.
pub const DRAFT_EVENTS: u64 = 10;

/// The most bytes of text in one chunk; encoded as text it stays below the store's megabyte.
const MAX_CHUNK_BYTES: usize = 500 << 10;

/// A batch job at its owner.
#[derive(Debug)]
pub struct Run {
    specification: Arc<Specification>,
    items: Vec<Item>,
    results: Vec<Listed>,
    attempts: BTreeMap<u64, usize>,
    next_attempt: u64,
    writing: Option<Chunk>,
    cached: BTreeMap<Name, Name>,
    /// The items with the longest expected text first: a long text that starts late decides when its
    /// group is whole.
    order: Vec<usize>,
    give_up_at: Instant,
    ended: bool,
    released: bool,
}

impl Run {
    /// Starts a job, with the results that are written already; `give_up_at` is when its unfinished
    /// items are given up.
    pub fn new(
        specification: Arc<Specification>,
        results: Vec<Listed>,
        give_up_at: Instant,
    ) -> Self {
        let mut items: Vec<Item> = specification.items.iter().map(|_| Item::new()).collect();
        let mut order: Vec<usize> = (0..items.len()).collect();
        order.sort_by_key(|index| {
            Reverse(
                specification.items[*index]
                    .expected_tokens
                    .unwrap_or_default(),
            )
        });
        for listed in &results {
            if let Some(item) = items.get_mut(listed.item as usize) {
                item.phase = Phase::Listed;
            }
        }
        Self {
            specification,
            items,
            results,
            attempts: BTreeMap::new(),
            next_attempt: 1,
            writing: None,
            cached: BTreeMap::new(),
            order,
            give_up_at,
            ended: false,
            released: false,
        }
    }

    /// Takes up what a former owner had of items that are not listed.
    pub fn restore(&mut self, drafts: Vec<Draft>, now: Instant) {
        for draft in drafts {
            if let Some(item) = self.items.get_mut(draft.item as usize) {
                item.restore(draft.state, now);
            }
        }
    }

    /// Returns what other nodes should keep in case this one dies: texts that have grown by
    /// [`DRAFT_EVENTS`] since they were shared, and with `results` also the outcomes that are not
    /// written yet. `shared` holds how far each item was when it was shared.
    pub fn drafts(&self, shared: &mut BTreeMap<u32, u64>, results: bool) -> Vec<Draft> {
        let mut drafts = Vec::new();
        for (index, item) in self.items.iter().enumerate() {
            let state = match &item.phase {
                Phase::Ready { outcome, .. } if results => DraftState::Done(outcome.clone()),
                Phase::Ready { .. } | Phase::Listed => continue,
                _ => match item.partial() {
                    Some(partial) => partial,
                    None => continue,
                },
            };
            let draft = Draft {
                item: u32::try_from(index).unwrap_or(u32::MAX),
                state,
            };
            let last = shared.entry(draft.item).or_default();
            let progress = draft.progress();
            if progress > *last && progress >= last.saturating_add(DRAFT_EVENTS) {
                *last = progress;
                drafts.push(draft);
            }
        }
        drafts
    }

    /// Returns the specification.
    pub fn specification(&self) -> &Arc<Specification> {
        &self.specification
    }

    /// Returns the written results, in their positions.
    pub fn results(&self) -> &[Listed] {
        &self.results
    }

    /// Tells whether the trainer has ended the job.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Tells whether all items are listed.
    pub fn finished(&self) -> bool {
        self.results.len() == self.items.len()
    }

    /// Frees what only items in work need: texts, bodies, headers, ratings. The job has ended, and readers
    /// still get its results.
    pub fn release(&mut self) {
        let slim = |item: &record::Item| record::Item {
            id: item.id.clone(),
            group: item.group.clone(),
            path: String::new(),
            headers: Vec::new(),
            body: Vec::new(),
            expected_tokens: item.expected_tokens,
            reward: None,
        };
        let specification = &self.specification;
        self.specification = Arc::new(Specification {
            host: specification.host.clone(),
            path: specification.path.clone(),
            model: specification.model.clone(),
            items: specification.items.iter().map(slim).collect(),
            ..**specification
        });
        self.items.iter_mut().for_each(Item::release);
        self.released = true;
    }

    /// Tells whether the bodies of the items are gone.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Returns the numbers of the runs and ratings in progress.
    pub fn attempts(&self) -> Vec<u64> {
        self.attempts.keys().copied().collect()
    }

    /// Returns the number of the last event of an attempt's item; 0 before the first.
    pub fn last_event(&self, attempt: u64) -> u64 {
        let index = self.attempts.get(&attempt);
        index.map_or(0, |index| self.items[*index].last_event)
    }

    /// Returns the number of runs and ratings in progress.
    pub fn in_progress(&self) -> usize {
        self.attempts.len()
    }

    /// Counts the items by what they are doing.
    pub fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for item in &self.items {
            match item.phase {
                Phase::Waiting { .. } => tally.waiting += 1,
                Phase::Generating(_) => tally.generating += 1,
                Phase::Unrated { .. } | Phase::Rating { .. } => tally.rating += 1,
                Phase::Ready { .. } => tally.ready += 1,
                Phase::Listed => tally.listed += 1,
            }
        }
        tally
    }

    /// Counts the complete groups.
    pub fn complete_groups(&self) -> usize {
        let mut open: BTreeMap<&Name, bool> = BTreeMap::new();
        for (item, state) in self.specification.items.iter().zip(&self.items) {
            *open.entry(&item.group).or_default() |= state.phase != Phase::Listed;
        }
        open.values().filter(|open| !**open).count()
    }

    /// Ends the job for its trainer: nothing more runs.
    pub fn end(&mut self) -> Vec<Action> {
        self.ended = true;
        self.cancel_all()
    }

    /// Stops all runs, as when another node owns the job or the process stops. Texts in progress
    /// wait for a server again.
    pub fn cancel_all(&mut self) -> Vec<Action> {
        let attempts: Vec<u64> = self.attempts.keys().copied().collect();
        for item in &mut self.items {
            match item.phase {
                Phase::Generating(_) => item.phase = Phase::Waiting { until: None },
                Phase::Rating { .. } => item.phase = Phase::Unrated { until: None },
                _ => {}
            }
        }
        self.attempts.clear();
        attempts
            .into_iter()
            .map(|attempt| Action::Cancel { attempt })
            .collect()
    }

    /// Moves stalled runs, gives up what is overdue, and starts runs and ratings. `choose` returns
    /// the server for an item and counts the item there.
    pub fn advance(
        &mut self,
        limits: &Limits,
        now: Instant,
        choose: &mut dyn FnMut(&Wish<'_>) -> Option<Name>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.ended {
            return actions;
        }
        if now >= self.give_up_at {
            self.give_up(now, &mut actions);
            return actions;
        }
        self.move_runs(limits, now, &mut actions);
        self.start_ratings(limits, now, &mut actions);
        self.start_runs(limits, now, choose, &mut actions);
        actions
    }

    /// Processes what happened to an attempt. Events of attempts that were ended are ignored.
    pub fn handle(
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
            Event::Piece {
                number,
                data,
                version,
            } => self.piece(attempt, index, number, &data, version, limits, now),
            Event::Closed(close) => {
                self.attempts.remove(&attempt);
                self.closed(index, close, limits, now);
                Vec::new()
            }
            Event::Rated(rating) => {
                self.attempts.remove(&attempt);
                self.rated(index, rating, limits, now);
                Vec::new()
            }
        }
    }

    /// Returns the results to write next, unless a write is in progress or more results are likely
    /// to follow soon.
    pub fn chunk(&mut self, now: Instant) -> Option<Chunk> {
        if self.writing.is_some() || !self.worth_writing(now) {
            return None;
        }
        let mut bytes = 0;
        let mut results = Vec::new();
        for (index, item) in self.items.iter().enumerate() {
            let Phase::Ready { outcome, .. } = &item.phase else {
                continue;
            };
            if let Outcome::Completed(sample) = outcome {
                bytes += sample.text.len();
            }
            if bytes > MAX_CHUNK_BYTES && !results.is_empty() {
                break;
            }
            results.push(Listed {
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

    /// Notes that the last chunk is written; its results now stand in their positions.
    pub fn written(&mut self) {
        if let Some(chunk) = self.writing.take() {
            for listed in chunk.results {
                if let Some(item) = self.items.get_mut(listed.item as usize) {
                    item.phase = Phase::Listed;
                }
                self.results.push(listed);
            }
        }
    }

    /// Notes that the last chunk was certainly not written.
    pub fn not_written(&mut self) {
        self.writing = None;
    }

    /// Tells whether a result has waited for long enough, nothing else will follow, or it completes
    /// one of the last groups that the trainer waits for.
    fn worth_writing(&self, now: Instant) -> bool {
        let mut waited = false;
        let mut any = false;
        let mut pending = false;
        // For each group whether an item of it is still in progress, and whether one is new.
        let mut groups: BTreeMap<&Name, (bool, bool)> = BTreeMap::new();
        for (item, state) in self.specification.items.iter().zip(&self.items) {
            let (open, new) = groups.entry(&item.group).or_default();
            match &state.phase {
                Phase::Ready { since, .. } => {
                    any = true;
                    *new = true;
                    waited |= now.saturating_duration_since(*since) >= GATHER_TIME;
                }
                Phase::Listed => {}
                _ => {
                    pending = true;
                    *open = true;
                }
            }
        }
        let complete = groups.values().filter(|(open, _)| !open).count();
        let completes = groups.values().any(|(open, new)| *new && !open);
        let nearly = complete * 100 >= self.specification.wanted_groups as usize * LAST_PERCENT;
        waited || (any && !pending) || (completes && nearly)
    }

    fn give_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        actions.extend(self.cancel_all());
        for item in self.items.iter_mut().filter(|item| !item.settled()) {
            item.abandon(now);
        }
    }

    /// Ends the runs that make no event, and some of those at slow servers; they go on elsewhere.
    fn move_runs(&mut self, limits: &Limits, now: Instant, actions: &mut Vec<Action>) {
        let mut spare = limits.spare;
        for item in &mut self.items {
            let Some(attempt) = item.attempt() else {
                continue;
            };
            let since = attempt.progress.unwrap_or(attempt.since);
            let stalled = now.saturating_duration_since(since) >= limits.stall;
            let slow = spare > 0
                && item.moves < MAX_MOVES
                && now.saturating_duration_since(attempt.since) >= MIN_RUN
                && limits.slow.contains(&attempt.server);
            if !stalled && !slow {
                continue;
            }
            if !stalled {
                spare -= 1;
                item.moves += 1;
            }
            let Some(attempt) = item.attempt() else {
                continue;
            };
            let (number, server) = (attempt.number, attempt.server.clone());
            self.attempts.remove(&number);
            item.wait(None, Some(server));
            actions.push(Action::Cancel { attempt: number });
        }
    }

    fn start_ratings(&mut self, limits: &Limits, now: Instant, actions: &mut Vec<Action>) {
        let rating = |item: &&Item| matches!(item.phase, Phase::Rating { .. });
        let mut running = self.items.iter().filter(rating).count();
        for (index, item) in self.items.iter_mut().enumerate() {
            let Phase::Unrated { until } = item.phase else {
                continue;
            };
            if running >= limits.ratings || until.is_some_and(|until| now < until) {
                continue;
            }
            running += 1;
            let attempt = self.next_attempt;
            self.next_attempt += 1;
            item.phase = Phase::Rating { attempt };
            self.attempts.insert(attempt, index);
            actions.push(Action::Rate {
                attempt,
                item: index,
            });
        }
    }

    fn start_runs(
        &mut self,
        limits: &Limits,
        now: Instant,
        choose: &mut dyn FnMut(&Wish<'_>) -> Option<Name>,
        actions: &mut Vec<Action>,
    ) {
        let mut running = self
            .items
            .iter()
            .filter(|item| item.attempt().is_some())
            .count();
        for index in self.order.clone() {
            if running >= limits.concurrency {
                return;
            }
            let item = &mut self.items[index];
            match item.phase {
                Phase::Waiting { until } if until.is_none_or(|until| now >= until) => {}
                _ => continue,
            }
            let group = &self.specification.items[index].group;
            let wish = Wish {
                cached: self.cached.get(group),
                avoid: &item.broken_at,
            };
            let Some(server) = choose(&wish) else {
                // The next item asks for the same model; only servers to avoid could differ.
                if item.broken_at.is_empty() {
                    return;
                }
                item.broken_at.clear();
                continue;
            };
            self.cached.insert(group.clone(), server.clone());
            let attempt = self.next_attempt;
            self.next_attempt += 1;
            item.phase = Phase::Generating(Attempt {
                number: attempt,
                server: server.clone(),
                since: now,
                progress: None,
            });
            self.attempts.insert(attempt, index);
            running += 1;
            actions.push(Action::Generate {
                attempt,
                item: index,
                server,
                after: item.last_event,
            });
        }
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "the parts of one event with what judges it"
    )]
    fn piece(
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
            && item.accepts(version, self.specification.oldest, limits.single_version)
        {
            item.push(data, version, now);
            return Vec::new();
        }
        // A text that skips an event can go on after the last whole one; a version that does not
        // fit spoils the whole text.
        if number == item.last_event + 1 {
            item.restart();
        }
        item.wait(Some(now + FAILURE_PAUSE), server);
        self.attempts.remove(&attempt);
        vec![Action::Cancel { attempt }]
    }

    fn closed(&mut self, index: usize, close: Close, limits: &Limits, now: Instant) {
        let rated = self.specification.items[index].reward.is_some();
        let item = &mut self.items[index];
        let server = item.attempt().map(|attempt| attempt.server.clone());
        match close {
            Close::Whole if item.last_event == 0 => item.wait(Some(now + FAILURE_PAUSE), server),
            Close::Whole if rated => item.phase = Phase::Unrated { until: None },
            Close::Whole => item.complete(None, now),
            Close::Broken => item.wait(None, server),
            Close::Refused => item.wait(Some(now + REFUSAL_PAUSE), server),
            Close::Failed => {
                item.failures += 1;
                match item.failures >= limits.attempts {
                    true => item.abandon(now),
                    false => item.wait(Some(now + pause(item.failures)), server),
                }
            }
            Close::Impossible => item.abandon(now),
        }
    }

    fn rated(&mut self, index: usize, rating: Rating, limits: &Limits, now: Instant) {
        let item = &mut self.items[index];
        match rating {
            Rating::Score(score) => item.complete(Some(score), now),
            Rating::Failed => {
                item.rating_failures += 1;
                match item.rating_failures >= limits.rating_attempts {
                    true => item.abandon(now),
                    false => {
                        item.phase = Phase::Unrated {
                            until: Some(now + pause(item.rating_failures)),
                        }
                    }
                }
            }
            Rating::Lost => {
                item.phase = Phase::Unrated {
                    until: Some(now + FAILURE_PAUSE),
                }
            }
            Rating::NoRoute => {
                item.phase = Phase::Unrated {
                    until: Some(now + MAX_FAILURE_PAUSE),
                }
            }
        }
    }
}

/// Returns the pause after so many failures.
fn pause(failures: usize) -> Duration {
    let doublings = u32::try_from(failures.saturating_sub(1).min(8)).unwrap_or(8);
    (FAILURE_PAUSE * 2_u32.pow(doublings)).min(MAX_FAILURE_PAUSE)
}
