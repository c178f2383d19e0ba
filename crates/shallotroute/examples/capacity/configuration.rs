//! The cost of a revision by the number of backend servers.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Instant, SystemTime},
};

use shallotroute_config::{
    bundle::{Bundle, Header},
    object::{Backend, Fencing, Model, Object, Pool, Selection, Server, ServerState},
    set::Set,
};
use shallotroute_types::{name::Name, version::Version};

use crate::memory;

const SIZES: [u32; 3] = [100, 1_000, 10_000];

/// Backend servers of one pool; 10,000 samplers then are 79 pools.
const POOL_SERVERS: u32 = 128;

/// Copies that make the memory of one revision measurable.
const COPIES: u32 = 5;

pub(crate) fn print() {
    println!("\n### A revision\n");
    println!("| backend servers | bytes | parts | make, ms | verify and read, ms | memory, KB |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for size in SIZES {
        let set = set(size);
        let start = Instant::now();
        let bundle = Bundle::new(None, &set, header()).expect("no object is too large");
        let make = start.elapsed();
        let before = memory::allocated();
        let start = Instant::now();
        let copies: Vec<_> = (0..COPIES).map(|_| bundle.open()).collect();
        let read = start.elapsed() / COPIES;
        let kept = memory::allocated().saturating_sub(before) / COPIES as usize;
        assert!(
            copies.iter().all(Result::is_ok),
            "a revision should be readable"
        );
        let bytes: usize = bundle.parts.iter().map(|part| part.len()).sum();
        println!(
            "| {size} | {bytes} | {} | {:.2} | {:.2} | {} |",
            bundle.parts.len(),
            make.as_secs_f64() * 1e3,
            read.as_secs_f64() * 1e3,
            kept / 1024,
        );
    }
}

fn header() -> Header {
    Header {
        publication: "measurement".to_owned(),
        author: Name::from("operator"),
        at: SystemTime::UNIX_EPOCH,
        reason: "measurement".to_owned(),
        warnings: Vec::new(),
    }
}

fn set(servers: u32) -> Set {
    let model = Name::from("model");
    let mut objects = vec![Object::Model(Model {
        name: model.clone(),
        initial: Version(0),
    })];
    for first in (0..servers).step_by(POOL_SERVERS as usize) {
        let last = servers.min(first + POOL_SERVERS);
        objects.push(Object::Pool(Pool {
            name: Name::from(format!("pool-{}", first / POOL_SERVERS)),
            backend: Backend::Engine,
            fencing: Some(Fencing::Ignored),
            models: vec![model.clone()],
            selection: Selection::Adaptive,
            servers: (first..last).map(server).collect(),
        }));
    }
    Set::new(objects)
}

fn server(number: u32) -> Server {
    Server {
        name: Name::from(format!("engine-{number}")),
        address: SocketAddr::from((Ipv4Addr::from(0x7f20_0000 + number), 9000)),
        zone: Name::from(format!("zone-{}", number % 14)),
        slots: 64,
        state: ServerState::Active,
    }
}
