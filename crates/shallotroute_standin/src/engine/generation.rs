//! A generation from the wait for a slot to the last token.

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
    wire::{self, Delta, Header, Usage},
};
use crate::{
    message,
    server::{Disconnect, Reply},
    text,
};

/// A generation in progress; dropping it stops the generation and frees its slot.
#[derive(Debug)]
pub(super) struct Generator {
    shared: Arc<Shared>,
    number: u64,
    model: Name,
    ticket: Ticket,
    slot: Option<Slot>,
    target: u32,
    produced: u32,
    prompt_tokens: u32,
    cached: u32,
    is_started: bool,
    fault: Option<StreamFault>,
}

impl Generator {
    /// Records a generation that waits for a slot. Returns none when the model is not loaded.
    pub(super) fn new(
        shared: &Arc<Shared>,
        header: &Header,
        request: &wire::Request,
        priority: u8,
    ) -> Option<Self> {
        let prompt = request.prompt();
        let length = shared
            .settings
            .length
            .tokens(length_key(&header.id, &prompt));
        let target = length.min(request.max_tokens).max(1);
        let ticket = shared.batch.issue_ticket(priority);
        let mut inner = shared.lock();
        if !inner.models.contains_key(&request.model) {
            return None;
        }
        let cached = inner.cache.insert_prompt(&request.model, &prompt);
        let number = inner.generations.len() as u64;
        let prompt_tokens = cache::count_tokens(&prompt);
        let every = inner.fault.stream_every;
        let is_faulty = every > 0 && (number + 1).is_multiple_of(every);
        let fault = inner.fault.stream.filter(|_| is_faulty);
        inner.generations.push(Generation {
            number,
            request_id: header.id.clone(),
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
        drop(inner);
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
            is_started: false,
            fault,
        })
    }

    /// Returns the fault of the response.
    pub(super) fn fault(&self) -> Option<StreamFault> {
        self.fault
    }

    /// Returns whether all tokens were generated.
    pub(super) fn is_complete(&self) -> bool {
        self.produced == self.target
    }

    /// Returns the token counts so far.
    pub(super) fn usage(&self) -> Usage {
        Usage {
            prompt: self.prompt_tokens,
            completion: self.produced,
            cached: self.cached,
        }
    }

    /// Generates the tokens of the next chunk. Returns none after the last token.
    ///
    /// # Errors
    ///
    /// Fails when the model has been unloaded.
    pub(super) async fn advance(&mut self) -> Result<Option<Delta>, Disconnect> {
        if self.is_complete() {
            return Ok(None);
        }
        self.ensure_slot().await;
        let settings = &self.shared.settings;
        let count = settings.chunk_tokens.min(self.target - self.produced);
        self.simulate_work(f64::from(count) / settings.tokens_per_second)
            .await;
        let delta = self.produce(count)?;
        if self.is_complete() {
            self.finish(End::Complete);
        }
        Ok(Some(delta))
    }

    /// Generates all tokens and returns them in one response.
    pub(super) async fn respond(mut self, header: &Header) -> Reply {
        let mut output = String::new();
        while let Some(delta) = self.advance().await? {
            output.push_str(&delta.text);
        }
        if self.fault == Some(StreamFault::Cut) {
            return Err(Disconnect);
        }
        let spans = self.shared.lock().generations[self.index()].spans.clone();
        let mut response: Response<Body> =
            message::json(&header.full_response(&output, &spans, self.usage()));
        if let Ok(id) = header.id.parse() {
            response.headers_mut().insert("x-request-id", id);
        }
        Ok(response)
    }

    /// Waits for a slot if the generation has none or must yield its own, and processes the prompt
    /// when the first slot is granted.
    async fn ensure_slot(&mut self) {
        if self.slot.is_some() && self.shared.batch.is_preempted(self.ticket) {
            self.slot = None;
        }
        if self.slot.is_none() {
            self.slot = Some(self.shared.batch.acquire(self.ticket).await);
        }
        if !self.is_started {
            self.is_started = true;
            let index = self.index();
            self.shared.lock().generations[index].started = Some(Instant::now());
            let uncached = self.prompt_tokens.saturating_sub(self.cached);
            let rate = self.shared.settings.prompt_tokens_per_second;
            self.simulate_work(f64::from(uncached) / rate).await;
        }
    }

    async fn simulate_work(&self, seconds: f64) {
        let slowdown = self.shared.lock().fault.slowdown;
        tokio::time::sleep(Duration::from_secs_f64(seconds * slowdown)).await;
    }

    fn produce(&mut self, count: u32) -> Result<Delta, Disconnect> {
        let index = self.index();
        let start = self.produced;
        let end = start + count;
        let mut inner = self.shared.lock();
        let version = *inner.models.get(&self.model).ok_or(Disconnect)?;
        let spans = &mut inner.generations[index].spans;
        match spans.last_mut() {
            Some(last) if last.version == version => last.end = end,
            _ => spans.push(Span {
                start,
                end,
                version,
            }),
        }
        drop(inner);
        self.produced = end;
        Ok(Delta {
            start,
            count,
            version,
            text: text::format(&self.shared.settings.name, self.number, start, end),
        })
    }

    fn finish(&mut self, reason: End) {
        self.slot = None;
        let index = self.index();
        let mut inner = self.shared.lock();
        let end = &mut inner.generations[index].end;
        if end.is_none() {
            *end = Some((reason, Instant::now()));
        }
    }

    fn index(&self) -> usize {
        usize::try_from(self.number)
            .expect("the generation number should be an index of the record list")
    }
}

impl Drop for Generator {
    fn drop(&mut self) {
        self.finish(End::Stopped);
    }
}

/// Returns the string that the length of a response is derived from: the identity of the sample
/// when the request identity starts with one (`trainer/step/group/index`), so that each attempt at
/// a sample has the same length; otherwise the prompt.
fn length_key<'a>(request_id: &'a str, prompt: &'a str) -> &'a str {
    let mut slashes = request_id.match_indices('/').map(|(position, _)| position);
    match (slashes.nth(2), slashes.next()) {
        (Some(_), Some(end)) => &request_id[..end],
        (Some(_), None) => request_id,
        (None, _) => prompt,
    }
}
