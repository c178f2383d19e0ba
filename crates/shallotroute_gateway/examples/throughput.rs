//! Measures one gateway over loopback: its requests per second, and the latency that it adds at
//! half of the target rate. Prints one JSON object and ends by itself.
#![allow(clippy::print_stdout, missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Method, Request, StatusCode, header};
use shallotroute_config::set::Set;
use shallotroute_http::{
    body::{self, Body},
    client::Client,
};
use support::{Backend, KEY, MODEL, Node};

const MEASURED_SECONDS: u64 = 4;
const CONNECTIONS: usize = 128;

/// The throughput that the design page sets as the target, in requests per second.
const TARGET_RATE: f64 = 20_000.0;

fn request(address: SocketAddr, stream: bool) -> Request<Body> {
    let text = format!(r#"{{"model":"{MODEL}","prompt":"leek price?","stream":{stream}}}"#);
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/v1/completions"))
        .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
        .header("x-request-id", "direct.1")
        .body(body::full(text))
        .unwrap()
}

async fn timed_request(client: &Client, address: SocketAddr, stream: bool) -> Duration {
    let started = Instant::now();
    let response = client.send(request(address, stream)).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    body::read(response.into_body(), 1 << 20).await.unwrap();
    started.elapsed()
}

/// Returns the CPU time of this process, in seconds. The kernel counts in units of 10 ms.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|it| it.parse::<f64>().ok()).sum::<f64>() / 100.0
}

/// Sends the next request of each connection when the last response has arrived. Returns the
/// requests per second and the CPU time of one in microseconds, callers and backend server
/// included.
async fn throughput(address: SocketAddr, stream: bool) -> (f64, f64) {
    let (started, cpu) = (Instant::now(), cpu_seconds());
    let end = started + Duration::from_secs(MEASURED_SECONDS);
    let tasks = (0..CONNECTIONS).map(|_| {
        tokio::spawn(async move {
            let client = Client::new(Duration::from_secs(1));
            let mut count = 0_u32;
            while Instant::now() < end {
                timed_request(&client, address, stream).await;
                count += 1;
            }
            count
        })
    });
    let mut total = 0.0;
    for count in futures::future::join_all(tasks).await {
        total += f64::from(count.unwrap());
    }
    let cpu = cpu_seconds() - cpu;
    let rate = total / started.elapsed().as_secs_f64();
    (rate.round(), (cpu / total * 1e6).round())
}

/// Sends `rate` requests per second, however long the responses take, and returns the p50 and p99
/// of the latency in microseconds.
async fn latency(address: SocketAddr, rate: f64) -> (u128, u128) {
    let started = Instant::now();
    let clients: Arc<Vec<Client>> = Arc::new(
        (0..CONNECTIONS)
            .map(|_| Client::new(Duration::from_secs(1)))
            .collect(),
    );
    let interval = Duration::from_secs_f64(CONNECTIONS as f64 / rate);
    let tasks = (0..CONNECTIONS).map(|index| {
        let clients = Arc::clone(&clients);
        tokio::spawn(async move {
            let offset = interval.mul_f64(index as f64 / CONNECTIONS as f64);
            let mut ticks = tokio::time::interval_at((started + offset).into(), interval);
            let mut samples = Vec::new();
            while started.elapsed() < Duration::from_secs(MEASURED_SECONDS) {
                ticks.tick().await;
                samples.push(
                    timed_request(&clients[index], address, false)
                        .await
                        .as_micros(),
                );
            }
            samples
        })
    });
    let samples = futures::future::join_all(tasks).await;
    let mut samples: Vec<u128> = samples.into_iter().flat_map(Result::unwrap).collect();
    samples.sort_unstable();
    (
        samples[samples.len() / 2],
        samples[samples.len() * 99 / 100],
    )
}

#[tokio::main]
async fn main() {
    let backend = Backend::start_with_recording(false, |request| async move {
        support::engine_response(&request, 4)
    })
    .await;
    let mut servers = Vec::new();
    for index in 0..8 {
        let mut server = support::server(&format!("engine-{index}"), backend.address);
        server.slots = 1_000;
        servers.push(server);
    }
    let mut objects = support::objects(servers, Vec::new());
    for object in &mut objects {
        if let shallotroute_config::object::Object::Pool(pool) = object {
            pool.selection = shallotroute_config::object::Selection::Adaptive;
        }
    }
    let node = Node::start(Set::new(objects)).await;
    let direct_rate = throughput(backend.address, false).await;
    let whole_rate = throughput(node.address, false).await;
    let streamed_rate = throughput(node.address, true).await;
    let direct_latency = latency(backend.address, TARGET_RATE / 2.0).await;
    let gateway_latency = latency(node.address, TARGET_RATE / 2.0).await;
    let result = serde_json::json!({
        "connections": CONNECTIONS,
        "whole_per_s": whole_rate.0, "whole_cpu_us": whole_rate.1,
        "streams_per_s": streamed_rate.0, "streams_cpu_us": streamed_rate.1,
        "direct_per_s": direct_rate.0, "direct_cpu_us": direct_rate.1,
        "direct_p50_us": direct_latency.0, "direct_p99_us": direct_latency.1,
        "through_p50_us": gateway_latency.0, "through_p99_us": gateway_latency.1,
    });
    println!("{result}");
}
