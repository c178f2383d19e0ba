//! Demonstrates the service on loopback addresses: three nodes between stand-ins, a published
//! configuration, callers' requests and a trainer's steps.

// The example's output is its result.
#![allow(clippy::print_stdout)]

use std::{
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use argh::FromArgs;
use serde_json::json;
use shallotroute_standin::{
    admin,
    caller::{Caller, Completion},
    cluster::{self, Cluster, Layout, OPERATOR_KEY},
    configuration::{Configuration, Server},
    engine::{self, Engine},
    scorer::Scorer,
    service::Service,
    trainer::{self, Trainer},
    truth::Truth,
    weight,
};
use shallotroute_types::name::Name;

/// Starts nodes and stand-ins, publishes, sends requests, runs a trainer's steps and ends.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// keep running until interrupted, and print the addresses and keys
    #[argh(switch)]
    serve: bool,
}

type Error = Box<dyn std::error::Error>;

const ZONES: [&str; 3] = ["colombo", "gampaha", "kalutara"];
const CALLER_KEY: &str = "quote-desk-key";
const TRAINER_KEY: &str = "pricing-trainer-key";
const SEED: u64 = 1;

/// Timeout of each wait, short enough that the example ends within 30 s.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout of all steps of the trainer.
const TRAINING_TIMEOUT: Duration = Duration::from_secs(12);

