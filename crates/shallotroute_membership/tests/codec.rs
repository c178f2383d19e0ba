//! Encoding and decoding of datagrams that are intact, damaged, of another fleet or hostile.

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config as ProptestConfig, RngSeed},
};
use shallotroute_membership::{
    codec::{Codec, Rejection, VERSION},
    datagram::{Age, Frame, KeyedAge, MAX_BYTES, MAX_UPDATES, Update},
    table::{Action, Config, Event, Table},
};
use shallotroute_types::{
    member::{Member, State},
    name::Name,
    node::Incarnation,
    revision::Revision,
};

const KEY: [u8; 32] = [7; 32];

fn config_with_seed(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

fn member() -> impl Strategy<Value = Member> {
    let state = prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Leaving),
        Just(State::Dead)
    ];
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>());
    (
        "[a-z0-9._-]{1,20}",
        any::<IpAddr>(),
        any::<u16>(),
        numbers,
        state,
    )
        .prop_map(
            |(id, ip, port, (incarnation, known, in_force), state)| Member {
                id: Name::new(id),
                region: Name::new("region"),
                zone: Name::new("zone"),
                address: SocketAddr::new(ip, port),
                incarnation: Incarnation(incarnation),
                state,
                known: Revision(known),
                in_force: Revision(in_force),
            },
        )
}

fn frame() -> impl Strategy<Value = Frame> {
    let update = (member(), any::<u8>()).prop_map(|(member, age)| Update {
        member,
        age: Age(age),
    });
    let keyed_age = (any::<u16>(), any::<u8>());
    let keyed_age = keyed_age.prop_map(|(gap, age)| KeyedAge { gap, age: Age(age) });
    let numbers = (
        any::<u64>(),
        any::<u32>(),
        any::<u32>(),
        any::<u32>(),
        any::<u16>(),
    );
    (member(), numbers, vec(update, 0..4), vec(keyed_age, 0..99)).prop_map(
        |(
            sender,
            (sequence, confirmation_age_ms, load, participant_hash, key_salt),
            updates,
            ages,
        )| Frame {
            sender,
            sequence,
            confirmation_age_ms,
            load,
            updates,
            participant_hash,
            key_salt,
            range_start: 7,
            is_full_range: false,
            ages,
        },
    )
}

fn authentic_datagram(body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    let tag = blake3::derive_key("shallotroute heartbeat tag v1", &KEY);
    bytes.extend_from_slice(&tag[..4]);
    bytes.extend_from_slice(body);
    let checksum = blake3::keyed_hash(&KEY, &bytes);
    bytes.extend_from_slice(&checksum.as_bytes()[..16]);
    bytes
}

proptest! {
    #![proptest_config(config_with_seed(1))]

    /// Guards against frames that change when they are encoded and decoded, and against accepting a
    /// truncated datagram, one with a damaged byte or one of another fleet.
    #[test]
    fn only_complete_undamaged_datagrams_are_decoded(frame in frame(), position in any::<prop::sample::Index>(), flip_mask in 1u8..) {
        let codec = Codec::new(KEY);
        let bytes = codec.encode(&frame).unwrap();
        prop_assert_eq!(codec.decode(&bytes), Ok(frame));
        let index = position.index(bytes.len());
        prop_assert!(codec.decode(&bytes[..index]).is_err());
        let mut damaged = bytes.clone();
        damaged[index] ^= flip_mask;
        prop_assert!(codec.decode(&damaged).is_err());
        prop_assert_eq!(Codec::new([8; 32]).decode(&bytes), Err(Rejection::Foreign));
    }

    /// Guards against a decoder that panics on arbitrary bytes or accepts them.
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in vec(any::<u8>(), 0..1_400)) {
        prop_assert!(Codec::new(KEY).decode(&bytes).is_err());
    }

    /// Guards against a panic in the decoder or the table when a datagram has a correct checksum and a
    /// hostile body.
    #[test]
    fn authentic_datagram_with_hostile_body_causes_no_panic(body in vec(any::<u8>(), 1..1_000), mut frame in frame()) {
        let _ = Codec::new(KEY).decode(&authentic_datagram(&body));
        let now = Instant::now();
        let config = Config { local: frame.sender.clone(), seeds: Vec::new(), seed: 1 };
        let mut table = Table::new(config, now);
        frame.sender.id = Name::new("other");
        for step in 1..4 {
            frame.sequence = step;
            table.handle(Event::Received(Box::new(frame.clone())), now);
            table.handle(Event::Tick, now + Duration::from_millis(300 * step));
        }
    }
}

