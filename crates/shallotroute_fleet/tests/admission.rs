//! Tests of who waits or is turned away when there is too little room.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use shallotroute_fleet::{
    admission::{
        Policy, Request,
        governor::{Admission, End, Governor, Shortage, Source},
        share::{Hold, Need, Report, item_priority, shares},
    },
    capacity::{self, Board, Demand},
};
use shallotroute_types::node::Incarnation;

const DUE_AFTER: Duration = Duration::from_millis(7500);
const GROUP: usize = 4;

fn demand(items: usize) -> Demand {
    Demand {
        service: "llm".into(),
        model: "m".into(),
        items,
    }
}

fn need(items: usize, slots: usize, priority: u8) -> Need {
    Need {
        demand: demand(items),
        slots,
        priority,
        workspace: None,
    }
}

fn of_workspace(workspace: &str, need: Need) -> Need {
    Need {
        workspace: Some(workspace.into()),
        ..need
    }
}

fn shares_of(slots: usize, needs: &[Need]) -> Vec<usize> {
    shares(slots, &needs.iter().collect::<Vec<_>>())
}

/// A step of a trainer in a replay.
struct Step {
    priority: u8,
    started_at: Duration,
    waiting: usize,
    /// When the items in progress end.
    ends: Vec<Duration>,
    /// When the items have ended.
    ended: Vec<Duration>,
}

impl Step {
    fn open(&self) -> usize {
        self.waiting + self.ends.len()
    }

    fn groups_in_time(&self) -> usize {
        let due = self.started_at + DUE_AFTER;
        self.ended.iter().filter(|end| **end <= due).count() / GROUP
    }
}

/// Runs trainers, each with its priority and number of items, that start a step every `period`. An item
/// keeps a slot for `hold`, and `slots` returns how many there are. Returns the groups of each
/// trainer that end in time.
fn replay(
    policy: Policy,
    trainers: &[(u8, usize)],
    (steps, period): (u32, Duration),
    hold: Duration,
    slots: impl Fn(Duration) -> usize,
) -> Vec<usize> {
    const TICK: Duration = Duration::from_millis(20);
    let mut running: Vec<(usize, Step)> = Vec::new();
    let mut elapsed = Duration::ZERO;
    let mut started = 0;
    while elapsed < period * steps + DUE_AFTER {
        if started < steps && elapsed >= period * started {
            started += 1;
            running.extend(trainers.iter().enumerate().map(|(index, trainer)| {
                let step = Step {
                    priority: trainer.0,
                    started_at: elapsed,
                    waiting: trainer.1,
                    ends: Vec::new(),
                    ended: Vec::new(),
                };
                (index, step)
            }));
        }
        for (_, step) in &mut running {
            let ended = step.ends.extract_if(.., |end| *end <= elapsed);
            step.ended.extend(ended);
        }
        let total = slots(elapsed);
        let needs: Vec<Need> = running
            .iter()
            .map(|(_, step)| {
                let left = (step.started_at + DUE_AFTER).saturating_sub(elapsed);
                Need::new(demand(step.open()), hold, left, step.priority)
            })
            .collect();
        let open: Vec<&Need> = needs.iter().filter(|need| need.demand.items > 0).collect();
        let by_cost = shares(total, &open);
        let items: Vec<usize> = open.iter().map(|need| need.demand.items).collect();
        let mut busy: usize = running.iter().map(|(_, step)| step.ends.len()).sum();
        let unfinished = running.iter_mut().filter(|(_, step)| step.open() > 0);
        for (position, (_, step)) in unfinished.enumerate() {
            let share = match policy {
                Policy::ByCost => by_cost[position],
                Policy::FirstCome => {
                    let mut others = items.clone();
                    let own = others.remove(position);
                    capacity::share(total, own, &others)
                }
            };
            while step.waiting > 0 && step.ends.len() < share && busy < total {
                step.waiting -= 1;
                busy += 1;
                step.ends.push(elapsed + hold);
            }
        }
        elapsed += TICK;
    }
    let mut in_time = vec![0; trainers.len()];
    for (trainer, step) in &running {
        in_time[*trainer] += step.groups_in_time();
    }
    in_time
}

