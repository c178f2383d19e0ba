//! Single transitions of the table of members.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_membership::{
    datagram::{Age, Frame, Update},
    table::{Action, Config, Event, ListedHost, Table},
};
use shallotroute_types::{
    member::{Member, State},
    name::Name,
    node::Incarnation,
    revision::Revision,
};

fn member(index: u16, incarnation: u64) -> Member {
    Member {
        id: Name::new(format!("n{index}")),
        region: Name::new("r"),
        zone: Name::new("z"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000 + index)),
        incarnation: Incarnation(incarnation),
        state: State::Alive,
        known: Revision(0),
        in_force: Revision(0),
    }
}

fn table(now: Instant) -> Table {
    let config = Config {
        local: member(1, 1),
        seeds: vec![member(2, 1).address],
        seed: 1,
    };
    Table::new(config, now)
}

fn frame(sender: Member, sequence: u64, updates: Vec<Update>) -> Event {
    Event::Received(Box::new(Frame {
        sender,
        sequence,
        confirmation_age_ms: 0,
        load: 0,
        updates,
        participant_hash: 0,
        key_salt: 0,
        range_start: 0,
        is_full_range: false,
        ages: Vec::new(),
    }))
}

fn state(table: &Table, id: &str) -> Option<State> {
    table.view().get(id).map(|member| member.state)
}

/// Ticks every 50 ms for the given duration and returns the instant at its end.
fn run(table: &mut Table, start: Instant, duration: Duration) -> Instant {
    let mut elapsed = Duration::ZERO;
    while elapsed < duration {
        elapsed += Duration::from_millis(50);
        table.handle(Event::Tick, start + elapsed);
    }
    start + duration
}

fn sent_frames(actions: &[Action]) -> Vec<(SocketAddr, Frame)> {
    let mut all = Vec::new();
    for action in actions {
        if let Action::Send { to, frame } = action {
            all.extend(to.iter().map(|to| (*to, Frame::clone(frame))));
        }
    }
    all
}

/// Guards against a node that does not contact its seeds and so never finds the fleet.
#[gtest]
fn seeds_are_probed_until_a_member_is_known() {
    let start = Instant::now();
    let mut table = table(start);
    let first = sent_frames(&table.handle(Event::Tick, start));
    expect_that!(
        first.iter().map(|(to, _)| *to).collect::<Vec<_>>(),
        contains(eq(&member(2, 1).address))
    );
    table.handle(frame(member(2, 1), 1, Vec::new()), start);
    expect_that!(state(&table, "n2"), some(eq(State::Alive)));
}

/// Guards against a silent member that is suspected or declared dead late or never.
#[gtest]
fn silence_leads_to_suspicion_and_death() {
    let start = Instant::now();
    let mut table = table(start);
    table.handle(frame(member(2, 1), 1, Vec::new()), start);
    let at = run(&mut table, start, Duration::from_millis(950));
    expect_that!(state(&table, "n2"), some(eq(State::Alive)));
    let at = run(&mut table, at, Duration::from_millis(50));
    expect_that!(state(&table, "n2"), some(eq(State::Suspect)));
    run(&mut table, at, Duration::from_millis(2_000));
    expect_that!(state(&table, "n2"), some(eq(State::Dead)));
}

/// Guards against a dead member that counts as alive again without a higher incarnation, and against
/// one that is never notified of its death and so does not raise its incarnation.
#[gtest]
fn death_ends_only_with_a_higher_incarnation() {
    let start = Instant::now();
    let mut table = table(start);
    table.handle(frame(member(2, 1), 1, Vec::new()), start);
    let at = run(&mut table, start, Duration::from_secs(4));
    let responses = sent_frames(&table.handle(frame(member(2, 1), 2, Vec::new()), at));
    expect_that!(state(&table, "n2"), some(eq(State::Dead)));
    let was_notified = responses.iter().any(|(to, frame)| {
        *to == member(2, 1).address
            && frame
                .updates
                .iter()
                .any(|update| update.member.id.as_str() == "n2")
    });
    expect_true!(was_notified);
    table.handle(frame(member(2, 2), 3, Vec::new()), at);
    expect_that!(state(&table, "n2"), some(eq(State::Alive)));
}

