//! Requests a second of one node, and the latency that it adds to a direct call.

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
    configuration::{Configuration, Server},
    fleet::{self, Fleet, Layout},
    service::Service,
};
use tokio::task::JoinSet;

use crate::{Error, report::quantiles};

/// The name of the scenario.
pub(crate) const NAME: &str = "throughput";

const KEY: &str = "throughput-key";
const PATH: &str = "/echo";
const ZONE: &str = "colombo";

/// Requests in progress while the greatest rate is measured.
const CONNECTIONS: u32 = 128;

const START_LIMIT: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(3);

/// Measures one node.
pub(crate) async fn run(seed: u64) -> Result<Value, Error> {
    let binary = fleet::binary()?;
    let services = [
        Service::start("echo-0").await?,
        Service::start("echo-1").await?,
    ];
    let fleet = Fleet::start(&binary, &Layout::new("lk-west", &[ZONE])).await?;
    publish(&fleet, &services).await?;
    let node = fleet.nodes[0].settings().callers;
    let caller = Arc::new(Caller::new(fleet.client.clone(), KEY));
    closed(&caller, node, WARM_UP).await;
    let cpu = fleet.nodes[0].cpu_time().unwrap_or_default();
    let through = closed(&caller, node, WINDOW).await;
    let cpu = fleet.nodes[0]
        .cpu_time()
        .unwrap_or_default()
        .saturating_sub(cpu);
    let half = through.rate() / 2.0;
    let direct = services[0].address();
    closed(&caller, direct, WARM_UP / 4).await;
    let paced_direct = paced(&caller, direct, half).await;
    let paced_node = paced(&caller, node, half).await;
    let added = |quantile: f64| {
        let micros = |rate: &Rate| rate.latency.value_at_quantile(quantile) as f64;
        ((micros(&paced_node) - micros(&paced_direct)) / 1e3 * 1e3).round() / 1e3
    };
    Ok(json!({
        "scenario": NAME,
        "policy": "default",
        "seed": seed,
        "requests": through.latency.len() + paced_node.latency.len(),
        "requests_failed": through.failed + paced_node.failed + paced_direct.failed,
        "requests_per_second": through.rate().round(),
        "latency_ms_at_full_rate": through.quantiles(),
        "node_cpu_cores_at_full_rate": (cpu.as_secs_f64() / WINDOW.as_secs_f64() * 100.0).round()
            / 100.0,
        "half_rate_asked": half.round(),
        "half_rate_sent": paced_node.rate().round(),
        "latency_ms_direct_at_half_rate": paced_direct.quantiles(),
        "latency_ms_node_at_half_rate": paced_node.quantiles(),
        "added_latency_ms_p50": added(0.5),
        "added_latency_ms_p99": added(0.99),
    }))
}

/// What a load got.
struct Rate {
    latency: Histogram<u64>,
    failed: u64,
    window: Duration,
}

impl Rate {
    fn new(window: Duration) -> Self {
        Self {
            latency: Histogram::new(3).expect("three digits are a valid precision"),
            failed: 0,
            window,
        }
    }

    fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.window.as_secs_f64()
    }

    fn add(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("the histograms have the same precision and grow as needed");
        self.failed += other.failed;
    }

    fn quantiles(&self) -> Value {
        let values = self.latency.iter_recorded().flat_map(|value| {
            let count = usize::try_from(value.count_at_value()).unwrap_or(usize::MAX);
            std::iter::repeat_n(Duration::from_micros(value.value_iterated_to()), count)
        });
        quantiles(values, 1e3)
    }

    async fn send(&mut self, caller: &Caller, address: SocketAddr, since: Instant) {
        let reply = caller.call(address, Method::GET, PATH, None, "").await;
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

/// Sends the next request on a connection as soon as the one before is answered.
async fn closed(caller: &Arc<Caller>, address: SocketAddr, window: Duration) -> Rate {
    let end = Instant::now() + window;
    let mut tasks = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let caller = Arc::clone(caller);
        tasks.spawn(async move {
            let mut rate = Rate::new(window);
            while Instant::now() < end {
                rate.send(&caller, address, Instant::now()).await;
            }
            rate
        });
    }
    join(tasks, window).await
}

/// Sends at a fixed rate.
async fn paced(caller: &Arc<Caller>, address: SocketAddr, rate: f64) -> Rate {
    let interval = Duration::from_secs_f64(f64::from(CONNECTIONS) / rate.max(1.0));
    let start = Instant::now() + Duration::from_millis(10);
    let mut tasks = JoinSet::new();
    for index in 0..CONNECTIONS {
        let caller = Arc::clone(caller);
        let mut due = start + interval * index / CONNECTIONS;
        tasks.spawn(async move {
            let mut rate = Rate::new(WINDOW);
            while due < start + WINDOW {
                // A request behind the one before it counts from its due time. One that waits for the
                // timer does not, because the timer is exact to a millisecond only.
                let since = match Instant::now() > due {
                    true => due,
                    false => {
                        tokio::time::sleep_until(due.into()).await;
                        Instant::now()
                    }
                };
                rate.send(&caller, address, since).await;
                due += interval;
            }
            rate
        });
    }
    join(tasks, WINDOW).await
}

async fn join(mut tasks: JoinSet<Rate>, window: Duration) -> Rate {
    let mut whole = Rate::new(window);
    while let Some(part) = tasks.join_next().await {
        if let Ok(part) = part {
            whole.add(&part);
        }
    }
    whole
}

async fn publish(fleet: &Fleet, services: &[Service]) -> Result<(), Error> {
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
        .with_services("echo", PATH, true, &servers)
        .with_caller("load", KEY, "interactive")
        .to_yaml();
    fleet.await_live(START_LIMIT).await?;
    let answer = fleet
        .operator
        .publish(fleet.admin(0), &text, "start")
        .await?;
    admin::published(&answer).ok_or_else(|| format!("not published: {answer}"))?;
    fleet.await_ready(START_LIMIT).await?;
    Ok(())
}
