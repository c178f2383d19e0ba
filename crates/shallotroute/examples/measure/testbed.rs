//! The nodes of a scenario and the stand-ins around them.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::json;
use shallotroute_platform::host;
use shallotroute_standin::{
    admin,
    cluster::{Cluster, Layout},
    configuration::{Configuration, Server},
    engine::{self, Engine},
    scorer::Scorer,
    service::Service,
    trainer::{self, Trainer},
    weight,
};
use shallotroute_types::{name::Name, version::Version};

use crate::{Error, policy::Policy, scenario::Scenario};

/// The callers: name, API key and priority class.
pub(crate) const CALLERS: [(&str, &str, &str); 2] = [
    ("quote-desk", "quote-desk-key", "interactive"),
    ("reconciliation", "reconciliation-key", "batch"),
];

/// The model that the quote desk or refill stations use, and the name of its engine pool.
pub(crate) const QUOTE_MODEL: &str = "quotes";

/// The path of orders, which are not idempotent.
pub(crate) const ORDER_PATH: &str = "/orders";

/// Timeout for the start of the nodes, and again for the first configuration to come into force.
const START_TIMEOUT: Duration = Duration::from_secs(6);

/// Time until the host list shows that a host leaves.
const HOST_LIST_LAG: Duration = Duration::from_secs(30);

/// The processes and stand-ins of a run; dropping it stops them.
pub(crate) struct Testbed {
    pub(crate) cluster: Cluster,
    /// Engines that sample for trainers.
    pub(crate) samplers: Vec<Engine>,
    /// Engines that serve only quotes.
    pub(crate) quote_samplers: Vec<Engine>,
    /// Services that run orders.
    pub(crate) desks: Vec<Service>,
    pub(crate) trainers: Vec<Trainer>,
    /// Backend servers that have started to leave.
    pub(crate) leaving: Mutex<Vec<Leaving>>,
    /// Held from reading the configuration to the end of its publication. An operator whose change
    /// must last takes the write lock, as the next publication replaces the whole set of objects;
    /// operators who may race each other take the read lock.
    pub(crate) publication_lock: tokio::sync::RwLock<()>,
    /// The current objects, without the observer's marker limit.
    pub(crate) configuration: Mutex<Configuration>,
    /// The revision of the first configuration.
    pub(crate) first_revision: u64,
    scorer: Scorer,
}

/// A backend server that leaves, with the time at which it started to.
#[derive(Clone, Debug)]
pub(crate) struct Leaving {
    pub(crate) server: String,
    pub(crate) since: Instant,
}

impl Testbed {
    /// Starts the stand-ins and nodes, and waits until the first configuration is in force.
    pub(crate) async fn start(
        binary: &Path,
        scenario: &Scenario,
        policy: Policy,
        seed: u64,
    ) -> Result<Self, Error> {
        let weights = weight::Settings {
            version_bytes: 1 << 20,
            bytes_per_second: 20e6,
        };
        let weights = Arc::new(weight::Store::start(weights).await?);
        let samplers =
            start_engines(scenario, "sampler", scenario.samplers, seed, &weights).await?;
        let quote_samplers = start_engines(
            scenario,
            QUOTE_MODEL,
            scenario.quote_samplers,
            seed,
            &weights,
        )
        .await?;
        let desks = vec![
            Service::start("desk-0").await?,
            Service::start("desk-1").await?,
        ];
        let scorer = Scorer::start().await?;
        let cluster =
            Cluster::start(binary, &Layout::new(scenario.region, &scenario.zones)).await?;
        let trainers = trainers(scenario, &cluster, &weights, seed);
        let mut testbed = Self {
            cluster,
            samplers,
            quote_samplers,
            desks,
            trainers,
            leaving: Mutex::default(),
            publication_lock: tokio::sync::RwLock::default(),
            configuration: Mutex::default(),
            first_revision: 0,
            scorer,
        };
        let configuration = testbed.objects(scenario, policy);
        *testbed.configuration() = configuration;
        testbed.publish_initial().await?;
        testbed.cluster.hosts.set_lag(HOST_LIST_LAG);
        Ok(testbed)
    }

