//! Tests of the permission to call the platform for a duty.

use std::time::Duration;

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use shallotroute_fleet::duty::{CallEnd, Holder, Permit, Refusal, Timing};
use shallotroute_types::fence::Fence;

const MS: Duration = Duration::from_millis(1);

/// The time to live of a lease in the store.
const LEASE_TTL: Duration = Duration::from_millis(2500);

/// The longest pause between the check and the first byte that the margin is made for.
const MAX_PAUSE: Duration = Duration::from_millis(300);

fn timing() -> Timing {
    Timing {
        settling: 3000 * MS,
        call_timeout: 700 * MS,
        abandoned: 2000 * MS,
        margin: MAX_PAUSE,
        interval: 20 * MS,
    }
}

fn holder_at(now: Duration) -> Holder {
    let mut holder = Holder::new(timing());
    holder.gain(Fence(7), now);
    holder
}

// Guards against a call before those of the former holder have arrived, and against a wait that starts anew
// with each record of the same token.
#[gtest]
fn new_holder_waits_before_its_first_call() {
    let mut holder = holder_at(1000 * MS);
    holder.gain(Fence(7), 3500 * MS);
    let lease = Some(60_000 * MS);
    expect_that!(
        holder.permit(lease, 3999 * MS),
        err(eq(Refusal::NotBefore(4000 * MS)))
    );
    let permit = holder.permit(lease, 4000 * MS);
    expect_that!(permit.map(|permit| permit.token), ok(eq(Fence(7))));
}

// Guards against a call that the platform may execute after the lease has ended.
#[gtest]
fn lease_has_to_outlast_call() {
    let mut holder = holder_at(Duration::ZERO);
    let now = 5000 * MS;
    for lease in [None, Some(now), Some(now + 1000 * MS)] {
        expect_that!(holder.permit(lease, now), err(eq(Refusal::LeaseTooShort)));
    }
    expect_that!(holder.permit(Some(now + 1001 * MS), now), ok(anything()));
}

// Guards against calls above the platform's rate.
#[gtest]
fn calls_keep_their_interval() {
    let mut holder = holder_at(Duration::ZERO);
    let lease = Some(60_000 * MS);
    expect_that!(holder.permit(lease, 5000 * MS), ok(anything()));
    expect_that!(
        holder.permit(lease, 5019 * MS),
        err(eq(Refusal::NotBefore(5020 * MS)))
    );
}

// Guards against a second call with a token that the platform has rejected.
#[gtest]
fn rejected_token_is_not_used_again() {
    let mut holder = holder_at(Duration::ZERO);
    let lease = Some(60_000 * MS);
    let permit = holder.permit(lease, 5000 * MS).unwrap();
    holder.end(permit, CallEnd::Fenced);
    expect_true!(holder.is_fenced());
    expect_that!(holder.permit(lease, 6000 * MS), err(eq(Refusal::Fenced)));
    holder.lose();
    holder.gain(Fence(7), 7000 * MS);
    expect_that!(holder.permit(lease, 20_000 * MS), err(eq(Refusal::Fenced)));
    holder.gain(Fence(9), 20_000 * MS);
    expect_that!(holder.permit(lease, 23_000 * MS), ok(anything()));
}

// Guards against calls with a token while it is open whether a rejection was for it, and against a leader that
// steps down each time no servers are available.
#[gtest]
fn doubted_token_waits_for_the_leadership() {
    let mut holder = holder_at(Duration::ZERO);
    let lease = Some(60_000 * MS);
    let permit = holder.permit(lease, 5000 * MS).unwrap();
    holder.end(permit, CallEnd::Doubtful);
    expect_that!(holder.doubted(), some(eq(permit)));
    expect_that!(holder.permit(lease, 6000 * MS), err(eq(Refusal::Doubted)));
    holder.resolve_doubt(permit, true);
    let permit = holder.permit(lease, 7000 * MS).unwrap();
    holder.end(permit, CallEnd::Doubtful);
    holder.resolve_doubt(permit, false);
    expect_true!(holder.is_fenced());
}

