//! The consistency check of a whole set of objects before any of it is published.

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

/// The digits of a key's hash.
const KEY_HASH_DIGITS: usize = 64;

/// A set with everything that the check found in it.
#[derive(Clone, Debug, Default)]
pub struct Validation {
    /// The objects; not to be published when a finding is an error.
    pub set: Set,
    /// The findings, by file and line.
    pub findings: Vec<Finding>,
}

/// Reads files and checks the set that they make.
pub fn files(sources: &[Source]) -> Validation {
    let (documents, mut findings) = document::read(sources);
    let context = Context::new(&documents);
    findings.extend(
        documents
            .iter()
            .flat_map(|document| context.object(document)),
    );
    context.across(&mut findings);
    if documents.is_empty() && findings.is_empty() {
        findings.push(empty(sources));
    }
    findings.sort_by(|a, b| (&a.file, a.line, &a.field).cmp(&(&b.file, b.line, &b.field)));
    Validation {
        set: context.set,
        findings,
    }
}

/// An empty set would remove every object of the fleet, which is more likely a wrong path.
fn empty(sources: &[Source]) -> Finding {
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

/// All documents and the set that they make.
struct Context<'a> {
    documents: &'a [Document],
    set: Set,
}

/// The findings about one object.
struct Notes<'a> {
    document: &'a Document,
    findings: Vec<Finding>,
}

impl Notes<'_> {
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

    /// Checks one object by itself and against those that it names.
    fn object(&self, document: &Document) -> Vec<Finding> {
        let mut notes = Notes {
            document,
            findings: Vec::new(),
        };
        if !document.object.name().is_valid() {
            notes.error("name", invalid_name(document.object.name()));
        }
        match &document.object {
            Object::Model(model) => self.model(model, &mut notes),
            Object::ModelVersion(version) => self.model_version(version, &mut notes),
            Object::Adapter(adapter) => self.adapter(adapter, &mut notes),
            Object::Pool(pool) => self.pool(pool, &mut notes),
            Object::Route(route) => self.route(route, &mut notes),
            Object::Limit(limit) => self.limit(limit, &mut notes),
            Object::Caller(caller) => self.caller(caller, &mut notes),
            Object::Scorer(scorer) => self.scorer(scorer, &mut notes),
            Object::Trainer(trainer) => self.trainer(trainer, &mut notes),
        }
        notes.findings
    }

    /// Checks what no two objects may share.
    fn across(&self, findings: &mut Vec<Finding>) {
        let mut seen = Seen::new(findings);
        for document in self.documents {
            let identity = document.identity();
            seen.note(
                "name",
                document,
                identity,
                "an object of the same kind and name",
            );
            if let Object::Pool(pool) = &document.object {
                seen.servers(document, pool);
            }
            for (field, identity, what) in unique(&document.object) {
                seen.note(field, document, identity, what);
            }
        }
    }

    fn pool(&self, pool: &Pool, notes: &mut Notes<'_>) {
        self.pool_kind(pool, notes);
        for (index, server) in pool.servers.iter().enumerate() {
            let field = |name: &str| format!("servers[{index}].{name}");
            if !server.name.is_valid() {
                notes.error(&field("name"), invalid_name(&server.name));
            }
            if !server.zone.is_valid() {
                notes.error(&field("zone"), invalid_name(&server.zone));
            }
            if server.slots == 0 {
                notes.error(&field("slots"), "a server with 0 slots runs nothing");
            }
            if server.address.port() == 0 {
                notes.error(&field("address"), "port 0 can't be connected to");
            }
        }
        if pool.servers.is_empty() {
            notes.warning(
                "servers",
                "the pool has no server, so its requests are refused",
            );
        }
        let used = self
            .set
            .routes
            .values()
            .any(|route| route.pool == pool.name)
            || self
                .set
                .trainers
                .values()
                .any(|trainer| trainer.pool == pool.name);
        if !used {
            notes.warning("name", "no route and no trainer uses the pool");
        }
    }

    fn limit(&self, limit: &Limit, notes: &mut Notes<'_>) {
        let rate = limit.requests_per_second;
        if !rate.is_finite() || rate <= 0.0 {
            notes.error("requests_per_second", "the rate should be a number above 0");
        }
        if limit.burst == 0 {
            notes.error(
                "burst",
                "a burst of 0 contradicts the rate: no request passes",
            );
        }
        match limit.concurrency {
            Some(0) => notes.error(
                "concurrency",
                "a concurrency of 0 contradicts the rate: no request passes",
            ),
            Some(concurrency) if concurrency < limit.burst => notes.warning(
                "concurrency",
                format!(
                    "it is below the burst of {}, which can't be reached",
                    limit.burst
                ),
            ),
            Some(_) | None => {}
        }
        let used = |caller: &Caller| caller.limit.as_ref() == Some(&limit.name);
        if !self.set.callers.values().any(used) {
            notes.warning("name", "no caller has the limit");
        }
    }

    fn caller(&self, caller: &Caller, notes: &mut Notes<'_>) {
        let digits = caller.key_hash.bytes();
        let hexadecimal = digits
            .clone()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if digits.len() != KEY_HASH_DIGITS || !hexadecimal {
            notes.error(
                "key_hash",
                "it should be a BLAKE3 hash: 64 lower-case hexadecimal digits",
            );
        }
        if let Some(limit) = &caller.limit {
            dangling(
                notes,
                "limit",
                "limit",
                limit,
                self.set.limits.contains_key(limit),
            );
        }
        if let Some(trainer) = &caller.trainer {
            let exists = self.set.trainers.contains_key(trainer);
            dangling(notes, "trainer", "trainer", trainer, exists);
        }
    }
}

