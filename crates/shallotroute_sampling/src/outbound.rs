//! Calls to engines and scorers, whose results go to the scheduler of a pool as events.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use error_stack::Report;
use futures::StreamExt;
use shallotroute_platform::{
    engine::{self, Engine, Generate},
    error::{Error, Kind},
    scorer::{self, Scorer},
};
use shallotroute_rollout::{
    engine as rollout_engine,
    provenance::Chunk,
    scheduler::{Event, Score, Start},
    step::AttemptId,
};
use shallotroute_types::{name::Name, outcome::Outcome};
use tokio::sync::mpsc;

use crate::pool::Message;

/// The timeout of a read of an engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends events to the task of a pool.
#[derive(Clone)]
pub(crate) struct EventSender(pub(crate) mpsc::Sender<Message>);

impl EventSender {
    async fn send(&self, event: Event) {
        // Sending fails only when the pool has stopped, and then the event does not matter.
        let _ = self.0.send(Message::Event(event)).await;
    }
}

/// Runs an attempt on an engine to its end and sends its tokens and its end as events.
pub(crate) async fn generate(engine: Arc<dyn Engine>, event_sender: EventSender, start: Start) {
    let attempt = start.attempt;
    let identity = start.identity;
    let request = Generate {
        request_id: identity.clone(),
        model: start.model,
        prompt: start.prompt.to_string(),
        max_tokens: start.max_tokens,
        priority: start.priority,
    };
    let mut events = match engine.generate(start.address, request).await {
        Ok(events) => events,
        Err(report) => return event_sender.send(failure_event(attempt, &report)).await,
    };
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => scheduler_event(attempt, event),
            Err(report) => return event_sender.send(failure_event(attempt, &report)).await,
        };
        let has_ended = matches!(&event, Event::AttemptEnded(_, ended_identity, _) if *ended_identity == identity);
        event_sender.send(event).await;
        if has_ended {
            return;
        }
    }
    // The stream closed without an end event, so that the output is incomplete.
    event_sender
        .send(Event::AttemptFailed(attempt, Outcome::Unknown))
        .await;
}

fn scheduler_event(attempt: AttemptId, event: engine::Event) -> Event {
    match event {
        engine::Event::Tokens {
            request_id,
            start,
            count,
            text,
            version,
        } => {
            let chunk = Chunk {
                start,
                count,
                text,
                version,
            };
            Event::Tokens(attempt, request_id, chunk)
        }
        engine::Event::End {
            request_id, tokens, ..
        } => Event::AttemptEnded(attempt, request_id, tokens),
    }
}

fn failure_event(attempt: AttemptId, report: &Report<Error>) -> Event {
    spdlog::debug!("attempt {} failed: {}", attempt, report);
    Event::AttemptFailed(attempt, report.current_context().outcome())
}

/// The client of one scorer.
pub(crate) struct ScorerClient {
    /// The client of all scorers.
    pub(crate) scorer: Arc<dyn Scorer>,
    /// The address of this scorer.
    pub(crate) address: SocketAddr,
    /// The timeout of one call.
    pub(crate) timeout: Duration,
}

/// Scores a sample. The event has no score when `client` is `None`, because the scorer is not in
/// the configuration, or when the call fails.
pub(crate) async fn score(client: Option<ScorerClient>, event_sender: EventSender, score: Score) {
    let request = scorer::Request {
        sample: score.sample,
        prompt: score.prompt.to_string(),
        text: score.text,
    };
    let value = match client {
        None => None,
        Some(client) => {
            let result = client
                .scorer
                .score(client.address, request, client.timeout)
                .await;
            if let Err(report) = &result {
                spdlog::debug!("failed to score a sample of step {}: {}", score.key, report);
            }
            result.ok()
        }
    };
    event_sender
        .send(Event::Scored(
            score.key,
            score.position,
            score.attempt,
            value,
        ))
        .await;
}

/// Reads an engine's state for the poll with this `number` and sends it as an event.
pub(crate) async fn poll(
    engine: Arc<dyn Engine>,
    event_sender: EventSender,
    server: Name,
    address: SocketAddr,
    number: u64,
) {
    let report = read_report(&*engine, &server, address).await;
    event_sender
        .send(Event::Polled(server, number, report))
        .await;
}

/// Returns the part of an engine's state that schedulers and controllers use, or `None` when the
/// read fails.
pub(crate) async fn read_report(
    engine: &dyn Engine,
    server: &Name,
    address: SocketAddr,
) -> Option<rollout_engine::Report> {
    let state = read_state(engine, server, address).await?;
    Some(rollout_engine::Report {
        incarnation: state.incarnation,
        models: state.models,
        swapping: state.swapping,
        load: state.running + state.waiting,
        slots: state.slots,
        is_leaving: state.leaving,
    })
}

/// Returns an engine's state, or `None` when the read fails.
pub(crate) async fn read_state(
    engine: &dyn Engine,
    server: &Name,
    address: SocketAddr,
) -> Option<engine::State> {
    let result = tokio::time::timeout(STATE_TIMEOUT, engine.state(address))
        .await
        .unwrap_or_else(|_| {
            let error = Error::new("engine.state", address.to_string(), Kind::Lost);
            Err(Report::new(error))
        });
    if let Err(report) = &result {
        spdlog::debug!("failed to read the state of engine {}: {}", server, report);
    }
    result.ok()
}
