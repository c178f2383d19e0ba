//! The routes and services in force, checked as a whole before they replace the last table.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use derive_more::Display;
use shallotroute_types::name::Name;
use xxhash_rust::xxh3::xxh3_64;

/// The result of checking a table.
pub type Result<T> = std::result::Result<T, Findings>;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A request runs at most once for each attempt of its caller.
    #[display("at most once")]
    AtMostOnce,
    /// The answer is a stream of events.
    #[display("stream")]
    Stream {
        /// Whether a broken stream may go on at another server.
        resumable: bool,
    },
    /// Batch jobs of a trainer.
    #[display("batch")]
    Batch,
}

/// A share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// The weight against the route's other shares.
    pub weight: u32,
}

/// The limits of batch jobs on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The time from submission by which all results are due.
    pub due: Duration,
    /// The time from submission after which an item may be given up.
    pub give_up: Duration,
    /// Whether all events of a result have to come from one version.
    pub single_version: bool,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host that callers name.
    pub host: Arc<str>,
    /// The start of the paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The services that run its requests.
    pub shares: Vec<Share>,
    /// The most servers to which one request may be sent.
    pub attempts: usize,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub objective: Duration,
    /// The rank; 0 is the highest.
    pub priority: u8,
    /// The limits of batch jobs; only on batch routes.
    pub batch: Option<Batch>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// The most connections of all callers to one of its servers.
    pub connections: usize,
    /// The models that its servers have; none for a plain service.
    pub models: Vec<Name>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest head of a request, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a head.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

/// All routes and services of one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    version: u64,
    routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<Name, Service>,
    limits: Limits,
}

/// What is wrong with a table.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{}", _0.join("; "))]
pub struct Findings(pub Vec<String>);

impl std::error::Error for Findings {}

impl Table {
    /// Checks the references between routes and services and makes a table.
    ///
    /// # Errors
    ///
    /// All findings: services that do not exist, malformed prefixes, routes without a share, two
    /// routes of one host with the same prefix, batch routes without limits.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self> {
        let services: BTreeMap<Name, Service> = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let mut findings = Vec::new();
        let mut by_host: BTreeMap<Arc<str>, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            check(&route, &services, &mut findings);
            let others = by_host.entry(Arc::clone(&route.host)).or_default();
            if let Some(other) = others.iter().find(|other| other.prefix == route.prefix) {
                findings.push(format!(
                    "routes `{}` and `{}` share host `{}` and prefix `{}`",
                    other.name, route.name, route.host, route.prefix
                ));
            }
            others.push(Arc::new(route));
        }
        if !findings.is_empty() {
            return Err(Findings(findings));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self {
            version,
            routes: by_host,
            services,
            limits,
        })
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route of a host with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Counts the batch routes that use a service.
    pub fn batch_routes(&self, service: &str) -> usize {
        self.routes()
            .filter(|route| route.kind == Kind::Batch && route.uses(service))
            .count()
    }

    /// Tells whether texts of a service's batch jobs have to come from one version.
    pub fn single_version(&self, service: &str) -> bool {
        self.routes()
            .filter(|route| route.uses(service))
            .any(|route| route.batch.is_some_and(|batch| batch.single_version))
    }
}

impl Route {
    /// Tells whether one of the shares is the service's.
    pub fn uses(&self, service: &str) -> bool {
        self.shares.iter().any(|share| &*share.service == service)
    }

    /// Returns the service for a request: the same for the same identity, by the weights.
    pub fn service(&self, request: &str) -> &Name {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = match total {
            0 => 0,
            _ => xxh3_64(request.as_bytes()) % total,
        };
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return &share.service;
            }
            point -= weight;
        }
        &self.shares[0].service
    }
}

fn check(route: &Route, services: &BTreeMap<Name, Service>, findings: &mut Vec<String>) {
    let name = &route.name;
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        findings.push(format!(
            "route `{name}`: prefix `{}` has to begin and end with a slash",
            route.prefix
        ));
    }
    if route.shares.is_empty() {
        findings.push(format!("route `{name}`: names no service"));
    }
    for share in &route.shares {
        if !services.contains_key(&share.service) {
            findings.push(format!(
                "route `{name}`: service `{}` does not exist",
                share.service
            ));
        }
    }
    if (route.kind == Kind::Batch) != route.batch.is_some() {
        findings.push(format!(
            "route `{name}`: limits of batch jobs belong to batch routes, and only to these"
        ));
    }
}