/// Stand-ins for backend servers, the scorer and the store of weights, which are not part of a
/// [`Cluster`].
struct Backends {
    pricing: Vec<Engine>,
    quotes: Vec<Engine>,
    desk: Service,
    scorer: Scorer,
    weights: Arc<weight::Store>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), Error> {
    let binary = cluster::node_binary()?;
    let started = Instant::now();
    let backends = Backends::start().await?;
    let cluster = Cluster::start(&binary, &Layout::new("lk-west", &ZONES)).await?;
    let result = run_demo(&cluster, &backends).await;
    if result.is_err() {
        eprintln!("{}", cluster.logs(20));
    }
    result?;
    println!("done after {:.1} s", started.elapsed().as_secs_f64());
    if arguments.serve {
        print_addresses(&cluster);
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

async fn run_demo(cluster: &Cluster, backends: &Backends) -> Result<(), Error> {
    cluster.await_live(WAIT_TIMEOUT).await?;
    for node in &cluster.nodes {
        let settings = node.settings();
        println!(
            "{} in {} is up at {}",
            settings.id, settings.zone, settings.callers
        );
    }
    publish(cluster, backends).await?;
    for index in 0..6 {
        request_quote(cluster, index).await?;
    }
    place_order(cluster, backends).await?;
    run_trainer(cluster, backends).await
}

impl Backends {
    async fn start() -> Result<Self, Error> {
        let settings = weight::Settings {
            version_bytes: 1 << 20,
            bytes_per_second: 50e6,
        };
        let weights = Arc::new(weight::Store::start(settings).await?);
        let mut pricing = Vec::new();
        let mut quotes = Vec::new();
        for zone in ZONES {
            let mut settings = engine::Settings::new(&format!("pricing-{zone}"), "pricing", SEED);
            settings.weights = Some(weights.address());
            pricing.push(Engine::start(settings).await?);
            let settings = engine::Settings::new(&format!("quotes-{zone}"), "quotes", SEED);
            quotes.push(Engine::start(settings).await?);
        }
        Ok(Self {
            pricing,
            quotes,
            desk: Service::start("order-desk").await?,
            scorer: Scorer::start().await?,
            weights,
        })
    }

    /// Returns the objects that describe the backends, with a caller and a trainer.
    fn configuration(&self) -> Configuration {
        let desk = Server {
            name: self.desk.name().to_owned(),
            address: self.desk.address(),
            zone: ZONES[0].to_owned(),
            slots: 8,
        };
        let trainer = json!({
            "model": "pricing",
            "pool": "pricing",
            "scorer": "prices",
            "staleness_bound": 2,
        });
        Configuration::new()
            .with_model("pricing")
            .with_model("quotes")
            .with_engines(
                "pricing",
                &["pricing"],
                "checked",
                "adaptive",
                &servers(&self.pricing),
            )
            .with_engines(
                "quotes",
                &["quotes"],
                "checked",
                "adaptive",
                &servers(&self.quotes),
            )
            .with_services("orders", "/orders", false, &[desk])
            .with(
                "scorer",
                "prices",
                json!({ "address": self.scorer.address() }),
            )
            .with_caller("quote-desk", CALLER_KEY, "interactive")
            .with_trainer("pricing", TRAINER_KEY, trainer)
    }
}

/// Returns the engines as backend servers, one in each availability zone in turn.
fn servers(engines: &[Engine]) -> Vec<Server> {
    let zones = ZONES.iter().cycle();
    engines
        .iter()
        .zip(zones)
        .map(|(engine, &zone)| Server {
            name: engine.name().to_owned(),
            address: engine.address(),
            zone: zone.to_owned(),
            slots: 8,
        })
        .collect()
}

/// Publishes through node 0 and waits until the configuration is in force at all nodes.
async fn publish(cluster: &Cluster, backends: &Backends) -> Result<(), Error> {
    let objects = backends.configuration().to_yaml();
    let began = Instant::now();
    let response = cluster
        .operator
        .publish(cluster.admin(0), &objects, "first configuration")
        .await?;
    let revision = admin::published_revision(&response)
        .ok_or_else(|| format!("the configuration was not published: {response}"))?;
    println!("node-0 published revision {revision}");
    for index in 0..cluster.nodes.len() {
        let admin = cluster.admin(index);
        cluster
            .operator
            .await_in_force(admin, revision, WAIT_TIMEOUT)
            .await?;
    }
    let seconds = began.elapsed().as_secs_f64();
    println!("revision {revision} is in force at all nodes after {seconds:.2} s");
    cluster.await_ready(WAIT_TIMEOUT).await?;
    println!("all nodes are ready");
    Ok(())
}

/// Requests a quote from a node other than the one that published.
async fn request_quote(cluster: &Cluster, index: u64) -> Result<(), Error> {
    let caller = Caller::new(cluster.client.clone(), CALLER_KEY);
    let node = &cluster.nodes[1].settings();
    let mut completion = Completion::new("quotes", format!("Quote {index} for 400 springs?"));
    completion.stream = index.is_multiple_of(2);
    completion.chat = index.is_multiple_of(3);
    let reply = caller.complete(node.callers, &completion).await;
    let content = reply.result.as_ref().map_err(ToString::to_string)?;
    println!(
        "quote {index} ({}) through {} from {}: {} tokens in {} ms",
        if completion.stream {
            "streamed"
        } else {
            "whole"
        },
        node.id,
        reply.header("x-shallotroute-backend").unwrap_or_default(),
        content.text.split_whitespace().count(),
        reply.latency.as_millis(),
    );
    Ok(())
}

/// Sends an order through one node, repeats it through another, and checks that it ran only once.
async fn place_order(cluster: &Cluster, backends: &Backends) -> Result<(), Error> {
    let began = Instant::now();
    let key = loop {
        let key = uuid::Uuid::now_v7().to_string();
        let rejection = match send_order(cluster, 1, &key).await {
            Ok(_) => break key,
            Err(rejection) => rejection,
        };
        // A node that has just started rejects orders, as it can't know yet whether an order was
        // sent before.
        if began.elapsed() > WAIT_TIMEOUT {
            return Err(rejection.into());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    let seconds = began.elapsed().as_secs_f64();
    println!("an order through node-1 is accepted after {seconds:.1} s");
    let repeated = send_order(cluster, 2, &key).await;
    println!(
        "the same order through node-2: {}",
        repeated.unwrap_or_else(|rejection| rejection)
    );
    let runs = backends.desk.runs_by_identity().remove(&key);
    let runs = runs.unwrap_or_default();
    println!("the order desk ran it {runs} time(s)");
    match runs {
        1 => Ok(()),
        _ => Err(format!("the order ran {runs} times instead of once").into()),
    }
}

/// Sends an order with this idempotency key. Returns the status, or the failure as the error.
async fn send_order(cluster: &Cluster, node: usize, key: &str) -> Result<String, String> {
    let caller = Caller::new(cluster.client.clone(), CALLER_KEY);
    let address = cluster.nodes[node].settings().callers;
    let reply = caller
        .call(
            address,
            http::Method::POST,
            "/orders/17",
            Some(key),
            "400 springs",
        )
        .await;
    match reply.result {
        Ok(content) => Ok(format!("status {}", content.status.as_u16())),
        Err(failure) => Err(failure.to_string()),
    }
}

/// Runs the trainer's steps and checks that no sample is repeated or has wrong provenance.
async fn run_trainer(cluster: &Cluster, backends: &Backends) -> Result<(), Error> {
    let settings = trainer::Settings {
        name: Name::from("pricing"),
        model: Name::from("pricing"),
        key: TRAINER_KEY.to_owned(),
        nodes: cluster.callers(),
        steps: 4,
        groups: 16,
        group_size: 4,
        max_tokens: 400,
        train_time: Duration::from_millis(200),
        steps_ahead: 1,
        pull_wait: Duration::from_millis(500),
        max_groups: 64,
        seed: SEED,
    };
    let weights = Some(Arc::clone(&backends.weights));
    let trainer = Trainer::new(settings, cluster.client.clone(), weights);
    let is_done = trainer.run(Instant::now() + TRAINING_TIMEOUT).await;
    let record = trainer.record();
    for (number, step) in &record.steps {
        if let (Some(submitted), Some(done)) = (step.submitted, step.completed_at) {
            let seconds = (done - submitted).as_secs_f64();
            println!(
                "step {number}: {} samples after {seconds:.2} s",
                step.samples
            );
        }
    }
    let truth = Truth::new(&backends.pricing);
    let wrong = record
        .deliveries
        .iter()
        .filter(|delivery| !truth.is_provenance_correct(delivery))
        .count();
    println!(
        "{} samples delivered, {} twice, {} with wrong provenance; the trainer was idle for {:.0} % \
         of the time",
        record.deliveries.len(),
        record.duplicates,
        wrong,
        100.0 * record.idle_fraction(),
    );
    match (is_done, wrong, record.duplicates) {
        (true, 0, 0) => Ok(()),
        _ => Err(format!(
            "steps are incomplete, or samples repeated or of wrong provenance; last failed call: {:?}",
            record.failures.last()
        )
        .into()),
    }
}

fn print_addresses(cluster: &Cluster) {
    println!("caller key: {CALLER_KEY}, operator key: {OPERATOR_KEY}, trainer key: {TRAINER_KEY}");
    for node in &cluster.nodes {
        let settings = node.settings();
        println!(
            "{}: callers http://{}, operators http://{}",
            settings.id, settings.callers, settings.admin
        );
    }
    println!("settings and logs: {}", cluster.folder().display());
    println!("interrupt to end");
}
