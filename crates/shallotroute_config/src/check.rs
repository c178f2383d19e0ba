//! The consistency check of a whole set of objects before its publication.

use std::collections::{BTreeMap, HashMap};

use shallotroute_types::name::Name;

use crate::{
    document::{self, Document, Source},
    finding::{Finding, Severity},
    object::{Caller, Limit, Object, Pool},
    set::Set,
};

mod reference;
mod route;
mod trainer;

/// The length of a BLAKE3 hash in hexadecimal digits.
const KEY_HASH_DIGITS: usize = 64;

/// The result of the check.
#[derive(Clone, Debug, Default)]
pub struct Validation {
    /// The objects that could be parsed; not to be published if a finding is an error.
    pub set: Set,
    /// The errors and warnings, sorted by file and line.
    pub findings: Vec<Finding>,
}

/// Parses files and checks the set of their objects.
pub fn files(sources: &[Source]) -> Validation {
    let (documents, mut findings) = document::read(sources);
    let context = Context::new(&documents);
    findings.extend(
        documents
            .iter()
            .flat_map(|document| context.check_object(document)),
    );
    context.check_uniqueness(&mut findings);
    if documents.is_empty() && findings.is_empty() {
        findings.push(empty_set(sources));
    }
    findings.sort_by(|a, b| (&a.file, a.line, &a.field).cmp(&(&b.file, b.line, &b.field)));
    Validation {
        set: context.set,
        findings,
    }
}

/// Returns the error for files without any object. Their publication would remove every object of
/// the fleet; a wrong path is the more likely cause.
fn empty_set(sources: &[Source]) -> Finding {
    Finding {
        severity: Severity::Error,
        object: "document".into(),
        field: String::new(),
        file: sources
            .first()
            .map(|source| source.file.clone())
            .unwrap_or_default(),
        line: 1,
        message: "the files hold no object".into(),
    }
}

/// The documents and the set of their objects, against which each object is checked.
struct Context<'a> {
    documents: &'a [Document],
    set: Set,
}

/// A collector of the findings about one object.
struct Reporter<'a> {
    document: &'a Document,
    findings: Vec<Finding>,
}

impl Reporter<'_> {
    fn error(&mut self, field: &str, message: impl Into<String>) {
        let finding = self.document.finding(Severity::Error, field, message);
        self.findings.push(finding);
    }

    fn warning(&mut self, field: &str, message: impl Into<String>) {
        let finding = self.document.finding(Severity::Warning, field, message);
        self.findings.push(finding);
    }
}

impl<'a> Context<'a> {
    fn new(documents: &'a [Document]) -> Self {
        let set = Set::new(documents.iter().map(|document| document.object.clone()));
        Self { documents, set }
    }

    /// Checks one object and its references to other objects.
    fn check_object(&self, document: &Document) -> Vec<Finding> {
        let mut reporter = Reporter {
            document,
            findings: Vec::new(),
        };
        if !document.object.name().is_valid() {
            reporter.error("name", invalid_name(document.object.name()));
        }
        match &document.object {
            Object::Model(model) => self.check_model(model, &mut reporter),
            Object::ModelVersion(version) => self.check_model_version(version, &mut reporter),
            Object::Adapter(adapter) => self.check_adapter(adapter, &mut reporter),
            Object::Pool(pool) => self.check_pool(pool, &mut reporter),
            Object::Route(route) => self.check_route(route, &mut reporter),
            Object::Limit(limit) => self.check_limit(limit, &mut reporter),
            Object::Caller(caller) => self.check_caller(caller, &mut reporter),
            Object::Scorer(scorer) => self.check_scorer(scorer, &mut reporter),
            Object::Trainer(trainer) => self.check_trainer(trainer, &mut reporter),
        }
        reporter.findings
    }

    /// Checks that no two objects have the same value in a field that must be unique.
    fn check_uniqueness(&self, findings: &mut Vec<Finding>) {
        let mut unique = UniqueIndex::new(findings);
        for document in self.documents {
            let key = document.identity();
            unique.add("name", document, key, "an object of the same kind and name");
            if let Object::Pool(pool) = &document.object {
                unique.add_servers(document, pool);
            }
            for (field, key, conflict) in unique_fields(&document.object) {
                unique.add(field, document, key, conflict);
            }
        }
    }

    fn check_pool(&self, pool: &Pool, reporter: &mut Reporter<'_>) {
        self.check_backend(pool, reporter);
        for (index, server) in pool.servers.iter().enumerate() {
            let field = |name: &str| format!("servers[{index}].{name}");
            if !server.name.is_valid() {
                reporter.error(&field("name"), invalid_name(&server.name));
            }
            if !server.zone.is_valid() {
                reporter.error(&field("zone"), invalid_name(&server.zone));
            }
            if server.slots == 0 {
                reporter.error(&field("slots"), "a server with 0 slots runs nothing");
            }
            if server.address.port() == 0 {
                reporter.error(&field("address"), "port 0 can't be connected to");
            }
        }
        if pool.servers.is_empty() {
            reporter.warning(
                "servers",
                "the pool has no server, so its requests are refused",
            );
        }
        let is_used = self
            .set
            .routes
            .values()
            .any(|route| route.pool == pool.name)
            || self
                .set
                .trainers
                .values()
                .any(|trainer| trainer.pool == pool.name);
        if !is_used {
            reporter.warning("name", "no route and no trainer uses the pool");
        }
    }