/// Guards against urgent jobs that miss their due time with all others: 228 slots suffice for 70% of what
/// four jobs with priorities 0, 1, 0, 1 need.
#[gtest]
fn the_urgent_jobs_are_in_time_when_slots_suffice_for_some() {
    let trainers = [(0, 48), (1, 64), (0, 86), (1, 128)];
    let hold = Duration::from_secs(5);
    let replay = |policy| replay(policy, &trainers, (1, DUE_AFTER), hold, |_| 228);
    expect_that!(replay(Policy::FirstCome), eq(&vec![12, 15, 15, 15]));
    expect_that!(replay(Policy::ByCost), eq(&vec![12, 11, 21, 11]));
}

/// Guards against the same when a zone's servers are lost for ten seconds, and against jobs that get less than
/// before while there is enough for all.
#[gtest]
fn the_urgent_jobs_are_in_time_while_a_zone_is_lost() {
    let trainers = [(0, 100), (1, 100), (0, 100), (1, 100)];
    let hold = Duration::from_secs(1);
    let steps = (8, Duration::from_secs(4));
    let is_lost = |at: Duration| (8..18).contains(&at.as_secs());
    let run = |policy, few: usize| {
        replay(policy, &trainers, steps, hold, |at| match is_lost(at) {
            true => few,
            false => 114,
        })
    };
    let all = vec![200; 4];
    expect_that!(run(Policy::FirstCome, 114), eq(&all));
    expect_that!(run(Policy::ByCost, 114), eq(&all));
    let first_come = run(Policy::FirstCome, 70);
    let by_cost = run(Policy::ByCost, 70);
    let context = format!("first come {first_come:?}, by cost {by_cost:?}");
    expect_that!(by_cost[0] + by_cost[2], eq(400), "{context}");
    expect_that!(first_come[0] + first_come[2], lt(400), "{context}");
    let total = |groups: &[usize]| groups.iter().sum::<usize>();
    expect_that!(total(&by_cost), ge(total(&first_come)), "{context}");
    expect_that!(by_cost[1] + by_cost[3], gt(0), "{context}");
}

/// Guards against a workspace that gets more than others of its priority by submitting more jobs.
#[gtest]
fn a_workspace_gains_nothing_by_the_number_of_its_jobs() {
    let mut needs: Vec<Need> = (0..4)
        .map(|_| of_workspace("many", need(80, 80, 1)))
        .collect();
    needs.extend(["a", "b", "c", "d"].map(|name| of_workspace(name, need(80, 80, 1))));
    expect_that!(
        shares_of(200, &needs),
        eq(&vec![10, 10, 10, 10, 40, 40, 40, 40])
    );
}

/// Guards against a division other than the usual one while there is enough for all.
#[gtest]
fn what_nobody_needs_is_divided_as_without_needs() {
    let items = [8, 10, 20, 40, 60, 60];
    let needs: Vec<Need> = items.iter().map(|items| need(*items, 1, 0)).collect();
    expect_that!(shares_of(78, &needs), eq(&vec![8, 10, 15, 15, 15, 15]));
    let mut needs = needs;
    needs[4].slots = 25;
    expect_that!(shares_of(78, &needs), eq(&vec![8, 10, 11, 11, 25, 11]));
}

/// Guards against a need that leaves the last items without time, and against one beyond the items of a job.
#[gtest]
fn the_need_follows_the_time_that_is_left() {
    let hold = Duration::from_secs(1);
    let slots = |milliseconds| {
        let left = Duration::from_millis(milliseconds);
        Need::new(demand(120), hold, left, 0).slots
    };
    expect_that!(slots(7_500), eq(18));
    expect_that!(slots(2_900), eq(60));
    expect_that!(slots(900), eq(120));
    expect_that!(slots(0), eq(120));
    let mut mean = Hold::default();
    expect_that!(mean.mean(), eq(hold));
    for _ in 0..100 {
        mean.record(Duration::from_secs(3));
    }
    expect_that!(mean.mean().as_secs_f64(), near(3.0, 0.01));
}

/// Guards against nodes of an earlier build whose jobs would count for nothing.
#[gtest]
fn jobs_of_nodes_that_report_no_need_count_with_an_equal_share() {
    let now = Instant::now();
    let mut board = Board::default();
    let old = capacity::Report {
        demands: vec![demand(50)],
        loads: Vec::new(),
    };
    board.record(&"old".into(), Incarnation(1), old, now);
    let new = Report {
        needs: vec![need(50, 30, 1)],
        loads: Vec::new(),
    };
    board.record_needs(&"new".into(), Incarnation(1), new, now);
    let needs = board.needs(|demand| Need::of_unknown(demand.clone(), 60, 3));
    let slots: Vec<usize> = needs.iter().map(|need| need.slots).collect();
    expect_that!(slots, unordered_elements_are![eq(&20), eq(&30)]);
    expect_that!(board.demands().count(), eq(2));
}

