//! Tests of how nodes keep together to the limit of a server.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_fleet::{
    limit::{
        Claim, Class, Divider, Known, Notice, Observation, Rate, Reply, Role, Statement,
        responsible,
    },
    server::{Balancer, Requirements, Server},
};
use shallotroute_types::{name::Name, node::Id};

const TICK: Duration = Duration::from_millis(10);

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("the rate should be valid")
}

fn observation(born: u64, per_second: Option<f64>, age: Duration) -> Observation {
    Observation {
        server: Name::from("a"),
        born,
        rate: per_second.map(rate),
        age,
    }
}

fn claim(per_second: f64, known_for: Duration, class: Class) -> Claim {
    Claim {
        observation: observation(1, Some(per_second), Duration::ZERO),
        known_for,
        class,
    }
}

/// Returns the largest number of requests within four seconds.
fn busiest_window(sent: &[Duration]) -> usize {
    let window = |from: &Duration| {
        let until = *from + Duration::from_secs(4);
        sent.iter().filter(|at| (*from..until).contains(at)).count()
    };
    sent.iter().map(window).max().unwrap_or_default()
}

/// The requests in four seconds that servers accept in spite of a limit.
fn allowance(per_second: f64) -> usize {
    (1.5 * per_second * 4.0 + 5.0) as usize
}

/// Guards against a server that gets the rate it named from each node, or far less in sum: forty nodes
/// with uneven load, whose requests are denied most of the time.
#[gtest]
fn nodes_keep_together_to_the_limit_of_a_server() {
    for per_second in [0.4, 4.2, 17.6, 200.0] {
        let started_at = Instant::now();
        let mut home = Divider::default();
        let mut nodes: Vec<Known> = (0..40)
            .map(|_| Known::new(rate(per_second), started_at))
            .collect();
        let mut sent = Vec::new();
        for tick in 0..2_000_u32 {
            let at = TICK * tick;
            let now = started_at + at;
            for (index, node) in nodes.iter_mut().enumerate() {
                let is_busy = index == 0 || (tick as usize + index * 7).is_multiple_of(20);
                for _ in 0..5 {
                    if !is_busy || node.denied_until(Class::Caller, now).is_some() {
                        break;
                    }
                    let claim = node.claim(Name::from("a"), 1, Class::Caller, now);
                    match home.decide(&claim, Role::Home, now) {
                        Reply::Granted => sent.push(at),
                        Reply::Denied(wait) => node.record_denial(Class::Caller, wait, now),
                        other => panic!("unexpected reply {other:?}"),
                    }
                }
            }
        }
        expect_that!(busiest_window(&sent), le(allowance(per_second)));
        let expected = per_second * 20.0;
        expect_that!(sent.len() as f64, ge(expected * 0.9), "{per_second}");
    }
}

/// Guards against twice the rate while nodes disagree about the home: a new one takes over and the former
/// one and a deputy still get claims for a second.
#[gtest]
fn a_change_of_the_home_does_not_double_the_rate() {
    let started_at = Instant::now();
    let (mut former, mut deputy) = (Divider::default(), Divider::default());
    let mut next = Divider::default();
    let mut sent = Vec::new();
    for tick in 0..1_000_u32 {
        let at = TICK * tick;
        let now = started_at + at;
        let claim = claim(20.0, Duration::from_secs(3) + at, Class::Caller);
        let is_former_asked = tick < 500;
        let is_next_asked = tick >= 400;
        let replies = [
            is_former_asked.then(|| former.decide(&claim, Role::Home, now)),
            Some(deputy.decide(&claim, Role::Deputy, now)),
            is_next_asked.then(|| next.decide(&claim, Role::Home, now)),
        ];
        let granted = replies
            .iter()
            .filter(|reply| **reply == Some(Reply::Granted));
        sent.extend(granted.map(|_| at));
    }
    expect_that!(busiest_window(&sent), le(allowance(20.0)));
    expect_that!(sent.len(), ge(150));
}

