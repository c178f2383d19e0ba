//! The routing table: routes and services of one configuration version, validated as a whole.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use derive_more::Display;
use shallotroute_types::{location::Zone, name::Name};
use xxhash_rust::xxh3::xxh3_64;

use crate::workspace::Directory;

/// The result of validating a table.
pub type Result<T> = std::result::Result<T, Error>;

/// The kind of a route, which decides how its requests may be retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A request runs at most once each time its caller sends it.
    #[display("at most once")]
    AtMostOnce,
    /// The response is a stream of events.
    #[display("stream")]
    Stream {
        /// Whether an interrupted stream may be resumed at another server.
        resumable: bool,
    },
    /// Batch jobs of a trainer.
    #[display("batch")]
    Batch,
}

/// The share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service that gets the requests.
    pub service: Name,
    /// The weight relative to the route's other shares.
    pub weight: u32,
}

/// The limits of batch jobs on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchLimits {
    /// The time after submission at which all results are due.
    pub due_after: Duration,
    /// The time after submission from which unfinished items are abandoned.
    pub abandon_after: Duration,
    /// Whether all events of an output must come from one version of the weights.
    pub requires_single_version: bool,
}

/// A rule that maps a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The unique name of the route.
    pub name: Name,
    /// The host that requests name.
    pub host: Arc<str>,
    /// The prefix of the paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// The kind of the requests.
    pub kind: Kind,
    /// The services that run the requests; not empty in a validated table.
    pub shares: Vec<Share>,
    /// The maximum number of servers that one request is sent to.
    pub max_attempts: usize,
    /// The time after which a request of a caller fails; zero if the configuration sets none.
    pub timeout: Duration,
    /// The time within which a caller should have a response.
    pub target_latency: Duration,
    /// The priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// The limits of batch jobs; `Some` exactly on batch routes.
    pub batch: Option<BatchLimits>,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The unique name of the service.
    pub name: Name,
    /// The maximum number of connections of all callers to one server.
    pub max_connections: usize,
    /// The models that the servers have; empty for a service without models.
    pub models: Vec<Name>,
    /// The limits and prices by which its servers are scaled; `None` if their number is fixed.
    pub scaling: Option<Scaling>,
}

/// The limits and prices by which the servers of a service are scaled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scaling {
    /// The minimum number of servers in each zone, both kinds together.
    pub min: u32,
    /// The maximum number of servers in each zone, both kinds together.
    pub max: u32,
    /// The time after which a new server serves.
    pub boot_time: Duration,
    /// The price of a spot server as a part of the on-demand price; 1 where there are none.
    pub spot_price: Price,
    /// The price of an on-demand server in each zone, per second.
    pub zone_prices: BTreeMap<Zone, Price>,
}

/// A price or a part of one, in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Price(pub u64);

impl Price {
    /// The price 1.
    pub const ONE: Self = Self(1_000_000);

    /// The highest price that is believed.
    const MAX: f64 = 1e6;

    /// Converts a price, rounded to millionths and at most a million. Returns `None` unless it is
    /// positive.
    pub fn new(price: f64) -> Option<Self> {
        let millionths = (price.min(Self::MAX) * 1e6).round();
        (millionths >= 1.0).then_some(Self(millionths as u64))
    }
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The time within which a caller must send a whole request head.
    pub head_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A validated set of routes and services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    version: u64,
    routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<Name, Service>,
    /// The number of batch routes that use each service. There may be over a thousand routes, and the
    /// number is needed for each event of a batch job.
    batch_route_counts: BTreeMap<Name, usize>,
    limits: RequestLimits,
    /// The workspaces; `None` if the configuration has none.
    workspaces: Option<Directory>,
}

/// The reasons why a table is invalid, one text for each.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{}", _0.join("; "))]
pub struct Error(pub Vec<String>);

impl std::error::Error for Error {}

impl Table {
    /// Creates a table from the routes and services of a configuration version.
    ///
    /// # Errors
    ///
    /// Returns all problems at once: services that do not exist, malformed prefixes, routes without a
    /// share, routes with the same host and prefix, batch routes without batch limits, and other
    /// routes with them.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: RequestLimits,
    ) -> Result<Self> {
        let services: BTreeMap<Name, Service> = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let mut problems = Vec::new();
        let mut by_host: BTreeMap<Arc<str>, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            validate(&route, &services, &mut problems);
            let others = by_host.entry(Arc::clone(&route.host)).or_default();
            if let Some(other) = others.iter().find(|other| other.prefix == route.prefix) {
                problems.push(format!(
                    "routes `{}` and `{}` have the same host `{}` and prefix `{}`",
                    other.name, route.name, route.host, route.prefix
                ));
            }
            others.push(Arc::new(route));
        }
        if !problems.is_empty() {
            return Err(Error(problems));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let is_batch = |route: &&Arc<Route>| route.kind == Kind::Batch;
        let batch_routes: Vec<&Arc<Route>> = by_host.values().flatten().filter(is_batch).collect();
        let count = |service: &Name| {
            let users = batch_routes.iter().filter(|route| route.uses(service));
            (service.clone(), users.count())
        };
        let batch_route_counts = services.keys().map(count).collect();
        Ok(Self {
            version,
            routes: by_host,
            services,
            batch_route_counts,
            limits,
            workspaces: None,
        })
    }

    /// Returns the table with the workspaces of its configuration.
    pub fn with_workspaces(self, workspaces: Option<Directory>) -> Self {
        Self { workspaces, ..self }
    }

    /// Returns the workspaces, or `None` if the configuration has none and serves all callers.
    pub fn workspaces(&self) -> Option<&Directory> {
        self.workspaces.as_ref()
    }

    /// Returns the version of the configuration that the table comes from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests of callers.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Returns the route of a host with the longest prefix of `path`, or `None` if no route matches.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the routes, ordered by host and within a host by descending length of the prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the number of batch routes that use a service.
    pub fn batch_route_count(&self, service: &str) -> usize {
        self.batch_route_counts
            .get(service)
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether any batch route that uses a service requires outputs of a single version.
    pub fn requires_single_version(&self, service: &str) -> bool {
        self.routes()
            .filter(|route| route.uses(service))
            .any(|route| {
                route
                    .batch
                    .is_some_and(|batch| batch.requires_single_version)
            })
    }
}

impl Route {
    /// Returns whether the route has a share for a service.
    pub fn uses(&self, service: &str) -> bool {
        self.shares.iter().any(|share| &*share.service == service)
    }

    /// Returns the service for a request, by the weights of the shares. The choice depends only on the
    /// request's identity.
    ///
    /// # Panics
    ///
    /// Panics if the route has no shares, which a validated table rules out.
    pub fn service_for(&self, request: &str) -> &Name {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut offset = match total {
            0 => 0,
            _ => xxh3_64(request.as_bytes()) % total,
        };
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return &share.service;
            }
            offset -= weight;
        }
        &self.shares[0].service
    }
}

fn validate(route: &Route, services: &BTreeMap<Name, Service>, problems: &mut Vec<String>) {
    let name = &route.name;
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        problems.push(format!(
            "route `{name}`: prefix `{}` must start and end with a slash",
            route.prefix
        ));
    }
    if route.shares.is_empty() {
        problems.push(format!("route `{name}`: no service is named"));
    }
    for share in &route.shares {
        if !services.contains_key(&share.service) {
            problems.push(format!(
                "route `{name}`: service `{}` does not exist",
                share.service
            ));
        }
    }
    if (route.kind == Kind::Batch) != route.batch.is_some() {
        problems.push(format!(
            "route `{name}`: batch limits are required on batch routes and not allowed on others"
        ));
    }
}
