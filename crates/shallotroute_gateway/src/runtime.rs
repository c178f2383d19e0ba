//! The configuration in force in the form that requests use.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

use http::HeaderValue;
use shallotroute_config::{object, snapshot::Snapshot};
use shallotroute_routing::{pool::Pool, table::Table};
use shallotroute_types::name::Name;

/// One revision, indexed.
pub(crate) struct Runtime {
    snapshot: Arc<Snapshot>,
    pub(crate) table: Table,
    pub(crate) pools: HashMap<Name, Arc<Cell>>,
    pub(crate) revision_header: HeaderValue,
}

/// A pool's state, shared by all requests. It outlives a revision as long as the pool stays.
pub(crate) struct Cell {
    pub(crate) backend: object::Backend,
    state: Mutex<Pool>,
}

impl Cell {
    /// Locks the state for a short while; no lock is held over an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, Pool> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holds the runtime of the newest revision that a request has seen.
#[derive(Default)]
pub(crate) struct Holder {
    current: RwLock<Option<Arc<Runtime>>>,
}

impl Holder {
    /// Returns the runtime of `snapshot`, made when it is not the current one.
    pub(crate) fn get(&self, snapshot: &Arc<Snapshot>) -> Arc<Runtime> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        match &*current {
            Some(runtime) if Arc::ptr_eq(&runtime.snapshot, snapshot) => {
                return Arc::clone(runtime);
            }
            Some(_) | None => drop(current),
        }
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        match &*current {
            // Another request may have got here first, perhaps with a newer revision.
            Some(runtime) if runtime.snapshot.revision() >= snapshot.revision() => {
                Arc::clone(runtime)
            }
            Some(_) | None => {
                let runtime = Arc::new(Runtime::new(snapshot, current.as_deref()));
                *current = Some(Arc::clone(&runtime));
                runtime
            }
        }
    }
}

impl Runtime {
    fn new(snapshot: &Arc<Snapshot>, before: Option<&Self>) -> Self {
        let pools = snapshot.set.pools.iter().map(|(name, object)| {
            let known = before.and_then(|runtime| runtime.pools.get(name));
            (name.clone(), cell(object, known))
        });
        Self {
            table: Table::new(&snapshot.set),
            pools: pools.collect(),
            revision_header: HeaderValue::from(snapshot.revision().0),
            snapshot: Arc::clone(snapshot),
        }
    }
}

fn cell(object: &object::Pool, known: Option<&Arc<Cell>>) -> Arc<Cell> {
    match known {
        Some(cell) if cell.backend == object.backend => {
            cell.state().update(object);
            Arc::clone(cell)
        }
        Some(_) | None => Arc::new(Cell {
            backend: object.backend,
            state: Mutex::new(Pool::new(object)),
        }),
    }
}