fn frame_with_updates(count: usize) -> Frame {
    let member = Member {
        id: Name::new("n1"),
        region: Name::new("r"),
        zone: Name::new("z"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        incarnation: Incarnation(1),
        state: State::Alive,
        known: Revision(0),
        in_force: Revision(0),
    };
    let update = Update {
        member: member.clone(),
        age: Age(0),
    };
    Frame {
        sender: member,
        sequence: 1,
        confirmation_age_ms: 0,
        load: 0,
        updates: vec![update; count],
        participant_hash: 0,
        key_salt: 0,
        range_start: 0,
        is_full_range: false,
        ages: Vec::new(),
    }
}

/// Guards against faults that share a rejection, which operators then can't tell apart in the metrics,
/// and against frames beyond the limits.
#[gtest]
fn each_fault_has_its_own_rejection() {
    let codec = Codec::new(KEY);
    let bytes = codec.encode(&frame_with_updates(1)).unwrap();
    let mut version = bytes.clone();
    version[0] += 1;
    expect_that!(codec.decode(&version), err(eq(&Rejection::Version)));
    let mut damaged = bytes.clone();
    damaged[20] ^= 1;
    expect_that!(codec.decode(&damaged), err(eq(&Rejection::Checksum)));
    expect_that!(codec.decode(&bytes[..10]), err(eq(&Rejection::Truncated)));
    expect_that!(
        codec.decode(&[0; MAX_BYTES + 1]),
        err(eq(&Rejection::Oversized))
    );
    expect_that!(
        codec.decode(&authentic_datagram(&[0; 3])),
        err(eq(&Rejection::Malformed))
    );
    let many = codec.encode(&frame_with_updates(MAX_UPDATES + 1)).unwrap();
    expect_that!(codec.decode(&many), err(eq(&Rejection::Malformed)));
    expect_that!(
        codec.encode(&frame_with_updates(100)),
        err(eq(&Rejection::Oversized))
    );
}

/// Guards against a table that composes datagrams beyond the limit when names have the greatest valid
/// length.
#[gtest]
fn datagrams_with_the_longest_names_fit() {
    let now = Instant::now();
    let long_named_member = |index: u64| {
        let mut member = frame_with_updates(0).sender;
        member.id = Name::new(format!("{index:0>128}"));
        member.region = Name::new("r".repeat(128));
        member.zone = Name::new("z".repeat(128));
        member.address = "[2001:db8::1]:65535".parse().unwrap();
        member.incarnation = Incarnation(u64::MAX);
        member.known = Revision(u64::MAX);
        member.in_force = Revision(u64::MAX);
        member
    };
    let config = Config {
        local: long_named_member(0),
        seeds: Vec::new(),
        seed: 1,
    };
    let mut table = Table::new(config, now);
    let codec = Codec::new(KEY);
    for index in 1..200 {
        let mut frame = frame_with_updates(0);
        frame.sender = long_named_member(index);
        let at = now + Duration::from_millis(index * 10);
        let mut actions = table.handle(Event::Received(Box::new(frame)), at);
        actions.extend(table.handle(Event::Tick, at));
        for action in actions {
            if let Action::Send { frame, .. } = action {
                expect_that!(codec.encode(&frame), ok(anything()));
            }
        }
    }
}
