//! One generation, from the wait for a slot to its last token.

use std::{sync::Arc, time::Duration, time::Instant};

use http::Response;
use shallotroute_http::body::Body;
use shallotroute_types::{name::Name, provenance::Span};

use super::{
    batch::{Slot, Ticket},
    cache,
    fault::StreamFault,
    record::{End, Generation},
    shared::Shared,
    wire::{self, Head, Piece, Usage},
};
use crate::{
    message,
    server::{Disconnect, Reply},
    text,
};

/// A generation in progress; dropping it stops it and frees its slot.
#[derive(Debug)]
pub(super) struct Run {
    shared: Arc<Shared>,
    number: u64,
    model: Name,
    ticket: Ticket,
    slot: Option<Slot>,
    target: u32,
    produced: u32,
    prompt_tokens: u32,
    cached: u32,
    started: bool,
    fault: Option<StreamFault>,
}

impl Run {
    /// Records a generation that waits for a slot; none when the model is not loaded.
    pub(super) fn new(
        shared: &Arc<Shared>,
        head: &Head,
        request: &wire::Request,
        priority: u8,
    ) -> Option<Self> {
        let prompt = request.prompt();
        let length = shared.settings.length.tokens(identity(&head.id, &prompt));
        let target = length.min(request.max_tokens).max(1);
        let ticket = shared.batch.ticket(priority);
        let mut table = shared.lock();
        if !table.models.contains_key(&request.model) {
            return None;
        }
        let cached = table.cache.take(&request.model, &prompt);
        let number = table.generations.len() as u64;
        let prompt_tokens = cache::tokens(&prompt);
        let every = table.fault.stream_every;
        let faulty = every > 0 && (number + 1).is_multiple_of(every);
        let fault = table.fault.stream.filter(|_| faulty);
        table.generations.push(Generation {
            number,
            request_id: head.id.clone(),
            model: request.model.clone(),
            prompt,
            priority,
            target,
            cached,
            received: Instant::now(),
            started: None,
            spans: Vec::new(),
            end: None,
        });
        drop(table);
        Some(Self {
            shared: Arc::clone(shared),
            number,
            model: request.model.clone(),
            ticket,
            slot: None,
            target,
            produced: 0,
            prompt_tokens,
            cached,
            started: false,
            fault,
        })
    }

    /// Returns what goes wrong with the stream.
    pub(super) fn fault(&self) -> Option<StreamFault> {
        self.fault
    }

    /// Tells whether all tokens were made.
    pub(super) fn is_whole(&self) -> bool {
        self.produced == self.target
    }

    /// Returns the counts so far.
    pub(super) fn usage(&self) -> Usage {
        Usage {
            prompt: self.prompt_tokens,
            completion: self.produced,
            cached: self.cached,
        }
    }

    /// Makes the next tokens; none after the last one.
    ///
    /// # Errors
    ///
    /// The model was unloaded in the meantime.
    pub(super) async fn advance(&mut self) -> Result<Option<Piece>, Disconnect> {
        if self.is_whole() {
            return Ok(None);
        }
        self.hold_slot().await;
        let settings = &self.shared.settings;
        let count = settings.chunk_tokens.min(self.target - self.produced);
        self.work(f64::from(count) / settings.tokens_per_second)
            .await;
        let piece = self.produce(count)?;
        if self.is_whole() {
            self.finish(End::Complete);
        }
        Ok(Some(piece))
    }

    /// Runs to the end and answers at once.
    pub(super) async fn whole(mut self, head: &Head) -> Reply {
        let mut whole = String::new();
        while let Some(piece) = self.advance().await? {
            whole.push_str(&piece.text);
        }
        if self.fault == Some(StreamFault::Cut) {
            return Err(Disconnect);
        }
        let spans = self.shared.lock().generations[self.index()].spans.clone();
        let mut response: Response<Body> = message::json(&head.whole(&whole, &spans, self.usage()));
        if let Ok(id) = head.id.parse() {
            response.headers_mut().insert("x-request-id", id);
        }
        Ok(response)
    }

    async fn hold_slot(&mut self) {
        if self.slot.is_some() && self.shared.batch.is_preempted(self.ticket) {
            self.slot = None;
        }
        if self.slot.is_none() {
            self.slot = Some(self.shared.batch.acquire(self.ticket).await);
        }
        if !self.started {
            self.started = true;
            let index = self.index();
            self.shared.lock().generations[index].started = Some(Instant::now());
            let fresh = self.prompt_tokens.saturating_sub(self.cached);
            let rate = self.shared.settings.prompt_tokens_per_second;
            self.work(f64::from(fresh) / rate).await;
        }
    }

    async fn work(&self, seconds: f64) {
        let slowdown = self.shared.lock().fault.slowdown;
        tokio::time::sleep(Duration::from_secs_f64(seconds * slowdown)).await;
    }

    fn produce(&mut self, count: u32) -> Result<Piece, Disconnect> {
        let index = self.index();
        let start = self.produced;
        let end = start + count;
        let mut table = self.shared.lock();
        let version = *table.models.get(&self.model).ok_or(Disconnect)?;
        let spans = &mut table.generations[index].spans;
        match spans.last_mut() {
            Some(last) if last.version == version => last.end = end,
            _ => spans.push(Span {
                start,
                end,
                version,
            }),
        }
        drop(table);
        self.produced = end;
        Ok(Piece {
            start,
            count,
            version,
            text: text::format(&self.shared.settings.name, self.number, start, end),
        })
    }

    fn finish(&mut self, how: End) {
        self.slot = None;
        let index = self.index();
        let mut table = self.shared.lock();
        let end = &mut table.generations[index].end;
        if end.is_none() {
            *end = Some((how, Instant::now()));
        }
    }

    fn index(&self) -> usize {
        usize::try_from(self.number).expect("the number is an index of the list")
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.finish(End::Stopped);
    }
}

/// Returns what the length of an answer depends on: the sample when the identity of the attempt
/// starts with one (`trainer/step/group/index`), else the prompt.
fn identity<'a>(request_id: &'a str, prompt: &'a str) -> &'a str {
    let mut ends = request_id.match_indices('/').map(|(end, _)| end);
    match (ends.nth(2), ends.next()) {
        (Some(_), Some(end)) => &request_id[..end],
        (Some(_), None) => request_id,
        (None, _) => prompt,
    }
}
