//! When a node reads the head, and as of when its revision counts as current.

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
    rng: ChaCha8Rng,
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
            rng: ChaCha8Rng::seed_from_u64(1),
            now,
        }
    }

    /// Processes an event and returns whether the node then reads the head.
    fn reads_head_on(&mut self, event: Event) -> bool {
        let actions = self.adoption.handle(event, self.now, &mut self.rng);
        actions.iter().any(|action| matches!(action, Action::Read))
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

/// Guards against outdated configuration after a pause of the process: without a read at once, the
/// node would use it until its next regular read, seconds later.
#[gtest]
fn head_is_read_after_a_pause() {
    let mut node = Node::new();
    expect_true!(node.reads_head_on(Event::Tick));
    let head = Node::head(0, node.now);
    node.reads_head_on(head);
    expect_that!(node.adoption.current_as_of(), some(eq(node.now)));
    node.now += Duration::from_millis(100);
    expect_false!(node.reads_head_on(Event::Tick));
    expect_true!(node.reads_head_on(Event::Resumed));
}

/// Guards against reliance on a read that started before a pause: its response may have been sent
/// before the pause, too.
#[gtest]
fn read_started_before_a_pause_does_not_count() {
    let mut node = Node::new();
    expect_true!(node.reads_head_on(Event::Tick));
    let asked = node.now;
    node.now += Duration::from_secs(5);
    expect_true!(node.reads_head_on(Event::Resumed));
    let head = Node::head(0, asked);
    node.reads_head_on(head);
    node.now += Duration::from_secs(1);
    expect_true!(node.reads_head_on(Event::Tick));
}

/// Guards against a node that counts as current although the head that it has read names a revision
/// that it does not apply yet.
#[gtest]
fn node_is_not_current_before_it_applies_the_head() {
    let mut node = Node::new();
    let head = Node::head(3, node.now);
    node.reads_head_on(head);
    expect_that!(node.adoption.current_as_of(), none());
}
