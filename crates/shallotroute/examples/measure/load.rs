//! Callers' requests at seeded random times.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_standin::caller::{Caller, Completion, Reply};
use shallotroute_types::outcome::Outcome;
use tokio::task::JoinSet;

use crate::{
    balancer::Balancer,
    scenario::Rates,
    world::{KEYS, ORDER_PATH, QUOTE_MODEL},
};

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A quote by the quote desk's own engines.
    Quote,
    /// A quote by the engines that also sample for trainers.
    SharedQuote,
    /// A request of the nightly reconciliation, on the shared engines.
    Batch,
    /// A request that must not run twice.
    Order,
}

impl Kind {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Quote => "interactive",
            Self::SharedQuote => "interactive_shared",
            Self::Batch => "batch",
            Self::Order => "order",
        }
    }
}

/// A request and every reply to it; only orders are sent again.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) kind: Kind,
    /// The prompt, or the key of an order.
    pub(crate) identity: String,
    pub(crate) replies: Vec<Reply>,
}

impl Sent {
    /// Returns the last reply.
    pub(crate) fn last(&self) -> &Reply {
        self.replies
            .last()
            .expect("a request has at least one reply")
    }

    /// Tells whether every reply says that the request did not run.
    pub(crate) fn is_not_run(&self) -> bool {
        self.replies
            .iter()
            .all(|reply| reply.outcome() == Some(Outcome::NotRun))
    }
}

/// The requests of a run.
#[derive(Debug)]
pub(crate) struct Load {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    balancer: Balancer,
    interactive: Caller,
    batch: Caller,
    shared_model: String,
    sent: Mutex<Vec<Sent>>,
}

/// How often an order is sent before the caller gives up.
const ORDER_ATTEMPTS: usize = 4;

/// The pause of a caller before it sends an order again.
const ORDER_PAUSE: Duration = Duration::from_millis(200);

impl Load {
    pub(crate) fn new(
        balancer: Balancer,
        client: &shallotroute_http::client::Client,
        shared_model: &str,
    ) -> Self {
        let caller = |index: usize| Caller::new(client.clone(), KEYS[index].1);
        Self {
            shared: Arc::new(Shared {
                balancer,
                interactive: caller(0),
                batch: caller(1),
                shared_model: shared_model.to_owned(),
                sent: Mutex::default(),
            }),
        }
    }

    /// Sends requests until `end` and waits for their replies.
    pub(crate) async fn run(&self, rates: Rates, seed: u64, end: Instant) {
        let streams = [
            (Kind::Quote, rates.quotes / 2.0),
            (Kind::SharedQuote, rates.quotes / 2.0),
            (Kind::Batch, rates.batch),
            (Kind::Order, rates.orders),
        ];
        let streams = streams.into_iter().zip(0..).map(|((kind, rate), number)| {
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(number));
            self.stream(kind, rate, random, end)
        });
        futures::future::join_all(streams).await;
    }

    /// Returns the requests that have got their last reply.
    pub(crate) fn sent(&self) -> Vec<Sent> {
        self.shared.lock().clone()
    }

    async fn stream(&self, kind: Kind, rate: f64, mut random: ChaCha8Rng, end: Instant) {
        let mut tasks = JoinSet::new();
        let mut due = Instant::now();
        let mut number: u64 = 0;
        loop {
            due += pause(&mut random, rate);
            if due >= end {
                break;
            }
            tokio::time::sleep_until(due.into()).await;
            let node = self.shared.balancer.choose(&mut random);
            let shared = Arc::clone(&self.shared);
            tasks.spawn(async move { shared.send(kind, number, node).await });
            number += 1;
        }
        while tasks.join_next().await.is_some() {}
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Sent>> {
        self.sent.lock().expect("no holder of the lock panics")
    }

    async fn send(&self, kind: Kind, number: u64, node: usize) {
        let sent = match kind {
            Kind::Order => self.order(number, node).await,
            _ => self.complete(kind, number, node).await,
        };
        self.lock().push(sent);
    }

    async fn complete(&self, kind: Kind, number: u64, node: usize) -> Sent {
        let model = match kind {
            Kind::Quote => QUOTE_MODEL,
            _ => &self.shared_model,
        };
        let caller = match kind {
            Kind::Batch => &self.batch,
            _ => &self.interactive,
        };
        let prompt = format!("{} {number}: how much, and why?", kind.name());
        let mut completion = Completion::new(model, prompt.clone());
        completion.stream = number.is_multiple_of(2);
        completion.chat = number.is_multiple_of(3);
        let reply = caller
            .complete(self.balancer.address(node), &completion)
            .await;
        Sent {
            kind,
            identity: prompt,
            replies: vec![reply],
        }
    }

    /// Sends an order again through another node until it is answered, always with the same key.
    async fn order(&self, number: u64, node: usize) -> Sent {
        let key = uuid::Uuid::now_v7().to_string();
        let path = format!("{ORDER_PATH}/{number}");
        let mut replies = Vec::new();
        for attempt in 0..ORDER_ATTEMPTS {
            let address = self.balancer.address(node + attempt);
            let reply = self
                .interactive
                .call(address, Method::POST, &path, Some(&key), path.clone())
                .await;
            let done = reply.result.is_ok();
            replies.push(reply);
            if done {
                break;
            }
            tokio::time::sleep(ORDER_PAUSE).await;
        }
        Sent {
            kind: Kind::Order,
            identity: key,
            replies,
        }
    }
}

/// Returns the time to the next request of a Poisson process.
pub(crate) fn pause(random: &mut ChaCha8Rng, rate: f64) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate.max(1e-3))
}
