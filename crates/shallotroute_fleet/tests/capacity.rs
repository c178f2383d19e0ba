//! Tests of how nodes share the servers of a service.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_fleet::capacity::{
    Backlog, Board, Demand, Load, REPORT_RETENTION, Report, Supply, job_slots, share,
};
use shallotroute_types::node::Incarnation;

fn report(items: usize, requests: usize) -> Report {
    Report {
        demands: vec![Demand {
            service: "llm".into(),
            model: "m".into(),
            items,
        }],
        loads: vec![Load {
            server: "a".into(),
            requests,
        }],
    }
}

fn lacking(board: &Board) -> Vec<usize> {
    board.demands().map(|demand| demand.items).collect()
}

fn four_slots(server: &str) -> Option<usize> {
    (server == "a").then_some(4)
}

/// Guards against a trainer that falls behind although slots are idle: what small jobs do not need goes
/// to the large ones, and nobody gets less than the equal share that it needs.
#[gtest]
fn idle_slots_go_to_the_jobs_that_need_them() {
    let jobs = [8, 10, 20, 40, 60, 60];
    let share_of = |index: usize| {
        let mut others = jobs.to_vec();
        let own = others.remove(index);
        share(78, own, &others)
    };
    let shares: Vec<usize> = (0..jobs.len()).map(share_of).collect();
    expect_that!(shares, eq(&vec![8, 10, 15, 15, 15, 15]));
    expect_that!(shares.iter().sum::<usize>(), eq(78));
    expect_that!(share(78, 64, &[]), eq(64));
    expect_that!(share(78, 120, &[]), eq(78));
    expect_that!(share(78, 60, &[5, 5]), eq(60));
}

/// Guards against a job that stops for good: with more jobs than slots, or with servers that are all
/// gone, each may still have one item in progress.
#[gtest]
fn a_job_always_has_a_slot() {
    for (slots, others) in [(0, vec![]), (0, vec![5]), (2, vec![9; 20]), (1, vec![0, 0])] {
        expect_that!(share(slots, 30, &others), ge(1));
        expect_that!(share(slots, 0, &others), ge(1));
    }
}

/// Guards against a node that claims everything: others keep their equal share, and its requests in
/// flight count only as far as a server can hold them.
#[gtest]
fn an_absurd_report_takes_no_more_than_its_share() {
    let now = Instant::now();
    let mut board = Board::default();
    board.record(
        &"greedy".into(),
        Incarnation(1),
        report(usize::MAX, usize::MAX),
        now,
    );
    let own = &report(64, 0).demands[0];
    let supply = Supply {
        total: 78,
        eligible: 78,
    };
    expect_that!(job_slots(supply, own, board.demands()), eq(39));
    expect_that!(
        board.loads(four_slots, now),
        eq(&BTreeMap::from([("a".into(), 8)]))
    );
}

/// Guards against a report that arrives after the restart of its node, and against one whose node is
/// gone or silent and that binds slots for good.
#[gtest]
fn reports_end_with_their_process() {
    let now = Instant::now();
    let mut board = Board::default();
    board.record(&"n".into(), Incarnation(2), report(10, 3), now);
    board.record(&"n".into(), Incarnation(1), report(50, 4), now);
    expect_that!(lacking(&board), eq(&vec![10]));

    let later = now + Duration::from_secs(2);
    board.expire(|_| true, later);
    expect_that!(lacking(&board), eq(&vec![10]));
    expect_that!(board.loads(four_slots, later), is_empty());

    board.expire(|_| true, now + REPORT_RETENTION);
    expect_that!(lacking(&board), is_empty());

    board.record(&"n".into(), Incarnation(2), report(10, 3), later);
    board.expire(|node| **node != *"n", later);
    expect_that!(lacking(&board), is_empty());
}

/// Guards against idle servers of one model: while servers are divided between models, only jobs of
/// the same model compete for those that have its version.
#[gtest]
fn jobs_of_other_models_do_not_compete_for_divided_servers() {
    let demand = |model: &str, items| Demand {
        service: "llm".into(),
        model: model.into(),
        items,
    };
    let others = [demand("a", 10), demand("b", 100), demand("c", 100)];
    let divided = Supply {
        total: 78,
        eligible: 18,
    };
    expect_that!(job_slots(divided, &demand("a", 50), others.iter()), eq(9));
    let undivided = Supply {
        total: 78,
        eligible: 78,
    };
    expect_that!(
        job_slots(undivided, &demand("a", 50), others.iter()),
        eq(22)
    );
}

/// Guards against a division of the servers by the moment at which it is made: the average over the
/// steps of a trainer counts, also while its step is at its end.
#[gtest]
fn backlog_is_an_average_over_steps() {
    let demand = |model: &str, items| Demand {
        service: "llm".into(),
        model: model.into(),
        items,
    };
    let mut backlog = Backlog::default();
    let start = Instant::now();
    for tick in 0..1200 {
        // Steps of four seconds, the large one with four times the work of the small one.
        let left = 40 - tick as usize % 40;
        let demands = [demand("small", left), demand("large", 4 * left)];
        backlog.update(demands.iter(), start + Duration::from_millis(100) * tick);
    }
    let ratio = backlog.items("large") / backlog.items("small");
    expect_that!(ratio, all!(ge(3.9), le(4.1)));
    expect_that!(backlog.items("small"), all!(ge(15.0), le(25.0)));
    expect_that!(backlog.items("unknown"), eq(0.0));
}

/// Guards against a demand that seems to have ended because its reports are missing: a node that falls
/// silent without an empty report is missed until it reports again or has left.
#[gtest]
fn silent_nodes_are_missed() {
    let now = Instant::now();
    let later = now + REPORT_RETENTION;
    let mut board = Board::default();
    expect_that!(board.is_complete(now), eq(true));
    board.record(&"n".into(), Incarnation(1), report(10, 3), now);
    expect_that!(board.is_complete(now), eq(true));
    expect_that!(board.is_complete(now + Duration::from_secs(1)), eq(false));
    board.expire(|_| true, later);
    expect_that!(lacking(&board), is_empty());
    expect_that!(board.is_complete(later), eq(false));

    board.record(&"n".into(), Incarnation(1), Report::default(), later);
    expect_that!(board.is_complete(later + REPORT_RETENTION), eq(true));
    board.record(&"n".into(), Incarnation(1), report(10, 3), later);
    board.expire(|_| false, later + REPORT_RETENTION);
    expect_that!(board.is_complete(later + REPORT_RETENTION), eq(true));
}