/// Guards against items that servers run before callers' requests, which have priority 5, or that a job of
/// lower priority submitted at the same time precedes.
#[gtest]
fn items_follow_callers_and_more_urgent_jobs() {
    expect_that!(item_priority(0, 0), eq(6));
    expect_that!(item_priority(0, 0), lt(item_priority(1, 0)));
    expect_that!(item_priority(0, 1), gt(item_priority(0, 0)));
    expect_that!(item_priority(9, 200), eq(9));
}

fn any_need() -> impl Strategy<Value = Need> {
    let workspace = prop_oneof![Just(None), Just(Some("a")), Just(Some("b"))];
    (1_usize..200, 1_usize..250, 0_u8..3, workspace).prop_map(
        |(items, slots, priority, workspace)| Need {
            workspace: workspace.map(Into::into),
            ..need(items, slots, priority)
        },
    )
}

/// Returns a quarter of each job's equal share, at least one slot: workspaces get equal shares, and so do the
/// jobs of each.
fn quarters(slots: usize, needs: &[Need]) -> Vec<usize> {
    let siblings = |need: &Need| match &need.workspace {
        None => 1,
        name => needs
            .iter()
            .filter(|other| other.workspace == *name)
            .count(),
    };
    let parts = needs.iter().map(|need| 1.0 / siblings(need) as f64);
    let owners = parts.sum::<f64>().round() as usize;
    let quarter = |need: &Need| (slots / owners / siblings(need) / 4).max(1);
    needs.iter().map(quarter).collect()
}

proptest! {
    /// Guards against more slots than there are, against a job that stops, and against one that gets more than
    /// its floor while a more urgent one lacks slots.
    #[test]
    fn shares_keep_to_the_slots_the_floors_and_the_priorities(
        slots in 0_usize..400,
        needs in vec(any_need(), 1..20),
    ) {
        let shares = shares_of(slots, &needs);
        prop_assert!(shares.iter().sum::<usize>() <= slots.max(needs.len()));
        let believed = |need: &Need| need.slots.min(need.demand.items);
        let total: usize = needs.iter().map(believed).sum();
        let floors = quarters(slots, &needs);
        let have_room = floors.iter().sum::<usize>() <= slots;
        for ((need, share), floor) in needs.iter().zip(&shares).zip(&floors) {
            prop_assert!(*share >= 1 && *share <= need.demand.items);
            if total <= slots {
                prop_assert!(*share >= believed(need));
                continue;
            }
            prop_assert!(*share <= believed(need));
            prop_assert!(!have_room || *share >= (*floor).min(believed(need)));
            let lacks = *share < believed(need);
            for ((other, got), floor) in needs.iter().zip(&shares).zip(&floors) {
                prop_assert!(!(lacks && other.priority > need.priority) || got <= floor);
            }
        }
    }

    /// Guards against a job that gets fewer slots because it needs more.
    #[test]
    fn shares_grow_with_the_need(slots in 1_usize..400, needs in vec(any_need(), 1..20)) {
        let before = shares_of(slots, &needs)[0];
        let mut more = needs;
        more[0].slots += 1;
        prop_assert!(shares_of(slots, &more)[0] >= before);
    }

    /// Guards against scorings and repeats without a bound, whatever order of events a service in need causes.
    #[test]
    fn the_governor_bounds_scorings_and_repeats(
        outcomes in vec((any::<bool>(), 0.0..1.0_f64), 50..400),
    ) {
        let mut now = Instant::now();
        let mut governor = Governor::new(now);
        let (mut first, mut repeats, mut ran) = (0_u32, 0_u32, 0_u32);
        for (has_run, random) in outcomes {
            now += Duration::from_millis(5);
            let room = governor.scoring_room(now);
            let admission = governor.admit_scoring(first > 20, random, now);
            let is_repeat = first > 20;
            match admission {
                Admission::Deferred(delay) => prop_assert!(delay >= Duration::from_millis(20)),
                Admission::Granted => {
                    prop_assert!(room > 0);
                    match is_repeat {
                        true => repeats += 1,
                        false => first += 1,
                    }
                    let end = match has_run {
                        true => End::Responded(Duration::from_millis(20)),
                        false => End::Rejected,
                    };
                    ran += u32::from(has_run);
                    governor.finish(Source::Scoring, is_repeat, end, random, now);
                }
            }
        }
        let bound = 30.0 + 0.1 * f64::from(first) + 2.0 + f64::from(ran) + 20.0;
        prop_assert!(f64::from(repeats) <= bound, "{repeats} of {bound}");
    }
}