/// Guards against a node that does not refute a suspicion of itself.
#[gtest]
fn suspicion_of_the_local_node_raises_its_incarnation() {
    let start = Instant::now();
    let mut table = table(start);
    let mut suspect = member(1, 1);
    suspect.state = State::Suspect;
    let update = Update {
        member: suspect,
        age: Age::UNKNOWN,
    };
    table.handle(frame(member(2, 1), 1, vec![update]), start);
    expect_that!(table.incarnation(), eq(Incarnation(2)));
}

/// Guards against accepting the same sequence number a second time, as in a replayed datagram.
#[gtest]
fn replayed_datagram_is_ignored() {
    let start = Instant::now();
    let mut table = table(start);
    table.handle(frame(member(2, 1), 5, Vec::new()), start);
    let mut later = member(2, 1);
    later.known = Revision(9);
    let actions = table.handle(frame(later, 5, Vec::new()), start);
    expect_true!(matches!(actions.as_slice(), [Action::Replayed]));
    expect_that!(table.view().get("n2").unwrap().known, eq(Revision(0)));
}

/// Guards against assigning roles to a node that the host list shows as leaving.
#[gtest]
fn listed_leaving_node_takes_no_roles() {
    let start = Instant::now();
    let mut table = table(start);
    table.handle(frame(member(2, 1), 1, Vec::new()), start);
    let listed = |index: u16, leaving| ListedHost {
        id: member(index, 1).id,
        leaving,
    };
    table.handle(
        Event::HostsListed(vec![listed(1, false), listed(2, true)]),
        start,
    );
    expect_that!(state(&table, "n2"), some(eq(State::Leaving)));
    expect_that!(table.view().live().count(), eq(1));
    expect_true!(table.view().majority);
}

/// Guards against an isolated node that still reports a majority, and against a node that suspects all
/// others after it was paused itself.
#[gtest]
fn majority_ends_after_six_seconds_and_a_pause_does_not_count_as_silence() {
    let start = Instant::now();
    let mut table = table(start);
    table.handle(frame(member(2, 1), 1, Vec::new()), start);
    table.handle(frame(member(3, 1), 1, Vec::new()), start);
    expect_true!(table.view().majority);
    let at = start + Duration::from_millis(6_100);
    table.handle(Event::Tick, at);
    expect_false!(table.view().majority);
    expect_that!(state(&table, "n2"), some(eq(State::Alive)));
}

/// Guards against a majority that ends when its members are declared dead, after 3 s, instead of after
/// 6 s.
#[gtest]
fn majority_lasts_six_seconds_after_the_last_sign_of_life() {
    let start = Instant::now();
    let mut table = table(start);
    table.handle(frame(member(2, 1), 1, Vec::new()), start);
    table.handle(frame(member(3, 1), 1, Vec::new()), start);
    let at = run(&mut table, start, Duration::from_secs(6));
    expect_that!(state(&table, "n2"), some(eq(State::Dead)));
    expect_true!(table.view().majority);
    run(&mut table, at, Duration::from_millis(50));
    expect_false!(table.view().majority);
}

/// Guards against a dead node that stays in the view for ever, and against one that is removed too early
/// although the host list contains it.
#[gtest]
fn dead_member_is_removed_when_unlisted_or_silent_for_long() {
    let start = Instant::now();
    let mut table = table(start);
    table.handle(frame(member(2, 1), 1, Vec::new()), start);
    table.handle(frame(member(3, 1), 1, Vec::new()), start);
    let listed = |index: u16| ListedHost {
        id: member(index, 1).id,
        leaving: false,
    };
    table.handle(Event::HostsListed(vec![listed(1), listed(2)]), start);
    let at = run(&mut table, start, Duration::from_secs(30));
    expect_that!(state(&table, "n2"), some(eq(State::Dead)));
    expect_that!(state(&table, "n3"), none());
    run(&mut table, at, Duration::from_secs(31));
    expect_that!(state(&table, "n2"), none());
}

/// Guards against an isolated node without a host list that removes the others and then counts as a
/// majority alone.
#[gtest]
fn isolated_node_does_not_become_a_majority_by_removing_members() {
    let start = Instant::now();
    let mut table = table(start);
    table.handle(frame(member(2, 1), 1, Vec::new()), start);
    table.handle(frame(member(3, 1), 1, Vec::new()), start);
    run(&mut table, start, Duration::from_secs(120));
    expect_false!(table.view().majority);
}
