//! The kinds of objects that operators write.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use shallotroute_types::{class::Class, name::Name, version::Version};

/// One YAML document of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// A model with weights that a trainer renews.
    Model(Model),
    /// What operators say of one version of a model.
    ModelVersion(ModelVersion),
    /// An adapter on top of a model.
    Adapter(Adapter),
    /// Backend servers that serve the same requests.
    Pool(Pool),
    /// Which requests go to which pool.
    Route(Route),
    /// A limit on a caller's requests.
    Limit(Limit),
    /// Somebody who sends requests.
    Caller(Caller),
    /// A service that scores samples.
    Scorer(Scorer),
    /// A trainer whose steps are sampled.
    Trainer(Trainer),
}

impl Object {
    /// Returns the object's name, unique among objects of its kind.
    pub fn name(&self) -> &Name {
        match self {
            Self::Model(model) => &model.name,
            Self::ModelVersion(version) => &version.name,
            Self::Adapter(adapter) => &adapter.name,
            Self::Pool(pool) => &pool.name,
            Self::Route(route) => &route.name,
            Self::Limit(limit) => &limit.name,
            Self::Caller(caller) => &caller.name,
            Self::Scorer(scorer) => &scorer.name,
            Self::Trainer(trainer) => &trainer.name,
        }
    }

    /// Returns the kind as written in YAML.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Model(_) => "model",
            Self::ModelVersion(_) => "model_version",
            Self::Adapter(_) => "adapter",
            Self::Pool(_) => "pool",
            Self::Route(_) => "route",
            Self::Limit(_) => "limit",
            Self::Caller(_) => "caller",
            Self::Scorer(_) => "scorer",
            Self::Trainer(_) => "trainer",
        }
    }
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that requests give in their `model` field.
    pub name: Name,
    /// The version that engines load when no trainer has announced one.
    #[serde(default)]
    pub initial: Version,
}

/// What operators say of one version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// The object's name.
    pub name: Name,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: Version,
    /// What it may be used for.
    #[serde(default)]
    pub state: VersionState,
}

/// What a version may be used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Any use.
    #[default]
    Allowed,
    /// No new work; its samples are not delivered.
    Withdrawn,
}

/// An adapter on top of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name that requests give in their `model` field.
    pub name: Name,
    /// The model below; adapters do not stack.
    pub model: Name,
}

/// Backend servers that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The object's name.
    pub name: Name,
    /// What the backend servers are.
    pub backend: Backend,
    /// Whether the engines refuse commands with an old fencing number. Required for engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<Fencing>,
    /// The models and adapters that the engines serve.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
    /// How a backend server is chosen.
    #[serde(default)]
    pub selection: Selection,
    /// The backend servers.
    pub servers: Vec<Server>,
}

/// What the backend servers of a pool are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Backend {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// What engines do with a command that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// They refuse it.
    Checked,
    /// They carry it out.
    Ignored,
}

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selection {
    /// One after the other; a baseline.
    RoundRobin,
    /// The fewest requests in progress; a baseline.
    LeastLoaded,
    /// Two random candidates, prefix affinity with bounded load, zones, slow servers avoided.
    #[default]
    Adaptive,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Unique over all pools.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// How many requests it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ServerState,
}

fn default_slots() -> u32 {
    8
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// It does.
    #[default]
    Active,
    /// It finishes what it has.
    Leaving,
}

/// Which requests go to which pool. Among the routes that match, the most specific one is taken: a
/// model before a path prefix, a longer prefix before a shorter one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The object's name.
    pub name: Name,
    /// The model or adapter that the request names; for inference requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// The start of the request's path; for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// The pool that serves the request.
    pub pool: Name,
    /// Whether requests may run twice. `GET`, `HEAD`, `OPTIONS` are always idempotent.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// The time limit for a request that brings none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Route {
    /// Returns the time limit for a request that brings none.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

fn default_true() -> bool {
    true
}

fn default_timeout_ms() -> u64 {
    30_000
}

/// A limit on a caller's requests over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// The object's name.
    pub name: Name,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Requests that may come at once.
    pub burst: u32,
    /// Requests in progress at the same time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
}

/// Somebody who sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The object's name.
    pub name: Name,
    /// BLAKE3 hash of the key, 64 lower-case hexadecimal digits.
    pub key_hash: String,
    /// The priority class of the caller's requests.
    pub class: Class,
    /// The limit on the caller's requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Name>,
    /// The trainer that this caller may act for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trainer: Option<Name>,
}

/// A service that scores samples.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scorer {
    /// The object's name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The time limit for one score, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// A trainer whose steps are sampled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// The object's name.
    pub name: Name,
    /// The model that it trains and samples from.
    pub model: Name,
    /// The pool whose engines sample for it.
    pub pool: Name,
    /// The service that scores its samples; without one samples carry no score.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scorer: Option<Name>,
    /// The greatest staleness of a sample at delivery, in versions.
    pub staleness_bound: u64,
    /// Idle time against freshness: 1.0 cares for idle time only, 0.0 for freshness only.
    #[serde(default = "default_idle_weight")]
    pub idle_weight: f64,
    /// Its share of shared engines, relative to the other trainers'.
    #[serde(default = "default_share")]
    pub share: f64,
    /// How its steps are ordered against those of other trainers.
    #[serde(default)]
    pub order: Order,
    /// What is done for the last samples of a step.
    #[serde(default)]
    pub tail: Tail,
    /// How samplers change to a new version.
    #[serde(default)]
    pub swap: Swap,
}

fn default_idle_weight() -> f64 {
    0.5
}

fn default_share() -> f64 {
    1.0
}

/// How samples of several trainers are ordered on shared engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// First come, first served; a baseline.
    Fcfs,
    /// Weighted fair shares.
    Fair,
    /// The step with the least weighted remaining work first.
    #[default]
    LeastRemaining,
    /// By middle finish time.
    Joint,
}

/// What is done for the last samples of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tail {
    /// Nothing; a baseline.
    None,
    /// They get a higher priority.
    Priority,
    /// They get a second attempt on another engine.
    #[default]
    Hedge,
}

/// How samplers change to a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Swap {
    /// All at the same time; a baseline.
    AllAtOnce,
    /// A share of the samplers at a time.
    #[default]
    Waves,
}