    fn check_limit(&self, limit: &Limit, reporter: &mut Reporter<'_>) {
        let rate = limit.requests_per_second;
        if !rate.is_finite() || rate <= 0.0 {
            reporter.error("requests_per_second", "the rate should be a number above 0");
        }
        if limit.burst == 0 {
            reporter.error(
                "burst",
                "a burst of 0 contradicts the rate: no request passes",
            );
        }
        match limit.concurrency {
            Some(0) => reporter.error(
                "concurrency",
                "a concurrency of 0 contradicts the rate: no request passes",
            ),
            Some(concurrency) if concurrency < limit.burst => reporter.warning(
                "concurrency",
                format!(
                    "it is below the burst of {}, which can't be reached",
                    limit.burst
                ),
            ),
            Some(_) | None => {}
        }
        let has_limit = |caller: &Caller| caller.limit.as_ref() == Some(&limit.name);
        if !self.set.callers.values().any(has_limit) {
            reporter.warning("name", "no caller has the limit");
        }
    }

    fn check_caller(&self, caller: &Caller, reporter: &mut Reporter<'_>) {
        let digits = caller.key_hash.bytes();
        let is_hexadecimal = digits
            .clone()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if digits.len() != KEY_HASH_DIGITS || !is_hexadecimal {
            reporter.error(
                "key_hash",
                "it should be a BLAKE3 hash: 64 lower-case hexadecimal digits",
            );
        }
        if let Some(limit) = &caller.limit {
            check_reference(
                reporter,
                "limit",
                "limit",
                limit,
                self.set.limits.contains_key(limit),
            );
        }
        if let Some(trainer) = &caller.trainer {
            let exists = self.set.trainers.contains_key(trainer);
            check_reference(reporter, "trainer", "trainer", trainer, exists);
        }
    }
}

/// Returns the fields whose values must be unique: the field, a key that must be unique, and the
/// description of another object with the same key.
fn unique_fields(object: &Object) -> Vec<(&'static str, String, &'static str)> {
    match object {
        Object::Model(_) | Object::Adapter(_) => vec![(
            "name",
            format!("model {}", object.name()),
            "a model or adapter of the same name, so a request's model is ambiguous",
        )],
        Object::Route(route) => {
            let model = route.model.as_ref().map(|model| {
                let conflict = "a route for the same model, so the route is ambiguous";
                ("model", format!("route {model}"), conflict)
            });
            let path = route.path_prefix.as_ref().map(|prefix| {
                let conflict = "a route for the same path, so the route is ambiguous";
                ("path_prefix", format!("path {prefix}"), conflict)
            });
            model.into_iter().chain(path).collect()
        }
        Object::Caller(caller) => vec![(
            "key_hash",
            format!("key {}", caller.key_hash),
            "a caller with the same key, so the caller is ambiguous",
        )],
        Object::ModelVersion(version) => vec![(
            "version",
            format!("version {} {}", version.model, version.version),
            "a statement on the same version",
        )],
        Object::Pool(_) | Object::Limit(_) | Object::Scorer(_) | Object::Trainer(_) => Vec::new(),
    }
}

/// The first document with each value that must be unique.
struct UniqueIndex<'a, 'b> {
    first_by_key: HashMap<String, &'a Document>,
    servers: BTreeMap<Name, &'a Document>,
    findings: &'b mut Vec<Finding>,
}

impl<'a, 'b> UniqueIndex<'a, 'b> {
    fn new(findings: &'b mut Vec<Finding>) -> Self {
        Self {
            first_by_key: HashMap::new(),
            servers: BTreeMap::new(),
            findings,
        }
    }

    /// Adds `key`, or an error about `field` if an earlier document has the same key.
    fn add(&mut self, field: &str, document: &'a Document, key: String, conflict: &str) {
        match self.first_by_key.get(&key) {
            // A duplicate object is reported once, not again for each of its unique fields.
            Some(first) if first.identity() == document.identity() && field != "name" => {}
            Some(first) => {
                let at = format!("{}:{}", first.excerpt.file, first.line());
                let message = format!("{} at {at} is {conflict}", first.identity());
                let finding = document.finding(Severity::Error, field, message);
                self.findings.push(finding);
            }
            None => drop(self.first_by_key.insert(key, document)),
        }
    }

    fn add_servers(&mut self, document: &'a Document, pool: &Pool) {
        for (index, server) in pool.servers.iter().enumerate() {
            if let Some(first) = self.servers.get(&server.name) {
                let message = format!("{} has a server of the same name", first.identity());
                let field = format!("servers[{index}].name");
                let finding = document.finding(Severity::Error, &field, message);
                self.findings.push(finding);
            } else {
                self.servers.insert(server.name.clone(), document);
            }
            let field = format!("servers[{index}].address");
            let key = format!("address {}", server.address);
            self.add(
                &field,
                document,
                key,
                "a pool with a server at the same address",
            );
        }
    }
}

fn invalid_name(name: &Name) -> String {
    format!(
        "`{name}` is not a valid name: 1 to {} letters, digits, `.`, `_` or `-`",
        Name::MAX_BYTES
    )
}

/// Adds an error if the object that `field` refers to does not exist.
fn check_reference(
    reporter: &mut Reporter<'_>,
    field: &str,
    kind: &str,
    name: &Name,
    exists: bool,
) {
    if !exists {
        reporter.error(field, format!("there is no {kind} `{name}`"));
    }
}
