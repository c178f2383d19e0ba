//! The objects of a configuration, as operators write them in YAML.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use shallotroute_types::{class::Class, name::Name, version::Version};

/// An object of the configuration; one YAML document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// A model whose weights a trainer updates.
    Model(Model),
    /// The permitted use of one version of a model.
    ModelVersion(ModelVersion),
    /// An adapter on top of a model.
    Adapter(Adapter),
    /// A group of interchangeable backend servers.
    Pool(Pool),
    /// A rule that assigns requests to a pool.
    Route(Route),
    /// A limit on a caller's requests.
    Limit(Limit),
    /// A client with a key of its own.
    Caller(Caller),
    /// A service that scores samples.
    Scorer(Scorer),
    /// A trainer for whose steps samples are generated.
    Trainer(Trainer),
}

impl Object {
    /// Returns the object's name, which is unique among objects of its kind.
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

    /// Returns the value of the `kind` field in YAML.
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

/// A model whose weights a trainer updates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that requests give in their `model` field.
    pub name: Name,
    /// The version that engines load until a trainer announces one.
    #[serde(default)]
    pub initial: Version,
}

/// The permitted use of one version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// The object's name, independent of the model's.
    pub name: Name,
    /// The name of the model.
    pub model: Name,
    /// The version of the model's weights.
    pub version: Version,
    /// The permitted use.
    #[serde(default)]
    pub state: VersionState,
}

/// The permitted use of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// The version is used without restriction.
    #[default]
    Allowed,
    /// The version gets no new work, and its samples are not delivered.
    Withdrawn,
}

/// An adapter on top of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name that requests give in their `model` field.
    pub name: Name,
    /// The base model; an adapter can't be based on another adapter.
    pub model: Name,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The object's name.
    pub name: Name,
    /// The kind of the backend servers.
    pub backend: Backend,
    /// Whether the engines reject commands with an outdated fencing number; required for engines,
    /// not permitted for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<Fencing>,
    /// The models and adapters that the engines serve; empty for plain services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
    /// The load-balancing policy.
    #[serde(default)]
    pub selection: Selection,
    /// The backend servers.
    pub servers: Vec<Server>,
}

/// The kind of the backend servers of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Backend {
    /// Inference engines, which load model weights.
    Engine,
    /// HTTP services without model weights.
    Service,
}

/// The reaction of engines to a command with an outdated fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Engines reject the command.
    Checked,
    /// Engines execute the command.
    Ignored,
}

/// A load-balancing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selection {
    /// Servers take turns; a baseline for comparisons.
    RoundRobin,
    /// The server with the fewest requests in progress; a baseline for comparisons.
    LeastLoaded,
    /// The better of two random servers, with prefix affinity under bounded load; prefers the own
    /// availability zone and avoids slow servers.
    #[default]
    Adaptive,
}

/// A backend server of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name, unique across all pools.
    pub name: Name,
    /// The address on which the server accepts requests.
    pub address: SocketAddr,
    /// The server's availability zone.
    pub zone: Name,
    /// The number of requests that the server runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the server accepts new work.
    #[serde(default)]
    pub state: ServerState,
}

fn default_slots() -> u32 {
    8
}

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server accepts new work.
    #[default]
    Active,
    /// The server drains: it finishes its work and gets no more.
    Leaving,
}

/// A rule that assigns requests to a pool.
///
/// Of several routes that match, the most specific one applies: a model before a path prefix, a
/// longer prefix before a shorter one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The object's name.
    pub name: Name,
    /// The model or adapter that an inference request names; excludes `path_prefix`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// The prefix of the path of a request to a plain service; excludes `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// The pool that serves the request.
    pub pool: Name,
    /// Whether a request may be executed more than once. `GET`, `HEAD` and `OPTIONS` always may.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// The timeout of a request that does not set its own, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Route {
    /// Returns the timeout of a request that does not set its own.
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

/// A limit on a caller's requests, summed over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// The object's name.
    pub name: Name,
    /// The sustained rate.
    pub requests_per_second: f64,
    /// The number of requests that may arrive at once above the sustained rate.
    pub burst: u32,
    /// The greatest number of requests in progress; unlimited if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
}

/// A client with a key of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The object's name.
    pub name: Name,
    /// The BLAKE3 hash of the key, 64 lower-case hexadecimal digits.
    pub key_hash: String,
    /// The priority class of the caller's requests.
    pub class: Class,
    /// The name of the limit on the caller's requests; unlimited if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Name>,
    /// The name of the trainer that this caller may act for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trainer: Option<Name>,
}

/// A service that scores samples.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scorer {
    /// The object's name.
    pub name: Name,
    /// The address on which the service accepts requests.
    pub address: SocketAddr,
    /// The timeout for scoring one sample, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// A trainer for whose steps samples are generated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    /// The object's name.
    pub name: Name,
    /// The model that the trainer trains and samples from.
    pub model: Name,
    /// The pool whose engines generate the trainer's samples.
    pub pool: Name,
    /// The service that scores the trainer's samples; samples carry no score if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scorer: Option<Name>,
    /// The greatest staleness of a sample at delivery, in versions.
    pub staleness_bound: u64,
    /// The weight of idle time against freshness, from 0.0 (only freshness counts) to 1.0 (only
    /// idle time counts).
    #[serde(default = "default_idle_weight")]
    pub idle_weight: f64,
    /// The trainer's weight on shared engines, relative to the other trainers; above 0.
    #[serde(default = "default_share")]
    pub share: f64,
    /// The scheduling policy between this trainer's steps and those of other trainers.
    #[serde(default)]
    pub order: Order,
    /// The treatment of stragglers: the last samples of a step.
    #[serde(default)]
    pub tail: Tail,
    /// The way samplers change to a new version.
    #[serde(default)]
    pub swap: Swap,
}

fn default_idle_weight() -> f64 {
    0.5
}

fn default_share() -> f64 {
    1.0
}

/// The scheduling policy for samples of several trainers on shared engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// First come, first served; a baseline for comparisons.
    Fcfs,
    /// Weighted fair sharing.
    Fair,
    /// The step with the least weighted remaining work first.
    #[default]
    LeastRemaining,
    /// The step with the earliest mean busy time first: its submission plus half of its weighted
    /// work.
    Joint,
}

/// The treatment of stragglers: the last samples of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tail {
    /// No special treatment; a baseline for comparisons.
    None,
    /// Stragglers run at a higher priority.
    Priority,
    /// Stragglers get a second attempt on another engine (a hedged request).
    #[default]
    Hedge,
}

/// The way samplers change to a new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Swap {
    /// All samplers at the same time; a baseline for comparisons.
    AllAtOnce,
    /// A fraction of the samplers at a time (a rolling update).
    #[default]
    Waves,
}
