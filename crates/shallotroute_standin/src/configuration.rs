//! A builder of operators' objects for simulated backend servers and trainers.

use std::net::SocketAddr;

use serde_json::{Map, Value, json};

use crate::process::hash_key;

/// A set of operators' objects.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    objects: Vec<Value>,
}

/// A backend server of a pool.
#[derive(Clone, Debug)]
pub struct Server {
    /// The name, which is unique in the set.
    pub name: String,
    /// The address at which the server listens.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: String,
    /// The maximum number of concurrent requests.
    pub slots: u32,
}

impl Configuration {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an object with further fields.
    ///
    /// # Panics
    ///
    /// Panics when `fields` is not a JSON object.
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

    /// Adds a model without further fields.
    #[must_use]
    pub fn with_model(self, name: &str) -> Self {
        self.with("model", name, json!({}))
    }

    /// Adds a pool of engines and, for each model, a route to the pool.
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
            "servers": servers_json(servers),
        });
        models
            .iter()
            .fold(self.with("pool", name, pool), |set, model| {
                set.with("route", model, json!({ "model": model, "pool": name }))
            })
    }

    /// Adds a pool of plain services and a route to the pool.
    #[must_use]
    pub fn with_services(
        self,
        name: &str,
        path_prefix: &str,
        idempotent: bool,
        servers: &[Server],
    ) -> Self {
        let pool = json!({ "backend": "service", "servers": servers_json(servers) });
        let route = json!({
            "path_prefix": path_prefix,
            "pool": name,
            "idempotent": idempotent,
            "timeout_ms": 5_000,
        });
        self.with("pool", name, pool).with("route", name, route)
    }

    /// Adds a caller with an API key and a class.
    #[must_use]
    pub fn with_caller(self, name: &str, key: &str, class: &str) -> Self {
        self.with(
            "caller",
            name,
            json!({ "key_hash": hash_key(key), "class": class }),
        )
    }

    /// Adds a trainer and a caller of the same name that acts for the trainer.
    #[must_use]
    pub fn with_trainer(self, name: &str, key: &str, fields: Value) -> Self {
        let caller = json!({ "key_hash": hash_key(key), "class": "training", "trainer": name });
        self.with("trainer", name, fields)
            .with("caller", name, caller)
    }

    /// Sets a field of an object; does nothing when the set has no such object.
    pub fn set(&mut self, kind: &str, name: &str, field: &str, value: &Value) {
        for object in &mut self.objects {
            if object["kind"] == kind && object["name"] == name {
                object[field] = value.clone();
            }
        }
    }

    /// Sets the state of a backend server in each pool that lists the server.
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
    /// Does not panic, since each JSON value has a YAML form.
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

fn servers_json(servers: &[Server]) -> Vec<Value> {
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