/// Returns the fields that no two objects may share, each with a text that has to be unique and what
/// an earlier object with the same text is.
fn unique(object: &Object) -> Vec<(&'static str, String, &'static str)> {
    match object {
        Object::Model(_) | Object::Adapter(_) => vec![(
            "name",
            format!("model {}", object.name()),
            "a model or adapter of the same name, so a request's model is ambiguous",
        )],
        Object::Route(route) => {
            let model = route.model.as_ref().map(|model| {
                let what = "a route for the same model, so the route is ambiguous";
                ("model", format!("route {model}"), what)
            });
            let path = route.path_prefix.as_ref().map(|prefix| {
                let what = "a route for the same path, so the route is ambiguous";
                ("path_prefix", format!("path {prefix}"), what)
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

/// What was seen first, by a text that has to be unique.
struct Seen<'a, 'b> {
    places: HashMap<String, &'a Document>,
    servers: BTreeMap<Name, &'a Document>,
    findings: &'b mut Vec<Finding>,
}

impl<'a, 'b> Seen<'a, 'b> {
    fn new(findings: &'b mut Vec<Finding>) -> Self {
        Self {
            places: HashMap::new(),
            servers: BTreeMap::new(),
            findings,
        }
    }

    fn note(&mut self, field: &str, document: &'a Document, identity: String, what: &str) {
        match self.places.get(&identity) {
            // A duplicate object would repeat the finding for each of its unique fields.
            Some(first) if first.identity() == document.identity() && field != "name" => {}
            Some(first) => {
                let at = format!("{}:{}", first.excerpt.file, first.line());
                let message = format!("{} at {at} is {what}", first.identity());
                let finding = document.finding(Severity::Error, field, message);
                self.findings.push(finding);
            }
            None => drop(self.places.insert(identity, document)),
        }
    }

    fn servers(&mut self, document: &'a Document, pool: &Pool) {
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
            let identity = format!("address {}", server.address);
            self.note(
                &field,
                document,
                identity,
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

fn dangling(notes: &mut Notes<'_>, field: &str, kind: &str, name: &Name, exists: bool) {
    if !exists {
        notes.error(field, format!("there is no {kind} `{name}`"));
    }
}
