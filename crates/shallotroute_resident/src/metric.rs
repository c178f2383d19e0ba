//! The Prometheus metrics of a node, and the HTTP endpoint that serves them together with its
//! state.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use shallotroute_http::{
    body::{self, Body},
    memory::Memory,
    server::Handler,
};

use crate::{dump, explain, shared::Shared};

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// The labels of a metric that is counted by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Label {
    /// The outcome, event or reason.
    pub(crate) outcome: &'static str,
}

/// The labels of a metric that is counted by kind of call, subject and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabel {
    /// The kind of the call.
    pub(crate) kind: &'static str,
    /// What the call is about.
    pub(crate) subject: &'static str,
    /// The outcome of the call.
    pub(crate) outcome: &'static str,
}

/// The labels of calls for duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DutyLabel {
    /// The duty.
    pub(crate) duty: &'static str,
    /// The outcome of the call.
    pub(crate) outcome: &'static str,
}

/// The metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    /// Callers' requests by outcome.
    pub(crate) requests: Family<Label, Counter>,
    /// The time from a caller's request to the start of its response, in seconds.
    pub(crate) request_seconds: Histogram,
    /// Streams that callers took up, by how their software version was found.
    pub(crate) take_ups: Family<Label, Counter>,
    /// Calls that copy records of streams to other nodes, by outcome.
    pub(crate) stream_copies: Family<Label, Counter>,
    /// Attempts to have a backend server answer a caller's request, by outcome.
    pub(crate) attempts: Family<Label, Counter>,
    /// Requests and scorings that this node delayed or turned away, by what was done.
    pub(crate) admissions: Family<Label, Counter>,
    /// Limits of backend servers that this node has seen, by event.
    pub(crate) limits: Family<Label, Counter>,
    /// Claims for permits to send requests to servers with limits, by outcome.
    pub(crate) permits: Family<Label, Counter>,
    /// Changes of the state of this node's links to the backend servers, by new state.
    pub(crate) links: Family<Label, Counter>,
    /// Requests that this node has relayed, and those for which it sought a relay, by outcome.
    pub(crate) relays: Family<Label, Counter>,
    /// Requests under which backend servers crashed, by event.
    pub(crate) suspects: Family<Label, Counter>,
    /// Batch jobs by event.
    pub(crate) jobs: Family<Label, Counter>,
    /// Reads of results that this node served as the owner of the job, by what they returned.
    pub(crate) pages: Family<Label, Counter>,
    /// Runs of items at model servers, by outcome.
    pub(crate) runs: Family<Label, Counter>,
    /// Incomplete outputs of items that were discarded because of the software version that generated
    /// them, by reason.
    pub(crate) discards: Family<Label, Counter>,
    /// Requests to scorers, by outcome.
    pub(crate) scorings: Family<Label, Counter>,
    /// The time from a job's start at its owner to its last committed item, in seconds.
    pub(crate) job_seconds: Histogram,
    /// Unfinished batch jobs that this node owns.
    pub(crate) owned_jobs: Gauge,
    /// Direct calls to the platform's store, by kind, subject and outcome.
    pub(crate) store_calls: Family<CallLabel, Counter>,
    /// The duration of direct calls to the platform's store except watches, in seconds.
    pub(crate) store_seconds: Histogram,
    /// Calls to the platform's store that were relayed through another node.
    pub(crate) relayed_calls: Counter,
    /// Orders to model servers, by reply.
    pub(crate) orders: Family<Label, Counter>,
    /// Orders of the number of servers, by reply.
    pub(crate) scale_orders: Family<Label, Counter>,
    /// Calls for duties, by duty and outcome.
    pub(crate) duty_calls: Family<DutyLabel, Counter>,
    /// Windows of usage that this node closed and reported, by event.
    pub(crate) usage_windows: Family<Label, Counter>,
    /// Attempts to open a connection to a backend server.
    pub(crate) connections: Counter,
    /// The use of the memory budget, in bytes, and the numbers of refusals and of closed connections.
    pub(crate) memory: Family<Label, Gauge>,
    /// The version of the active configuration.
    pub(crate) configuration_version: Gauge,
    /// The age of the proof that the configuration is complete, in seconds; the time since boot without one.
    pub(crate) configuration_age: Gauge<f64, AtomicU64>,
    /// Changes of the state of that proof, by new state.
    pub(crate) freshness: Family<Label, Counter>,
    /// Proofs that this node fetched from the store, by outcome.
    pub(crate) proofs: Family<Label, Counter>,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("shallotroute_site");
        let histogram = || Histogram::new(LATENCY_BUCKETS);
        let mut metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            request_seconds: histogram(),
            take_ups: Family::default(),
            stream_copies: Family::default(),
            attempts: Family::default(),
            admissions: Family::default(),
            limits: Family::default(),
            permits: Family::default(),
            links: Family::default(),
            relays: Family::default(),
            suspects: Family::default(),
            jobs: Family::default(),
            pages: Family::default(),
            runs: Family::default(),
            discards: Family::default(),
            scorings: Family::default(),
            job_seconds: histogram(),
            owned_jobs: Gauge::default(),
            store_calls: Family::default(),
            store_seconds: histogram(),
            relayed_calls: Counter::default(),
            orders: Family::default(),
            scale_orders: Family::default(),
            duty_calls: Family::default(),
            usage_windows: Family::default(),
            connections: Counter::default(),
            memory: Family::default(),
            configuration_version: Gauge::default(),
            configuration_age: Gauge::default(),
            freshness: Family::default(),
            proofs: Family::default(),
        };
        metrics.register(&mut registry);
        metrics.registry = registry;
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests of callers", self.requests.clone());
        registry.register(
            "request_seconds",
            "Time from a request to its answer",
            self.request_seconds.clone(),
        );
        registry.register(
            "take_ups",
            "Streams taken up by callers",
            self.take_ups.clone(),
        );
        registry.register(
            "stream_copies",
            "Calls that copy records of streams",
            self.stream_copies.clone(),
        );
        registry.register(
            "attempts",
            "Sends of requests to backend servers",
            self.attempts.clone(),
        );
        registry.register("memory", "Use of the memory budget", self.memory.clone());
        self.register_servers(registry);
        self.register_jobs(registry);
        self.register_freshness(registry);
        self.register_duties(registry);
        registry.register(
            "store_calls",
            "Calls to the platform's store",
            self.store_calls.clone(),
        );
        registry.register(
            "store_seconds",
            "Time of calls to the platform's store",
            self.store_seconds.clone(),
        );
        registry.register(
            "relayed_calls",
            "Calls to the platform's store through another node",
            self.relayed_calls.clone(),
        );
        registry.register("orders", "Orders to model servers", self.orders.clone());
        registry.register(
            "connections",
            "New connections to backend servers",
            self.connections.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.configuration_version.clone(),
        );
    }

    fn register_servers(&self, registry: &mut Registry) {
        registry.register(
            "scale_orders",
            "Orders of the number of servers, by reply",
            self.scale_orders.clone(),
        );
        registry.register(
            "admissions",
            "Requests and scorings that were delayed or turned away, by what was done",
            self.admissions.clone(),
        );
        registry.register(
            "limits",
            "Limits that backend servers named, by event",
            self.limits.clone(),
        );
        registry.register(
            "permits",
            "Claims for permits to send requests to servers with limits",
            self.permits.clone(),
        );
        registry.register(
            "links",
            "Changes of the state of the links to the backend servers, by new state",
            self.links.clone(),
        );
        registry.register(
            "relays",
            "Requests that were passed on to a server by another node than their own",
            self.relays.clone(),
        );
        registry.register(
            "suspects",
            "Requests under which backend servers crashed, by event",
            self.suspects.clone(),
        );
    }

    fn register_freshness(&self, registry: &mut Registry) {
        registry.register(
            "configuration_age_seconds",
            "Age of the proof that the configuration is complete, under strict revocation",
            self.configuration_age.clone(),
        );
        registry.register(
            "freshness",
            "Changes of the state of that proof, by new state",
            self.freshness.clone(),
        );
        registry.register(
            "proofs",
            "Calls to the platform's store for such a proof",
            self.proofs.clone(),
        );
    }

    fn register_jobs(&self, registry: &mut Registry) {
        registry.register("jobs", "Batch jobs by event", self.jobs.clone());
        registry.register(
            "pages",
            "Reads of results at the owner of their job",
            self.pages.clone(),
        );
        registry.register("runs", "Runs of items at model servers", self.runs.clone());
        registry.register(
            "discards",
            "Outputs that were discarded because of the software that generated them",
            self.discards.clone(),
        );
        registry.register("ratings", "Ratings of texts", self.scorings.clone());
        registry.register(
            "job_seconds",
            "Time from a job's acceptance to its last result",
            self.job_seconds.clone(),
        );
        registry.register(
            "owned_jobs",
            "Unfinished jobs of this node",
            self.owned_jobs.clone(),
        );
    }

    fn register_duties(&self, registry: &mut Registry) {
        registry.register(
            "duty_calls",
            "Calls to the platform's API for duties",
            self.duty_calls.clone(),
        );
        registry.register(
            "usage_windows",
            "Windows of usage that were closed and reported, by event",
            self.usage_windows.clone(),
        );
    }

    /// Increments the counter of an outcome.
    pub(crate) fn count(family: &Family<Label, Counter>, outcome: &'static str) {
        family.get_or_create(&Label { outcome }).inc();
    }

    /// Adds a duration to a histogram, in seconds.
    pub(crate) fn observe(histogram: &Histogram, duration: Duration) {
        histogram.observe(duration.as_secs_f64());
    }

    fn set_memory(&self, memory: &Memory) {
        for (outcome, number) in memory.usage().numbers() {
            let gauge = self.memory.get_or_create(&Label { outcome });
            gauge.set(i64::try_from(number).unwrap_or(i64::MAX));
        }
    }

    fn encode(&self) -> Response<Body> {
        let mut content = String::new();
        if let Err(error) = text::encode(&mut content, &self.registry) {
            spdlog::error!("failed to encode metrics", kv: { error = error.to_string() });
        }
        let mut response = Response::new(body::full(content));
        let value = header::HeaderValue::from_static(CONTENT_TYPE);
        response.headers_mut().insert(header::CONTENT_TYPE, value);
        response
    }
}

/// The HTTP handler of the metrics, and of the state dump on a node that serves callers.
pub(crate) struct Endpoint {
    pub(crate) metrics: Arc<Metrics>,
    /// `None` on a standby node, which has no state to dump.
    pub(crate) shared: Option<Arc<Shared>>,
}

/// The path of the state dump, where `shallotctl` reads it.
const DUMP_PATH: &str = "/admin/v1/dump";

/// The path of the explanation where a request would go.
const EXPLAIN_PATH: &str = "/admin/v1/explain";

impl Handler for Endpoint {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let response = match (&self.shared, request.uri().path()) {
            (Some(shared), DUMP_PATH) => body::json_response(StatusCode::OK, &dump::dump(shared)),
            (Some(shared), EXPLAIN_PATH) => explain::respond(shared, request.uri().query()),
            (shared, _) => {
                if let Some(shared) = shared {
                    self.metrics.set_memory(&shared.memory);
                }
                self.metrics.encode()
            }
        };
        Box::pin(async move { response })
    }
}
