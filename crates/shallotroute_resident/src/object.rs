//! Applies changes of the platform's store to the state of this node.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use shallotroute_adapter::registry::{self, Object};
use shallotroute_fleet::{replica, server::Server, suspect::Process};
use shallotroute_types::name::Name;

use crate::{
    limit::notice,
    member,
    shared::{ActiveTable, Shared},
    suspect,
    view::Prefix,
};

/// A change of a key of the store.
pub(crate) type Change = replica::Change<Bytes>;

/// Applies changes of a prefix. With `is_first_read`, they are all of its entries.
pub(crate) fn apply(shared: &Shared, prefix: Prefix, changes: &[Change], is_first_read: bool) {
    match prefix {
        Prefix::Operators => {
            for change in changes {
                apply_operator_change(shared, change);
            }
        }
        Prefix::Servers => {
            let now = shared.now();
            for change in changes {
                apply_server_change(shared, change, now);
            }
            if is_first_read {
                shared.balancer().record_first_read(now);
                shared.has_host_list.send_replace(true);
            }
        }
        Prefix::Members => apply_member_changes(shared, changes, is_first_read),
    }
}

/// Records that the store can be read again after an outage, in which leases may have ended.
pub(crate) fn start_recovery(shared: &Shared, now: Instant) {
    shared.balancer().start_recovery(now);
    shared
        .members
        .send_modify(|members| members.reconnected_at = Some(now));
}

fn apply_operator_change(shared: &Shared, change: &Change) {
    let Some(value) = &change.value else {
        if let Some(node) = registry::retirement_target(&change.key) {
            shared.retirements.send_modify(|nodes| {
                nodes.remove(&node);
            });
        }
        return;
    };
    match registry::parse_object(&change.key, value, &shared.secret) {
        Ok(Object::Configuration(table)) => {
            let last = shared.table().map_or(0, |table| table.version());
            // A page of a range may be older than a change that was applied before.
            if table.version() <= last {
                return;
            }
            spdlog::info!("configuration in force", kv: {
                version = table.version(),
                replaced = last,
                revision = change.revision,
            });
            let version = i64::try_from(table.version()).unwrap_or(i64::MAX);
            shared.metrics.configuration_version.set(version);
            shared.active_table.send_replace(Some(ActiveTable {
                table: Arc::new(table),
                since: shared.now(),
            }));
        }
        Ok(Object::Version { model, version }) => shared.targets.send_modify(|targets| {
            let target = targets.entry(model.clone()).or_default();
            if version > *target {
                spdlog::info!("trainer set a target version", kv: {
                    model = model.as_str(), version = version.0,
                });
                *target = version;
            }
        }),
        Ok(Object::Retirement { node }) => shared.retirements.send_modify(|nodes| {
            nodes.insert(node);
        }),
        Ok(Object::Other) => {}
        Err(error) => {
            spdlog::error!("failed to decode an operator's object; ignoring it", kv: {
                key = change.key.as_str(),
                revision = change.revision,
                error = error.to_string(),
            });
        }
    }
}

fn apply_server_change(shared: &Shared, change: &Change, now: Instant) {
    let Some(id) = registry::server_id(&change.key) else {
        return;
    };
    let Some(value) = &change.value else {
        spdlog::info!("server removed from the host list", kv: { server = id.as_str() });
        let process = running_process(shared, &id);
        shared.balancer().remove(&id, now);
        // After an outage of the store, entries of live servers are missing too.
        if !shared.members.borrow().is_recovering(now) {
            confirm_crash(shared, process);
        }
        return;
    };
    match decode_server(&id, change, value) {
        Some(server) => {
            let draining = server.is_draining;
            let service = server.service.clone();
            let former = running_process(shared, &id);
            let started = {
                let mut balancer = shared.balancer();
                let started = balancer.insert(server);
                balancer.record_departure(&id, now);
                started
            };
            if started {
                confirm_crash(shared, former);
                shared.streams.record_new_server(&service);
            }
            if started || draining {
                spdlog::info!("server listed", kv: {
                    server = id.as_str(), draining, started, revision = change.revision,
                });
            }
        }
        None => shared.balancer().remove(&id, now),
    }
}

/// Returns the process that the host list names for a server; `None` if it has announced its end.
fn running_process(shared: &Shared, id: &Name) -> Option<Process> {
    let balancer = shared.balancer();
    let server = balancer.get(id).filter(|server| !server.is_draining)?;
    Some(Process {
        server: server.id.clone(),
        born: server.born,
    })
}

fn confirm_crash(shared: &Shared, process: Option<Process>) {
    if let Some(process) = process {
        suspect::confirm_crash(shared, &process);
    }
}

/// Decodes an entry of the host list; `None` if it can't be decoded.
fn decode_server(id: &Name, change: &Change, value: &[u8]) -> Option<Server> {
    match registry::parse_server(id.clone(), value) {
        Ok(server) => Some(server),
        Err(error) => {
            spdlog::warn!("failed to decode an entry of the host list", kv: {
                key = change.key.as_str(), error = error.to_string(),
            });
            None
        }
    }
}

fn apply_member_changes(shared: &Shared, changes: &[Change], is_first_read: bool) {
    let changes: Vec<&Change> = changes
        .iter()
        .filter(|change| !suspect::apply(shared, change) && !notice::apply(shared, change))
        .collect();
    let own_key = member::node_key(&shared.owner.node);
    shared.members.send_modify(|members| {
        members.is_loaded |= is_first_read;
        for change in changes {
            match &change.value {
                Some(value) => members.put(&change.key, value, change.revision),
                None => {
                    spdlog::info!("member entry removed", kv: { key = change.key.as_str() });
                    members.remove(&change.key);
                    if *change.key == *own_key {
                        members.entry_losses += 1;
                    }
                }
            }
        }
    });
    let relays = shared
        .members
        .borrow()
        .nodes
        .values()
        .filter(|member| member.owner != shared.owner)
        .map(|member| member.owner.address)
        .collect();
    shared.store.set_relays(relays);
}