/// Guards against a home that is empty at the first claim of a new limit: the service would serve
/// nothing for a second.
#[gtest]
fn a_new_limit_is_granted_in_full_at_once() {
    let now = Instant::now();
    let mut home = Divider::default();
    let mut granted = 0;
    for tick in 0..100_u32 {
        let at = TICK * tick;
        let reply = home.decide(&claim(20.0, at, Class::Caller), Role::Home, now + at);
        granted += usize::from(reply == Reply::Granted);
    }
    expect_that!(granted, ge(18));
}

/// Guards against batch items that take the permits for which callers wait.
#[gtest]
fn requests_of_callers_get_permits_before_batch_items() {
    let started_at = Instant::now();
    let mut home = Divider::default();
    let mut granted = [0_u32; 2];
    let mut asked = 0;
    for tick in 0..2_000_u32 {
        let at = TICK * tick;
        let batch = claim(10.0, at, Class::Batch);
        let reply = home.decide(&batch, Role::Home, started_at + at);
        granted[1] += u32::from(reply == Reply::Granted);
        // Five requests a second of callers, half of the rate.
        if tick.is_multiple_of(20) {
            asked += 1;
            let reply = home.decide(&claim(10.0, at, Class::Caller), Role::Home, started_at + at);
            granted[0] += u32::from(reply == Reply::Granted);
        }
    }
    expect_that!(granted[0], ge(asked * 95 / 100));
    expect_that!(granted[1], ge(85));
}

/// Guards against a limit that goes on by an older answer after a newer one has changed or ended it.
#[gtest]
fn the_latest_answer_decides_how_a_limit_changes_and_ends() {
    let started_at = Instant::now();
    let mut home = Divider::default();
    let first = claim(1.0, Duration::ZERO, Class::Caller);
    expect_that!(
        home.decide(&first, Role::Home, started_at),
        eq(Reply::Granted)
    );
    let later = started_at + Duration::from_secs(1);
    home.record(&observation(1, None, Duration::ZERO), later);
    let mut outdated = claim(1.0, Duration::from_secs(1), Class::Caller);
    outdated.observation.age = Duration::from_millis(300);
    expect_that!(
        home.decide(&outdated, Role::Home, later),
        eq(Reply::Unlimited)
    );
    let named_again = claim(1.0, Duration::ZERO, Class::Caller);
    let reply = home.decide(&named_again, Role::Home, later + TICK);
    expect_that!(reply, not(eq(Reply::Unlimited)));
    // Another process under the same identity has named nothing yet.
    home.record(&observation(2, None, Duration::ZERO), later);
    expect_that!(home.is_empty(), eq(true));
}

/// Guards against a limit that can't end because its server gets no request that could show it.
#[gtest]
fn a_server_that_takes_nothing_still_gets_a_request_now_and_then() {
    let started_at = Instant::now();
    let mut home = Divider::default();
    let mut sent = Vec::new();
    for tick in 0..4_000_u32 {
        let at = TICK * tick;
        let claim = claim(0.0, at, Class::Batch);
        if home.decide(&claim, Role::Home, started_at + at) == Reply::Granted {
            sent.push(at);
        }
    }
    expect_that!(sent.len(), ge(4));
    expect_that!(busiest_window(&sent), le(allowance(0.0)));
    // The same without any home.
    let mut node = Known::new(rate(0.0), started_at);
    expect_that!(node.take_trial(started_at), eq(true));
    expect_that!(node.take_trial(started_at + TICK), eq(false));
    expect_that!(
        node.take_trial(started_at + Duration::from_secs(6)),
        eq(true)
    );
}

/// Guards against nodes that choose different homes, or the home as its own deputy.
#[gtest]
fn a_server_has_one_home_and_another_deputy() {
    let nodes: Vec<Id> = ["n1", "n2", "n3"].map(Id::from).to_vec();
    let roles = |nodes: &[Id], server: &str| -> Vec<(Role, Id)> {
        responsible(nodes.iter().map(|id| (id, 250)), server)
            .map(|(role, id)| (role, id.clone()))
            .collect()
    };
    let found = roles(&nodes, "a");
    let reversed: Vec<Id> = nodes.iter().rev().cloned().collect();
    expect_that!(roles(&reversed, "a"), eq(&found));
    expect_that!(found.len(), eq(2));
    expect_that!(found[0].1, not(eq(&found[1].1)));
    // The deputy is the next home.
    let others: Vec<Id> = nodes.into_iter().filter(|id| *id != found[0].1).collect();
    expect_that!(roles(&others, "a")[0].1, eq(&found[1].1));
    expect_that!(roles(&[], "a"), is_empty());
}

