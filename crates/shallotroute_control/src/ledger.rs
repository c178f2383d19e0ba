//! Searches the ledger of samples, whose format `shallotroute_rollout` defines.

use serde_json::{Map, Value};

/// Returns a sample from the ledger of a step: the object with this `index` whose `group` is a
/// field of the object itself or of an enclosing one. Returns `None` if there is no such object.
///
/// The sample inherits the scalar fields of the enclosing objects that it does not have itself,
/// such as `node` or `revision` of a batch.
pub(crate) fn find_sample(ledger: &Value, group: u64, index: u64) -> Option<Value> {
    search(ledger, &Map::new(), group, index).map(Value::Object)
}

fn search(
    value: &Value,
    inherited: &Map<String, Value>,
    group: u64,
    index: u64,
) -> Option<Map<String, Value>> {
    match value {
        Value::Array(items) => items
            .iter()
            .find_map(|item| search(item, inherited, group, index)),
        Value::Object(fields) => {
            let mut merged = inherited.clone();
            merged.extend(
                fields
                    .iter()
                    .map(|(key, value)| (key.clone(), value.clone())),
            );
            let number = |key: &str| merged.get(key).and_then(Value::as_u64);
            if fields.contains_key("index")
                && (number("group"), number("index")) == (Some(group), Some(index))
            {
                return Some(merged);
            }
            let outer = scalar_fields(&merged);
            fields
                .values()
                .find_map(|inner| search(inner, &outer, group, index))
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => None,
    }
}

/// Returns the fields that are neither arrays nor objects.
fn scalar_fields(fields: &Map<String, Value>) -> Map<String, Value> {
    fields
        .iter()
        .filter(|(_, value)| !value.is_array() && !value.is_object())
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}
