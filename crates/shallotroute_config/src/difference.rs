//! The difference between two sets of objects.

use std::collections::BTreeMap;

use crate::{object::Object, set::Set, snapshot::Changes};

/// Returns what changes from `old` to `new`, sorted.
pub fn between(old: &Set, new: &Set) -> Changes {
    let before = index(old);
    let after = index(new);
    let mut changes = Changes::default();
    for (identity, object) in &after {
        match before.get(identity) {
            None => changes.added.push(identity.clone()),
            Some(other) if other != object => changes.changed.push(identity.clone()),
            Some(_) => {}
        }
    }
    changes.removed = before
        .into_keys()
        .filter(|identity| !after.contains_key(identity))
        .collect();
    changes
}

fn index(set: &Set) -> BTreeMap<String, Object> {
    set.objects()
        .into_iter()
        .map(|object| (format!("{}/{}", object.kind(), object.name()), object))
        .collect()
}