// Guards against a node that lets another one be elected while its own call may still arrive.
#[gtest]
fn unanswered_call_delays_resignation() {
    let mut holder = holder_at(Duration::ZERO);
    let lease = Some(60_000 * MS);
    let answered = holder.permit(lease, 5000 * MS).unwrap();
    let lost = holder.permit(lease, 5100 * MS).unwrap();
    holder.set_resigning(true);
    expect_that!(holder.permit(lease, 5200 * MS), err(eq(Refusal::Resigning)));
    holder.end(answered, CallEnd::Settled);
    holder.end(lost, CallEnd::Unanswered);
    expect_false!(holder.can_step_down(8099 * MS));
    expect_true!(holder.can_step_down(8100 * MS));
}

/// What happens next in a run.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// A node stands still for this time, also between its check and its call.
    Suspend(usize, u64),
    /// A node renews its lease, campaigns if there is no leader, and learns who leads.
    Refresh(usize),
    /// A node makes a call, with a pause after the check and this answer.
    Call(usize, u64, Answer),
    /// A node refreshes and calls in turn this often, as long as it leads.
    Serve(usize, u32, Answer),
    /// A node wants to give up the leadership.
    Resign(usize),
}

/// How a call ends.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Accepted,
    Busy,
    /// The call arrives at the end of the time in which it can.
    LostAndLate,
    /// The call arrives at once, without an answer.
    Lost,
}

#[derive(Debug)]
struct Node {
    holder: Holder,
    /// The end of the lease as the node knows it.
    valid_until: Duration,
    /// The end of the lease at the store, which is at least as late.
    stored_until: Duration,
    suspended_until: Duration,
}

/// The arrival of a call at the platform.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    token: Fence,
    node: usize,
}

#[derive(Debug)]
struct World {
    now: Duration,
    nodes: Vec<Node>,
    /// The node that leads according to the store, and its token.
    leader: Option<(usize, Fence)>,
    revision: u64,
    arrivals: Vec<Arrival>,
    /// When nodes stepped down, with their tokens.
    resignations: Vec<(Duration, Fence)>,
    /// Whether all calls would time out before the lease of their node ends.
    are_within_lease: bool,
    /// Whether the platform rejects lower tokens.
    checks_tokens: bool,
}

impl World {
    fn new(checks_tokens: bool) -> Self {
        let node = || Node {
            holder: Holder::new(timing()),
            valid_until: Duration::ZERO,
            stored_until: Duration::ZERO,
            suspended_until: Duration::ZERO,
        };
        Self {
            now: 10_000 * MS,
            nodes: (0..3).map(|_| node()).collect(),
            leader: None,
            revision: 0,
            arrivals: Vec::new(),
            resignations: Vec::new(),
            are_within_lease: true,
            checks_tokens,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Pass(time) => self.now += time as u32 * MS,
            Step::Suspend(node, time) => {
                self.nodes[node].suspended_until = self.now + time as u32 * MS;
            }
            Step::Refresh(node) => self.refresh(node),
            Step::Call(node, pause, answer) => self.call(node, pause as u32 * MS, answer),
            Step::Serve(node, rounds, answer) => {
                for _ in 0..rounds {
                    self.apply(Step::Refresh(node));
                    self.apply(Step::Pass(400));
                    self.apply(Step::Call(node, 0, answer));
                }
            }
            Step::Resign(node) => self.resign(node),
        }
        if let Some((leader, _)) = self.leader
            && self.nodes[leader].stored_until <= self.now
        {
            self.leader = None;
        }
    }

    fn refresh(&mut self, id: usize) {
        let (now, node) = (self.now, &mut self.nodes[id]);
        if node.suspended_until > now {
            return;
        }
        // The node counts its lease from the request, the store from a later moment.
        node.valid_until = now + LEASE_TTL;
        node.stored_until = now + LEASE_TTL + 200 * MS;
        if self.leader.is_none() {
            self.revision += 1;
            self.leader = Some((id, Fence(self.revision)));
        }
        match self.leader {
            Some((leader, token)) if leader == id => self.nodes[id].holder.gain(token, now),
            _ => self.nodes[id].holder.lose(),
        }
    }

