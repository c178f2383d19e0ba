//! Measures the requests per second of one node, and the latency that it adds to a direct call.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use http::Method;
use serde_json::{Value, json};
use shallotroute_standin::{
    admin,
    caller::Caller,
    cluster::{self, Cluster, Layout},
    configuration::{Configuration, Server},
    service::Service,
};
use tokio::task::JoinSet;

use crate::{Error, report::quantiles};

/// The name of the scenario.
pub(crate) const NAME: &str = "throughput";

const CALLER_KEY: &str = "throughput-key";
const ROUTE_PATH: &str = "/echo";
const ZONE: &str = "colombo";

/// Number of concurrent senders, each with at most one request in progress.
const SENDERS: u32 = 128;

/// Timeout for the node to start, and again to become ready with its configuration.
const START_TIMEOUT: Duration = Duration::from_secs(6);

/// Duration of the load before the measurement.
const WARM_UP: Duration = Duration::from_secs(1);

/// Duration of each measured load.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(3);

/// Measures one node: first its maximum rate in a closed loop, then the latency at half that
/// rate, through the node and directly. Returns the report, a JSON object.
pub(crate) async fn run(seed: u64) -> Result<Value, Error> {
    let binary = cluster::node_binary()?;
    let services = [
        Service::start("echo-0").await?,
        Service::start("echo-1").await?,
    ];
    let cluster = Cluster::start(&binary, &Layout::new("lk-west", &[ZONE])).await?;
    publish(&cluster, &services).await?;
    let node = cluster.nodes[0].settings().callers;
    let caller = Arc::new(Caller::new(cluster.client.clone(), CALLER_KEY));
    run_closed_loop(&caller, node, WARM_UP).await;
    let cpu = cluster.nodes[0].cpu_time().unwrap_or_default();
    let full_rate = run_closed_loop(&caller, node, MEASUREMENT_WINDOW).await;
    let cpu = cluster.nodes[0]
        .cpu_time()
        .unwrap_or_default()
        .saturating_sub(cpu);
    let half_rate = full_rate.rate() / 2.0;
    let direct = services[0].address();
    run_closed_loop(&caller, direct, WARM_UP / 4).await;
    let direct_at_half_rate = run_open_loop(&caller, direct, half_rate).await;
    let node_at_half_rate = run_open_loop(&caller, node, half_rate).await;
    let added = |quantile: f64| {
        let micros = |result: &LoadResult| result.latency.value_at_quantile(quantile) as f64;
        ((micros(&node_at_half_rate) - micros(&direct_at_half_rate)) / 1e3 * 1e3).round() / 1e3
    };
    Ok(json!({
        "scenario": NAME,
        "policy": "default",
        "seed": seed,
        "requests": full_rate.latency.len() + node_at_half_rate.latency.len(),
        "requests_failed": full_rate.failed + node_at_half_rate.failed + direct_at_half_rate.failed,
        "requests_per_second": full_rate.rate().round(),
        "latency_ms_at_full_rate": full_rate.quantiles(),
        "node_cpu_cores_at_full_rate": (cpu.as_secs_f64() / MEASUREMENT_WINDOW.as_secs_f64() * 100.0)
            .round()
            / 100.0,
        "half_rate_asked": half_rate.round(),
        "half_rate_sent": node_at_half_rate.rate().round(),
        "latency_ms_direct_at_half_rate": direct_at_half_rate.quantiles(),
        "latency_ms_node_at_half_rate": node_at_half_rate.quantiles(),
        "added_latency_ms_p50": added(0.5),
        "added_latency_ms_p99": added(0.99),
    }))
}

/// Latencies of successful requests in microseconds, and the number of failed ones.
struct LoadResult {
    latency: Histogram<u64>,
    failed: u64,
    window: Duration,
}

impl LoadResult {
    fn new(window: Duration) -> Self {
        Self {
            latency: Histogram::new(3).expect("three digits are a valid precision"),
            failed: 0,
            window,
        }
    }

