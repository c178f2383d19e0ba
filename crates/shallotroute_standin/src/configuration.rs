//! The operators' objects for a set of stand-ins.

use std::net::SocketAddr;

use serde_json::{Map, Value, json};

use crate::process::hash_key;

/// A set of objects under construction.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    objects: Vec<Value>,
}

/// One backend server of a pool.
#[derive(Clone, Debug)]
pub struct Server {
    /// The name.
    pub name: String,
    /// The address.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: String,
    /// Requests at once.
    pub slots: u32,
}

impl Configuration {
    /// Makes an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an object of a kind; `fields` is a JSON object.
    ///
    /// # Panics
    ///
    /// `fields` is not a JSON object.
    #[must_use]
    pub fn with(mut self, kind: &str, name: &str, fields: Value) -> Self {
        let Value::Object(fields) = fields else {
            panic!("the fields of {kind}/{name} should be a JSON object");
        };
        let mut object = Map::new();
        object.insert("kind".to_owned(), json!(kind));
        object.insert("name".to_owned(), json!(name));
        object.extend(fields);
        self.objects.push(Value::Object(object));
        self
    }

    /// Adds a model.
    #[must_use]
    pub fn with_model(self, name: &str) -> Self {
        self.with("model", name, json!({}))
    }

    /// Adds a pool of engines and a route to it for each model.
    #[must_use]
    pub fn with_engines(
        self,
        name: &str,
        models: &[&str],
        fencing: &str,
        selection: &str,
        servers: &[Server],
    ) -> Self {
        let pool = json!({
            "backend": "engine",
            "fencing": fencing,
            "models": models,
            "selection": selection,
            "servers": list(servers),
        });
        models
            .iter()
            .fold(self.with("pool", name, pool), |set, model| {
                set.with("route", model, json!({ "model": model, "pool": name }))
            })
    }

    /// Adds a pool of plain services and a route to it.
    #[must_use]
    pub fn with_services(
        self,
        name: &str,
        path_prefix: &str,
        idempotent: bool,
        servers: &[Server],
    ) -> Self {
        let pool = json!({ "backend": "service", "servers": list(servers) });
        let route = json!({
            "path_prefix": path_prefix,
            "pool": name,
            "idempotent": idempotent,
            "timeout_ms": 5_000,
        });
        self.with("pool", name, pool).with("route", name, route)
    }

    /// Adds a caller of a class.
    #[must_use]
    pub fn with_caller(self, name: &str, key: &str, class: &str) -> Self {
        self.with(
            "caller",
            name,
            json!({ "key_hash": hash_key(key), "class": class }),
        )
    }

    /// Adds a trainer and the caller that acts for it.
    #[must_use]
    pub fn with_trainer(self, name: &str, key: &str, fields: Value) -> Self {
        let caller = json!({ "key_hash": hash_key(key), "class": "training", "trainer": name });
        self.with("trainer", name, fields)
            .with("caller", name, caller)
    }

    /// Changes a field of an object that the set has.
    pub fn set(&mut self, kind: &str, name: &str, field: &str, value: &Value) {
        for object in &mut self.objects {
            if object["kind"] == kind && object["name"] == name {
                object[field] = value.clone();
            }
        }
    }

    /// Changes the state of a backend server.
    pub fn set_server_state(&mut self, server: &str, state: &str) {
        let servers = self
            .objects
            .iter_mut()
            .filter_map(|object| object.get_mut("servers")?.as_array_mut())
            .flatten();
        for entry in servers.filter(|entry| entry["name"] == server) {
            entry["state"] = json!(state);
        }
    }

    /// Returns the objects as YAML documents.
    ///
    /// # Panics
    ///
    /// Never; each JSON value has a YAML form.
    pub fn to_yaml(&self) -> String {
        let documents: Vec<String> = self
            .objects
            .iter()
            .map(|object| {
                serde_yaml_ng::to_string(object).expect("a JSON value should have a YAML form")
            })
            .collect();
        documents.join("---\n")
    }
}

fn list(servers: &[Server]) -> Vec<Value> {
    servers
        .iter()
        .map(|server| {
            json!({
                "name": server.name,
                "address": server.address,
                "zone": server.zone,
                "slots": server.slots,
            })
        })
        .collect()
}