    fn call(&mut self, id: usize, pause: Duration, answer: Answer) {
        let (now, node) = (self.now, &mut self.nodes[id]);
        if node.suspended_until > now {
            return;
        }
        let Ok(permit) = node.holder.permit(Some(node.valid_until), now) else {
            return;
        };
        let Timing {
            call_timeout,
            abandoned,
            ..
        } = timing();
        let sent_at = now + pause;
        self.are_within_lease &= sent_at + call_timeout <= node.stored_until;
        let at = match answer {
            Answer::Accepted | Answer::Busy | Answer::Lost => sent_at,
            Answer::LostAndLate => sent_at + call_timeout + abandoned,
        };
        let highest = self.arrivals.iter().map(|arrival| arrival.token).max();
        let is_rejected = self.checks_tokens && highest.is_some_and(|token| token > permit.token);
        let end = match answer {
            Answer::Accepted | Answer::Busy if is_rejected => CallEnd::Fenced,
            Answer::Accepted | Answer::Busy => CallEnd::Settled,
            Answer::Lost | Answer::LostAndLate => CallEnd::Unanswered,
        };
        if end != CallEnd::Unanswered {
            // The answer is known after the arrival.
            self.now = sent_at;
        }
        self.end(id, permit, end);
        self.arrivals.push(Arrival {
            at,
            token: permit.token,
            node: id,
        });
    }

    fn end(&mut self, node: usize, permit: Permit, end: CallEnd) {
        self.nodes[node].holder.end(permit, end);
    }

    fn resign(&mut self, id: usize) {
        let node = &mut self.nodes[id];
        if node.suspended_until > self.now {
            return;
        }
        node.holder.set_resigning(true);
        if let Some((leader, token)) = self.leader
            && leader == id
            && node.holder.can_step_down(self.now)
        {
            node.holder.lose();
            self.leader = None;
            self.resignations.push((self.now, token));
        }
    }

    /// Checks that no lower token arrives after a higher one, and that nodes do not take turns within the lease.
    fn check(&self) -> std::result::Result<(), TestCaseError> {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.token));
        for pair in arrivals.windows(2) {
            prop_assert!(pair[0].token <= pair[1].token, "{:?}", arrivals);
        }
        prop_assert!(self.are_within_lease, "{:?}", arrivals);
        for (at, token) in &self.resignations {
            let is_late = |arrival: &Arrival| arrival.token == *token && arrival.at > *at;
            prop_assert!(!arrivals.iter().any(is_late), "{:?}", arrivals);
        }
        for (index, first) in arrivals.iter().enumerate() {
            let rest = &arrivals[index..];
            let Some(other) = rest.iter().position(|other| other.node != first.node) else {
                continue;
            };
            for third in &rest[other..] {
                let is_turn = third.node == first.node;
                let gap = third.at - first.at;
                prop_assert!(!is_turn || gap > timing().settling, "{:?}", arrivals);
            }
        }
        Ok(())
    }
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..3_usize;
    let answer = prop_oneof![
        4 => Just(Answer::Accepted),
        1 => Just(Answer::Busy),
        2 => Just(Answer::LostAndLate),
        1 => Just(Answer::Lost),
    ];
    prop_oneof![
        4 => (1..900_u64).prop_map(Step::Pass),
        1 => (1..6000_u64).prop_map(Step::Pass),
        1 => (node.clone(), 500..9000_u64).prop_map(|(node, time)| Step::Suspend(node, time)),
        5 => node.clone().prop_map(Step::Refresh),
        4 => (node.clone(), 8..20_u32, answer.clone())
            .prop_map(|(node, rounds, answer)| Step::Serve(node, rounds, answer)),
        6 => (node.clone(), 0..=300_u64, answer)
            .prop_map(|(node, pause, answer)| Step::Call(node, pause, answer)),
        1 => node.prop_map(Step::Resign),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    // Guards against calls of a former leader that arrive after those of its successor: after a suspension,
    // renewals that stop, lost answers and voluntary resignations, whether the platform checks tokens or not.
    #[test]
    fn tokens_arrive_in_order(checks_tokens: bool, steps in vec(step(), 1..120)) {
        let mut world = World::new(checks_tokens);
        for step in steps {
            world.apply(step);
        }
        world.check()?;
    }
}

// Guards against a property test that passes because hardly any calls are made.
#[gtest]
fn world_lets_two_leaders_call() {
    let mut world = World::new(false);
    for (node, resigns) in [(0, true), (1, false)] {
        for step in 0..8 {
            world.apply(Step::Refresh(node));
            world.apply(Step::Pass(700));
            if step > 5 {
                world.apply(Step::Call(node, 0, Answer::Accepted));
            }
        }
        if resigns {
            world.apply(Step::Resign(node));
        }
    }
    let nodes: Vec<usize> = world.arrivals.iter().map(|arrival| arrival.node).collect();
    expect_that!(nodes, elements_are![eq(&0), eq(&0), eq(&1), eq(&1)]);
}
