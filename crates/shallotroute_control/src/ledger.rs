//! Reading of the ledger of samples, whose form another crate decides.

use serde_json::{Map, Value};

/// Finds a sample in a step's ledger: an object with `index`, and `group` on itself or around it.
///
/// Fields of the objects around it that it does not have itself (such as `node` or `revision` of a
/// batch) are added to it.
pub(crate) fn sample(ledger: &Value, group: u64, index: u64) -> Option<Value> {
    find(ledger, &Map::new(), group, index).map(Value::Object)
}

fn find(
    value: &Value,
    around: &Map<String, Value>,
    group: u64,
    index: u64,
) -> Option<Map<String, Value>> {
    match value {
        Value::Array(items) => items
            .iter()
            .find_map(|item| find(item, around, group, index)),
        Value::Object(fields) => {
            let mut merged = around.clone();
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
            let outer = simple(&merged);
            fields
                .values()
                .find_map(|inner| find(inner, &outer, group, index))
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => None,
    }
}

/// Keeps the fields that are no lists or objects.
fn simple(fields: &Map<String, Value>) -> Map<String, Value> {
    fields
        .iter()
        .filter(|(_, value)| !value.is_array() && !value.is_object())
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}