fn server(id: &str) -> Server {
    Server {
        id: id.into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "near".into(),
        slots: 6,
        is_draining: false,
        leaves_after: None,
        is_spot: false,
        born: 1,
        software: Name::from("v1"),
        models: Default::default(),
    }
}

/// Guards against a request that is sent to a server whose limit denies it because no other is left,
/// and against one that waits without knowing for how long.
#[gtest]
fn a_server_whose_limit_denies_a_request_is_not_chosen() {
    let now = Instant::now();
    let mut balancer = Balancer::new("near".into());
    for id in ["a", "b"] {
        balancer.insert(server(id));
        let observed = balancer.record_limit(id, Statement::Limited(rate(4.0)), now);
        expect_that!(observed, some(anything()));
    }
    let requirements = |class| Requirements {
        service: "desk",
        model: None,
        software: None,
        avoid: &[],
        cached_on: None,
        batch_rank: None,
        class,
    };
    let chosen = |balancer: &Balancer, class, now| {
        let server = balancer.choose(&requirements(class), now);
        server.map(|server| server.id.to_string())
    };
    balancer.record_denial("a", Class::Caller, Duration::from_millis(200), now);
    expect_that!(chosen(&balancer, Class::Caller, now), some(eq("b")));
    balancer.record_denial("b", Class::Caller, Duration::from_millis(80), now);
    expect_that!(chosen(&balancer, Class::Caller, now), none());
    expect_that!(
        balancer.next_permit(&requirements(Class::Caller), now),
        some(eq(Duration::from_millis(80)))
    );
    expect_that!(chosen(&balancer, Class::Batch, now), some(anything()));
    let later = now + Duration::from_millis(100);
    expect_that!(chosen(&balancer, Class::Caller, later), some(eq("b")));
    // A new process under the identity has named no limit.
    let restarted = Server {
        born: 2,
        ..server("a")
    };
    balancer.insert(restarted);
    expect_that!(
        balancer.limit_claim("a", Class::Caller, now).is_none(),
        eq(true)
    );
    expect_that!(chosen(&balancer, Class::Caller, now), some(eq("a")));
}

/// Guards against a node that has just started and sends requests without a permit until a server's first
/// answer, and against a notice that revives a limit which has ended.
#[gtest]
fn a_node_that_starts_knows_the_limit_before_its_first_request() {
    let now = Instant::now();
    let mut home = Divider::default();
    home.record(&observation(1, Some(4.0), Duration::ZERO), now);
    expect_that!(home.notices().is_empty(), eq(true));
    home.decide(&claim(4.0, Duration::ZERO, Class::Caller), Role::Home, now);
    let notice = Notice {
        born: 1,
        rate: rate(4.0),
    };
    expect_that!(home.notices().get("a"), some(eq(&notice)));
    let mut balancer = Balancer::new("near".into());
    balancer.insert(server("a"));
    let of_another_process = Notice {
        born: 7,
        ..notice.clone()
    };
    balancer.record_notice("a", &of_another_process, now);
    expect_that!(
        balancer.limit_claim("a", Class::Caller, now).is_none(),
        eq(true)
    );
    balancer.record_notice("a", &notice, now);
    let claim = balancer.limit_claim("a", Class::Caller, now);
    let claim = claim.expect("the limit should be known");
    home.record(
        &observation(1, None, Duration::ZERO),
        now + Duration::from_secs(1),
    );
    expect_that!(home.notices().is_empty(), eq(true));
    let later = now + Duration::from_secs(2);
    expect_that!(home.decide(&claim, Role::Home, later), eq(Reply::Unlimited));
}
