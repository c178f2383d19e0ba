//! The cost of finding a key's owner among the members.

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

const SIZES: [u32; 4] = [9, 100, 400, 1700];
const KEYS: u32 = 2_000;

/// Zones at full size.
const ZONES: u32 = 14;

pub(crate) fn print() {
    println!("\n### Owner of a key (rendezvous hashing)\n");
    println!("| nodes | owner, us | three ranked, us |\n| --- | --- | --- |");
    for size in SIZES {
        let view = view(size);
        let owner = time(|key| {
            black_box(view.owner(key));
        });
        let ranked = time(|key| {
            black_box(view.ranked(key, 3));
        });
        println!("| {size} | {owner:.2} | {ranked:.2} |");
    }
}

fn time(mut call: impl FnMut(&str)) -> f64 {
    let start = Instant::now();
    for key in 0..KEYS {
        call(&format!("request/{key}"));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(KEYS)
}

fn view(size: u32) -> View {
    View {
        local: Some(Name::from("node-0")),
        members: (0..size).map(member).collect(),
        majority: true,
    }
}

/// Makes the member of that number.
pub(crate) fn member(number: u32) -> Member {
    let address = Ipv4Addr::from(0x7f10_0000 + number);
    let zone = number % ZONES;
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