    /// Returns the successful requests per second.
    fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.window.as_secs_f64()
    }

    fn add(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("the histograms have the same precision and grow as needed");
        self.failed += other.failed;
    }

    /// Returns the quantiles of the latency in milliseconds.
    fn quantiles(&self) -> Value {
        let values = self.latency.iter_recorded().flat_map(|value| {
            let count = usize::try_from(value.count_at_value()).unwrap_or(usize::MAX);
            std::iter::repeat_n(Duration::from_micros(value.value_iterated_to()), count)
        });
        quantiles(values, 1e3)
    }

    /// Sends a request and records its latency, counted from `since`.
    async fn send(&mut self, caller: &Caller, address: SocketAddr, since: Instant) {
        let reply = caller
            .call(address, Method::GET, ROUTE_PATH, None, "")
            .await;
        match reply.is_ok() {
            true => {
                let micros = u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX);
                self.latency
                    .record(micros)
                    .expect("the histogram grows as needed");
            }
            false => self.failed += 1,
        }
    }
}

/// Sends in a closed loop: each sender starts its next request when the previous one has ended.
async fn run_closed_loop(
    caller: &Arc<Caller>,
    address: SocketAddr,
    window: Duration,
) -> LoadResult {
    let end = Instant::now() + window;
    let mut tasks = JoinSet::new();
    for _ in 0..SENDERS {
        let caller = Arc::clone(caller);
        tasks.spawn(async move {
            let mut result = LoadResult::new(window);
            while Instant::now() < end {
                result.send(&caller, address, Instant::now()).await;
            }
            result
        });
    }
    merge(tasks, window).await
}

/// Sends in an open loop, at `rate` requests per second over all senders.
async fn run_open_loop(caller: &Arc<Caller>, address: SocketAddr, rate: f64) -> LoadResult {
    let interval = Duration::from_secs_f64(f64::from(SENDERS) / rate.max(1.0));
    let start = Instant::now() + Duration::from_millis(10);
    let mut tasks = JoinSet::new();
    for index in 0..SENDERS {
        let caller = Arc::clone(caller);
        let mut due = start + interval * index / SENDERS;
        tasks.spawn(async move {
            let mut result = LoadResult::new(MEASUREMENT_WINDOW);
            while due < start + MEASUREMENT_WINDOW {
                // The latency of a request that the previous one delays counts from its due time,
                // so that queueing is included. Otherwise it counts from when the timer fires, as
                // the timer is only accurate to a millisecond.
                let since = match Instant::now() > due {
                    true => due,
                    false => {
                        tokio::time::sleep_until(due.into()).await;
                        Instant::now()
                    }
                };
                result.send(&caller, address, since).await;
                due += interval;
            }
            result
        });
    }
    merge(tasks, MEASUREMENT_WINDOW).await
}

/// Adds up the results of all senders.
async fn merge(mut tasks: JoinSet<LoadResult>, window: Duration) -> LoadResult {
    let mut total = LoadResult::new(window);
    while let Some(part) = tasks.join_next().await {
        if let Ok(part) = part {
            total.add(&part);
        }
    }
    total
}

/// Publishes a route to the services and waits until the node is ready.
async fn publish(cluster: &Cluster, services: &[Service]) -> Result<(), Error> {
    let servers: Vec<Server> = services
        .iter()
        .map(|service| Server {
            name: service.name().to_owned(),
            address: service.address(),
            zone: ZONE.to_owned(),
            slots: 512,
        })
        .collect();
    let text = Configuration::new()
        .with_services("echo", ROUTE_PATH, true, &servers)
        .with_caller("load", CALLER_KEY, "interactive")
        .to_yaml();
    cluster.await_live(START_TIMEOUT).await?;
    let response = cluster
        .operator
        .publish(cluster.admin(0), &text, "start")
        .await?;
    admin::published_revision(&response).ok_or_else(|| format!("not published: {response}"))?;
    cluster.await_ready(START_TIMEOUT).await?;
    Ok(())
}