fn shortage(requested: [f64; 3], refused: f64) -> Shortage {
    Shortage {
        requested,
        refused,
        period: Duration::from_secs(2),
        service_time: Duration::from_millis(30),
    }
}

fn request(priority: u8) -> Request {
    Request {
        priority,
        target_latency: Duration::from_millis(150),
        timeout: Duration::from_secs(1),
    }
}

/// Guards against urgent requests that are given up as soon as others, against a retry that can't be in time,
/// and against a change where the settings name no policy.
#[gtest]
fn urgent_requests_are_retried_for_longer() {
    let shortage = shortage([10.0; 3], 10.0);
    let retry_for = |priority| {
        let patience = request(priority).patience(Policy::ByCost, &shortage, 0.5);
        patience.expect("there should be a bound").retry_for
    };
    expect_that!(retry_for(0), eq(Duration::from_millis(120)));
    expect_that!(retry_for(1), eq(Duration::from_millis(84)));
    expect_that!(retry_for(2), eq(Duration::from_millis(48)));
    expect_that!(retry_for(200), eq(retry_for(2)));
    let first_come = Policy::FirstCome;
    expect_that!(request(0).patience(first_come, &shortage, 0.5), none());
    expect_that!(request(2).refusal(first_come, &shortage, 0.0), none());
}

/// Guards against requests that wait for a service which turns most of them away, and against urgent ones that
/// are turned away with the others.
#[gtest]
fn the_least_urgent_requests_are_turned_away_at_once() {
    let refused = |priority, shortage: Shortage| {
        let draw = |step: u32| {
            let random = f64::from(step) / 100.0;
            request(priority).refusal(Policy::ByCost, &shortage, random)
        };
        (0..100).filter_map(draw).count()
    };
    expect_that!(refused(2, shortage([50.0; 3], 0.0)), eq(0));
    // A node that has just started has sent nothing.
    expect_that!(refused(2, shortage([0.0; 3], 0.0)), eq(0));
    // Half of the requests are turned away: the service accepts 75.
    let half = shortage([50.0; 3], 75.0);
    expect_that!(refused(0, half), eq(0));
    expect_that!(refused(1, half), all!(ge(5), le(20)));
    expect_that!(refused(2, half), all!(ge(70), le(90)));
    expect_that!(
        refused(0, shortage([150.0, 0.0, 0.0], 75.0)),
        all!(ge(30), le(45))
    );
    // They come back when the service has run those that were turned away before them.
    let delay = |turned_away| {
        let shortage = shortage([60.0; 3], turned_away);
        request(2).refusal(Policy::ByCost, &shortage, 0.0)
    };
    expect_that!(delay(90.0), some(eq(Duration::from_millis(1500))));
    expect_that!(delay(170.0), some(eq(Duration::from_secs(2))));
}

/// Guards against a service that rejects nothing and is bounded, and against a bound that stays.
#[gtest]
fn scorings_are_bounded_only_while_servers_reject() {
    let mut now = Instant::now();
    let mut governor = Governor::new(now);
    let reject = |governor: &mut Governor, now| {
        governor.admit_scoring(false, 0.5, now);
        governor.finish(Source::Scoring, false, End::Rejected, 0.5, now);
    };
    for step in 0..100 {
        now += Duration::from_millis(20);
        match step % 50 {
            // Full servers reject single requests on any day.
            0 => reject(&mut governor, now),
            _ => {
                governor.admit_scoring(false, 0.5, now);
                let end = End::Responded(Duration::from_millis(20));
                governor.finish(Source::Scoring, false, end, 0.5, now);
            }
        }
        expect_that!(governor.scoring_room(now), eq(usize::MAX));
    }
    for _ in 0..50 {
        now += Duration::from_millis(20);
        reject(&mut governor, now);
    }
    expect_that!(governor.scoring_room(now), le(1));
    expect_true!(governor.is_bounded());
    now += Duration::from_secs(6);
    governor.shortage(now);
    expect_that!(governor.scoring_room(now), eq(usize::MAX));
}
