//! The difference between two sets of objects.

use std::collections::BTreeMap;

use crate::{object::Object, set::Set, snapshot::Changes};

/// Returns the changes from `old` to `new`; each list is sorted.
pub fn between(old: &Set, new: &Set) -> Changes {
    let old_objects = by_identity(old);
    let new_objects = by_identity(new);
    let mut changes = Changes::default();
    for (identity, object) in &new_objects {
        match old_objects.get(identity) {
            None => changes.added.push(identity.clone()),
            Some(previous) if previous != object => changes.changed.push(identity.clone()),
            Some(_) => {}
        }
    }
    changes.removed = old_objects
        .into_keys()
        .filter(|identity| !new_objects.contains_key(identity))
        .collect();
    changes
}

/// Returns the objects by `kind/name`.
fn by_identity(set: &Set) -> BTreeMap<String, Object> {
    set.objects()
        .into_iter()
        .map(|object| (format!("{}/{}", object.kind(), object.name()), object))
        .collect()
}
