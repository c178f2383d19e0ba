//! Datagrams that are whole, damaged, foreign or hostile.

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config as Runner, RngSeed},
};
use shallotroute_membership::{
    codec::{Codec, Rejection, VERSION},
    datagram::{Age, Frame, MAX_BYTES, MAX_NEWS, News, Seen},
    table::{Action, Config, Event, Table},
};
use shallotroute_types::{
    member::{Member, State},
    name::Name,
    node::Incarnation,
    revision::Revision,
};

const KEY: [u8; 32] = [7; 32];

fn runner(seed: u64) -> Runner {
    Runner {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases: 512,
        ..Runner::default()
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
    let news = (member(), any::<u8>()).prop_map(|(member, age)| News {
        member,
        age: Age(age),
    });
    let seen = (any::<u16>(), any::<u8>());
    let seen = seen.prop_map(|(gap, age)| Seen { gap, age: Age(age) });
    let numbers = (
        any::<u64>(),
        any::<u32>(),
        any::<u32>(),
        any::<u32>(),
        any::<u16>(),
    );
    (member(), numbers, vec(news, 0..4), vec(seen, 0..99)).prop_map(
        |(sender, (sequence, confirmation_age_ms, load, members, salt), news, ages)| Frame {
            sender,
            sequence,
            confirmation_age_ms,
            load,
            news,
            members,
            salt,
            start: 7,
            whole: false,
            ages,
        },
    )
}

fn sealed(body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    let tag = blake3::derive_key("shallotroute heartbeat tag v1", &KEY);
    bytes.extend_from_slice(&tag[..4]);
    bytes.extend_from_slice(body);
    let checksum = blake3::keyed_hash(&KEY, &bytes);
    bytes.extend_from_slice(&checksum.as_bytes()[..16]);
    bytes
}

proptest! {
    #![proptest_config(runner(1))]

    /// Guards against frames that change on the way, and against accepting a part of a datagram or
    /// one with any damaged byte.
    #[test]
    fn only_whole_frames_are_decoded(frame in frame(), cut in any::<prop::sample::Index>(), flip in 1u8..) {
        let codec = Codec::new(KEY);
        let bytes = codec.encode(&frame).unwrap();
        prop_assert_eq!(codec.decode(&bytes), Ok(frame));
        let index = cut.index(bytes.len());
        prop_assert!(codec.decode(&bytes[..index]).is_err());
        let mut damaged = bytes.clone();
        damaged[index] ^= flip;
        prop_assert!(codec.decode(&damaged).is_err());
        prop_assert_eq!(Codec::new([8; 32]).decode(&bytes), Err(Rejection::Foreign));
    }

    /// Guards against a decoder that panics on arbitrary bytes, and against accepting any.
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in vec(any::<u8>(), 0..1_400)) {
        prop_assert!(Codec::new(KEY).decode(&bytes).is_err());
    }

    /// Guards against a panic on an authentic datagram with a hostile body, in the decoder or in the
    /// table of members.
    #[test]
    fn authentic_garbage_does_no_harm(body in vec(any::<u8>(), 1..1_000), mut frame in frame()) {
        let _ = Codec::new(KEY).decode(&sealed(&body));
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

fn with_news(count: usize) -> Frame {
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
    let news = News {
        member: member.clone(),
        age: Age(0),
    };
    Frame {
        sender: member,
        sequence: 1,
        confirmation_age_ms: 0,
        load: 0,
        news: vec![news; count],
        members: 0,
        salt: 0,
        start: 0,
        whole: false,
        ages: Vec::new(),
    }
}

/// Guards against reasons that operators can't tell apart, and against frames beyond the limits.
#[gtest]
fn reasons_are_told_apart() {
    let codec = Codec::new(KEY);
    let bytes = codec.encode(&with_news(1)).unwrap();
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
        codec.decode(&sealed(&[0; 3])),
        err(eq(&Rejection::Malformed))
    );
    let many = codec.encode(&with_news(MAX_NEWS + 1)).unwrap();
    expect_that!(codec.decode(&many), err(eq(&Rejection::Malformed)));
    expect_that!(
        codec.encode(&with_news(100)),
        err(eq(&Rejection::Oversized))
    );
}

/// Guards against a table whose datagrams do not fit with the longest valid names.
#[gtest]
fn datagrams_with_the_longest_names_fit() {
    let now = Instant::now();
    let long = |index: u64| {
        let mut member = with_news(0).sender;
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
        local: long(0),
        seeds: Vec::new(),
        seed: 1,
    };
    let mut table = Table::new(config, now);
    let codec = Codec::new(KEY);
    for index in 1..200 {
        let mut frame = with_news(0);
        frame.sender = long(index);
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
