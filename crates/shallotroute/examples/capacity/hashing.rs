//! CPU time to find the owner of a key among the member nodes, by the number of nodes.

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use shallotroute_types::{
    member::{Member, State, View},
    name::Name,
    node::Incarnation,
    revision::Revision,
};

const NODE_COUNTS: [u32; 4] = [9, 100, 400, 1700];
/// Keys that are looked up for each measurement.
const KEY_COUNT: u32 = 2_000;

/// Availability zones of the largest deployment.
const ZONE_COUNT: u32 = 14;

pub(crate) fn print_table() {
    println!("\n### Owner of a key (rendezvous hashing)\n");
    println!("| nodes | owner, us | three ranked, us |\n| --- | --- | --- |");
    for nodes in NODE_COUNTS {
        let view = view(nodes);
        let owner = mean_micros(|key| {
            black_box(view.owner(key));
        });
        let ranked = mean_micros(|key| {
            black_box(view.ranked(key, 3));
        });
        println!("| {nodes} | {owner:.2} | {ranked:.2} |");
    }
}

/// Returns the mean duration of `call` over [`KEY_COUNT`] keys, in microseconds.
fn mean_micros(mut call: impl FnMut(&str)) -> f64 {
    let start = Instant::now();
    for key in 0..KEY_COUNT {
        call(&format!("request/{key}"));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(KEY_COUNT)
}

fn view(nodes: u32) -> View {
    View {
        local: Some(Name::from("node-0")),
        members: (0..nodes).map(member).collect(),
        majority: true,
    }
}

/// Returns the member with this number. Successive members are in different zones.
pub(crate) fn member(number: u32) -> Member {
    let address = Ipv4Addr::from(0x7f10_0000 + number);
    let zone = number % ZONE_COUNT;
    Member {
        id: Name::from(format!("node-{number}")),
        region: Name::from(format!("region-{}", zone % 4)),
        zone: Name::from(format!("zone-{zone}")),
        address: SocketAddr::from((address, 8082)),
        incarnation: Incarnation(1),
        state: State::Alive,
        known: Revision(1),
        in_force: Revision(1),
    }
}