    /// Returns all engines, the samplers first.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.samplers.iter().chain(&self.quote_samplers)
    }

    /// Locks the current objects.
    pub(crate) fn configuration(&self) -> std::sync::MutexGuard<'_, Configuration> {
        self.configuration
            .lock()
            .expect("no holder of the lock panics")
    }

    /// Records that a backend server starts to leave now.
    pub(crate) fn record_leaving(&self, server: &str) {
        let mut leaving = self.leaving.lock().expect("no holder of the lock panics");
        leaving.push(Leaving {
            server: server.to_owned(),
            since: Instant::now(),
        });
    }

    async fn publish_initial(&mut self) -> Result<(), Error> {
        let text = self.configuration().to_yaml();
        self.cluster.await_live(START_TIMEOUT).await?;
        let admin = self.cluster.admin(0);
        let response = self.cluster.operator.publish(admin, &text, "start").await?;
        self.first_revision = admin::published_revision(&response)
            .ok_or_else(|| format!("the first configuration was not published: {response}"))?;
        self.cluster.await_ready(START_TIMEOUT).await?;
        Ok(())
    }

    /// Returns the initial objects: pools, services, callers and trainers of the scenario.
    fn objects(&self, scenario: &Scenario, policy: Policy) -> Configuration {
        let fencing = if scenario.engine.has_fencing {
            "checked"
        } else {
            "ignored"
        };
        let selection = policy.selection();
        let models: Vec<&str> = scenario
            .trainers
            .iter()
            .map(|trainer| trainer.name)
            .collect();
        let samplers = servers(scenario, &self.samplers);
        let quotes = servers(scenario, &self.quote_samplers);
        let desks = desk_servers(scenario, &self.desks);
        let mut configuration = Configuration::new()
            .with_model(QUOTE_MODEL)
            .with_engines("samplers", &models, fencing, selection, &samplers)
            .with_engines(QUOTE_MODEL, &[QUOTE_MODEL], fencing, selection, &quotes)
            .with_services("orders", ORDER_PATH, false, &desks)
            .with(
                "scorer",
                "scores",
                json!({ "address": self.scorer.address() }),
            );
        for (name, key, class) in CALLERS {
            configuration = configuration.with_caller(name, key, class);
        }
        for trainer in &scenario.trainers {
            let fields = json!({
                "model": trainer.name,
                "pool": "samplers",
                "scorer": "scores",
                "staleness_bound": trainer.staleness_bound,
                "idle_weight": trainer.idle_weight,
            });
            configuration = configuration.with_model(trainer.name).with_trainer(
                trainer.name,
                &trainer_key(trainer.name),
                fields,
            );
            policy.apply(&mut configuration, trainer.name);
        }
        configuration
    }
}

fn trainer_key(name: &str) -> String {
    format!("{name}-trainer-key")
}

/// Starts `count` engines. Those of the quote pool serve [`QUOTE_MODEL`], others the trainers'
/// models.
async fn start_engines(
    scenario: &Scenario,
    prefix: &str,
    count: usize,
    seed: u64,
    weights: &Arc<weight::Store>,
) -> Result<Vec<Engine>, Error> {
    let mut engines = Vec::new();
    for index in 0..count {
        let mut settings = engine::Settings::new(&format!("{prefix}-{index}"), QUOTE_MODEL, seed);
        let profile = &scenario.engine;
        settings.slots = profile.slots;
        settings.tokens_per_second = profile.tokens_per_second;
        settings.length.median = profile.median_tokens;
        settings.length.sigma = profile.sigma;
        settings.load_time = profile.load_time;
        settings.fencing = profile.has_fencing;
        settings.weights = Some(weights.address());
        if prefix != QUOTE_MODEL {
            settings.models = models(scenario);
        }
        engines.push(Engine::start(settings).await?);
    }
    Ok(engines)
}

/// Returns the models of all trainers at version 0.
fn models(scenario: &Scenario) -> BTreeMap<Name, Version> {
    let trainers = scenario.trainers.iter();
    trainers
        .map(|trainer| (Name::from(trainer.name), Version(0)))
        .collect()
}

/// Returns the engines as backend servers, spread over the nodes' availability zones in turn.
fn servers(scenario: &Scenario, engines: &[Engine]) -> Vec<Server> {
    let zones = scenario.zones.iter().cycle();
    engines
        .iter()
        .zip(zones)
        .map(|(engine, &zone)| Server {
            name: engine.name().to_owned(),
            address: engine.address(),
            zone: zone.to_owned(),
            slots: scenario.engine.slots,
        })
        .collect()
}

/// Returns the order desks as backend servers, spread over the nodes' availability zones in turn.
fn desk_servers(scenario: &Scenario, desks: &[Service]) -> Vec<Server> {
    let zones = scenario.zones.iter().cycle();
    desks
        .iter()
        .zip(zones)
        .map(|(desk, &zone)| Server {
            name: desk.name().to_owned(),
            address: desk.address(),
            zone: zone.to_owned(),
            slots: 64,
        })
        .collect()
}

/// Returns the scenario's trainers, which are started later.
fn trainers(
    scenario: &Scenario,
    cluster: &Cluster,
    weights: &Arc<weight::Store>,
    seed: u64,
) -> Vec<Trainer> {
    let plans = scenario.trainers.iter();
    plans
        .map(|plan| {
            let settings = trainer::Settings {
                name: Name::from(plan.name),
                model: Name::from(plan.name),
                key: trainer_key(plan.name),
                nodes: cluster.callers(),
                steps: u64::MAX,
                groups: plan.groups,
                group_size: plan.group_size,
                max_tokens: 1_000,
                train_time: plan.train_time,
                steps_ahead: plan.steps_ahead,
                pull_wait: Duration::from_millis(500),
                max_groups: 256,
                seed,
            };
            Trainer::new(settings, cluster.client.clone(), Some(Arc::clone(weights)))
        })
        .collect()
}

/// The state of a leaving host in the host list.
pub(crate) const HOST_LEAVING: host::State = host::State::Leaving;
