//! Size, verification time and memory of a revision, by the number of backend servers.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Instant, SystemTime},
};

use shallotroute_config::{
    bundle::{Bundle, Metadata},
    object::{Backend, Fencing, Model, Object, Pool, Selection, Server, ServerState},
    set::Set,
};
use shallotroute_types::{name::Name, version::Version};

use crate::memory;

const SERVER_COUNTS: [u32; 3] = [100, 1_000, 10_000];

/// Backend servers in a pool; 10,000 samplers are 79 pools.
const POOL_SERVERS: u32 = 128;

/// Copies of a revision that are opened; time and memory are their mean, as one copy is too small
/// to measure.
const COPIES: u32 = 5;

pub(crate) fn print_table() {
    println!("\n### A revision\n");
    println!("One change is one backend server of one pool.\n");
    println!(
        "| backend servers | bytes | parts | bytes of a change | verify and read, ms | memory, KB |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for server_count in SERVER_COUNTS {
        let set = set(server_count);
        let bundle = Bundle::new(None, &set, metadata()).expect("no object is too large");
        let before = memory::allocated();
        let start = Instant::now();
        let copies: Vec<_> = (0..COPIES).map(|_| bundle.open()).collect();
        let verify_time = start.elapsed() / COPIES;
        let heap_bytes = memory::allocated().saturating_sub(before) / COPIES as usize;
        assert!(
            copies.iter().all(Result::is_ok),
            "a revision should be readable"
        );
        let bytes: usize = bundle.parts.iter().map(|part| part.len()).sum();
        println!(
            "| {server_count} | {bytes} | {} | {} | {:.2} | {} |",
            bundle.parts.len(),
            changed_bytes(&bundle, set),
            verify_time.as_secs_f64() * 1e3,
            heap_bytes / 1024,
        );
    }
}

/// Returns the bytes that a node fetches when the state of one backend server changes to `leaving`.
fn changed_bytes(bundle: &Bundle, mut set: Set) -> usize {
    let parent = bundle.open().expect("a revision should be readable");
    let pool = set
        .pools
        .values_mut()
        .next()
        .expect("there should be a pool");
    pool.servers[0].state = ServerState::Leaving;
    let next = Bundle::new(Some(&parent), &set, metadata()).expect("no object is too large");
    let new = next
        .parts
        .iter()
        .filter(|part| !bundle.parts.contains(part));
    next.record.len() + new.map(|part| part.len()).sum::<usize>()
}

fn metadata() -> Metadata {
    Metadata {
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
