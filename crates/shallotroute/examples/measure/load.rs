//! Callers' requests, which arrive as seeded Poisson processes.

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
    testbed::{CALLERS, ORDER_PATH, QUOTE_MODEL},
};

/// The kind of a request, which decides its caller, its model and the key of its results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A quote that the quote desk's own engines generate.
    Quote,
    /// A quote that the engines generate which also sample for trainers.
    SharedQuote,
    /// A request of the nightly reconciliation, which uses the same engines as trainers.
    Batch,
    /// A request that must not run twice.
    Order,
}

impl Kind {
    /// Returns the key in the report's `quote_latency_ms`, which is also part of prompts.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Quote => "interactive",
            Self::SharedQuote => "interactive_shared",
            Self::Batch => "batch",
            Self::Order => "order",
        }
    }
}

/// A request and the replies to all of its attempts; only orders are retried.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) kind: Kind,
    /// The prompt of a completion, or the idempotency key of an order.
    pub(crate) identity: String,
    /// One reply per attempt, at least one.
    pub(crate) replies: Vec<Reply>,
}

impl RequestRecord {
    /// Returns the reply to the last attempt.
    pub(crate) fn last(&self) -> &Reply {
        self.replies
            .last()
            .expect("a request has at least one reply")
    }

    /// Returns whether all replies state that the attempt did not run.
    pub(crate) fn is_not_run(&self) -> bool {
        self.replies
            .iter()
            .all(|reply| reply.outcome() == Some(Outcome::NotRun))
    }
}

/// The load generator of a run, with the records of the requests that it has sent.
#[derive(Debug)]
pub(crate) struct Load {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    balancer: Balancer,
    interactive: Caller,
    batch: Caller,
    /// The model that the samplers of trainers serve.
    shared_model: String,
    records: Mutex<Vec<RequestRecord>>,
}

/// Attempts of an order before the caller gives up.
const ORDER_ATTEMPTS: usize = 4;

/// Delay between two attempts of an order.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Load {
    pub(crate) fn new(
        balancer: Balancer,
        client: &shallotroute_http::client::Client,
        shared_model: &str,
    ) -> Self {
        let caller = |index: usize| Caller::new(client.clone(), CALLERS[index].1);
        Self {
            inner: Arc::new(Inner {
                balancer,
                interactive: caller(0),
                batch: caller(1),
                shared_model: shared_model.to_owned(),
                records: Mutex::default(),
            }),
        }
    }

    /// Sends requests until `end` and waits for all replies. The times of requests depend only on
    /// `rates` and `seed`, not on the replies.
    pub(crate) async fn run(&self, rates: Rates, seed: u64, end: Instant) {
        let arrivals = [
            (Kind::Quote, rates.quotes / 2.0),
            (Kind::SharedQuote, rates.quotes / 2.0),
            (Kind::Batch, rates.batch),
            (Kind::Order, rates.orders),
        ];
        let arrivals = arrivals.into_iter().zip(0..).map(|((kind, rate), number)| {
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(number));
            self.send_arrivals(kind, rate, random, end)
        });
        futures::future::join_all(arrivals).await;
    }

    /// Returns the records of the requests whose last attempt has ended.
    pub(crate) fn records(&self) -> Vec<RequestRecord> {
        self.inner.lock().clone()
    }

    /// Sends requests of one kind until `end`, at `rate` per second on average.
    async fn send_arrivals(&self, kind: Kind, rate: f64, mut random: ChaCha8Rng, end: Instant) {
        let mut tasks = JoinSet::new();
        let mut due = Instant::now();
        let mut number: u64 = 0;
        loop {
            due += interarrival_time(&mut random, rate);
            if due >= end {
                break;
            }
            tokio::time::sleep_until(due.into()).await;
            let node = self.inner.balancer.choose(&mut random);
            let inner = Arc::clone(&self.inner);
            tasks.spawn(async move { inner.send(kind, number, node).await });
            number += 1;
        }
        while tasks.join_next().await.is_some() {}
    }
}

impl Inner {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<RequestRecord>> {
        self.records.lock().expect("no holder of the lock panics")
    }

    async fn send(&self, kind: Kind, number: u64, node: usize) {
        let record = match kind {
            Kind::Order => self.send_order(number, node).await,
            _ => self.send_completion(kind, number, node).await,
        };
        self.lock().push(record);
    }

    async fn send_completion(&self, kind: Kind, number: u64, node: usize) -> RequestRecord {
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
        RequestRecord {
            kind,
            identity: prompt,
            replies: vec![reply],
        }
    }

    /// Sends an order through one node after the other, with the same idempotency key, until it
    /// succeeds or [`ORDER_ATTEMPTS`] have failed.
    async fn send_order(&self, number: u64, node: usize) -> RequestRecord {
        let key = uuid::Uuid::now_v7().to_string();
        let path = format!("{ORDER_PATH}/{number}");
        let mut replies = Vec::new();
        for attempt in 0..ORDER_ATTEMPTS {
            let address = self.balancer.address(node + attempt);
            let reply = self
                .interactive
                .call(address, Method::POST, &path, Some(&key), path.clone())
                .await;
            let succeeded = reply.result.is_ok();
            replies.push(reply);
            if succeeded {
                break;
            }
            tokio::time::sleep(ORDER_RETRY_DELAY).await;
        }
        RequestRecord {
            kind: Kind::Order,
            identity: key,
            replies,
        }
    }
}

/// Returns a random time to the next arrival of a Poisson process with `rate` arrivals per second.
pub(crate) fn interarrival_time(random: &mut ChaCha8Rng, rate: f64) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate.max(1e-3))
}
