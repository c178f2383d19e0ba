//! The head is read again after a pause of the process.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use shallotroute_config::{
    adoption::{Action, Adoption, Call, Event, Local},
    bundle::Head,
};
use shallotroute_types::{node::Incarnation, revision::Revision};

struct Node {
    adoption: Adoption,
    random: ChaCha8Rng,
    now: Instant,
}

impl Node {
    fn new() -> Self {
        let now = Instant::now();
        let local = Local {
            id: "n1".into(),
            zone: "z".into(),
            incarnation: Incarnation(1),
        };
        Self {
            adoption: Adoption::new(local, now),
            random: ChaCha8Rng::seed_from_u64(1),
            now,
        }
    }

    /// Feeds an event and tells whether the head is to be read.
    fn reads(&mut self, event: Event) -> bool {
        let actions = self.adoption.handle(event, self.now, &mut self.random);
        actions.iter().any(|it| matches!(it, Action::Read))
    }

    fn head(revision: u64, asked: Instant) -> Event {
        Event::Head {
            call: Call::Read,
            version: revision,
            head: Head {
                revision: Revision(revision),
                ..Head::initial()
            },
            asked,
        }
    }
}

/// Guards against a node that takes what it knew before a pause for the present for seconds.
#[gtest]
fn a_pause_is_followed_by_a_read() {
    let mut node = Node::new();
    expect_true!(node.reads(Event::Tick));
    let head = Node::head(0, node.now);
    node.reads(head);
    expect_that!(node.adoption.current_as_of(), some(eq(node.now)));
    node.now += Duration::from_millis(100);
    expect_false!(node.reads(Event::Tick));
    expect_true!(node.reads(Event::Resumed));
}

/// Guards against trust in a read that may have been answered before the pause.
#[gtest]
fn a_read_from_before_a_pause_does_not_stand_in_for_one_after_it() {
    let mut node = Node::new();
    expect_true!(node.reads(Event::Tick));
    let asked = node.now;
    node.now += Duration::from_secs(5);
    expect_true!(node.reads(Event::Resumed));
    let head = Node::head(0, asked);
    node.reads(head);
    node.now += Duration::from_secs(1);
    expect_true!(node.reads(Event::Tick));
}

/// Guards against a node that counts as current before it has the revision that it read of.
#[gtest]
fn a_newer_head_is_not_current() {
    let mut node = Node::new();
    let head = Node::head(3, node.now);
    node.reads(head);
    expect_that!(node.adoption.current_as_of(), none());
}
