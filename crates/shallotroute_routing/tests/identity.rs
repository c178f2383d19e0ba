//! Records of non-idempotent requests and the decision from their replicas.

use std::time::{Duration, Instant, SystemTime};

use googletest::prelude::*;
use shallotroute_routing::{
    identity::{
        BEGIN_TIMEOUT, Begin, Finish, Identity, MAX_RESPONSE_BYTES, RETENTION, Reply, Response,
        State, Store,
    },
    quorum::{Decision, Refusal, Round},
};
use shallotroute_types::{name::Name, outcome::Outcome};
use uuid::Uuid;

const SECOND: Duration = Duration::from_secs(1);
const VOUCHED: Reply = Reply::Stored { vouches: true };
const UNVOUCHED: Reply = Reply::Stored { vouches: false };

fn start() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30)
}

fn identity(created: SystemTime) -> Identity {
    let since = created.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let millis = u64::try_from(since.as_millis()).unwrap();
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &[7; 10]).into_uuid();
    Identity::new(&Name::from("desk"), uuid.to_string().as_bytes())
}

fn begin(identity: Identity, token: u128) -> Begin {
    Begin {
        identity,
        token: Uuid::from_u128(token),
        lifetime: SECOND,
    }
}

fn finish(identity: Identity, token: u128, outcome: Outcome, bytes: usize) -> Finish {
    let response = Response {
        status: 200,
        headers: Vec::new(),
        body: vec![7; bytes],
    };
    Finish {
        identity,
        token: Uuid::from_u128(token),
        outcome,
        response: Some(response),
    }
}

/// Guards against two callers that share a record because they use the same key.
#[test]
fn identities_are_scoped_by_caller() {
    let desk = Identity::new(&Name::from("desk"), b"order-1");
    let refill = Identity::new(&Name::from("refill"), b"order-1");
    assert_that!(desk.hash, not(eq(refill.hash)));
    assert_that!(desk.created, none());
    let created = start() + Duration::from_millis(250);
    assert_that!(identity(created).created, some(eq(created)));
}

/// Guards against a second run after the first one may have run, and against a repeated message that
/// is taken for a second request.
#[test]
fn a_record_stops_other_requests() {
    let now = start() + 10 * SECOND;
    let mut store = Store::new(start());
    let identity = identity(now);
    assert_that!(store.begin(&begin(identity, 1), now), eq(&VOUCHED));
    assert_that!(store.begin(&begin(identity, 1), now), eq(&VOUCHED));
    assert_that!(
        store.begin(&begin(identity, 2), now),
        eq(&Reply::Known(State::Begun))
    );
    let ran = finish(identity, 1, Outcome::Ran, 3);
    store.finish(ran.clone(), now);
    store.finish(finish(identity, 2, Outcome::NotRun, 0), now);
    let known = Reply::Known(State::Finished(Outcome::Ran, ran.response));
    assert_that!(store.begin(&begin(identity, 2), now), eq(&known));
}

/// Guards against a key that stays blocked after a request that did not run.
#[test]
fn a_request_that_did_not_run_frees_its_key() {
    let now = start() + 10 * SECOND;
    let mut store = Store::new(start());
    let identity = identity(now);
    store.begin(&begin(identity, 1), now);
    store.finish(finish(identity, 1, Outcome::NotRun, 0), now);
    assert_that!(store.begin(&begin(identity, 2), now), eq(&VOUCHED));
}

/// Guards against a member that vouches for what it can't know: identities from before its start,
/// beyond the retention, without a time, or from a wrong clock.
#[test]
fn vouches_only_for_what_it_would_know() {
    let mut store = Store::new(start());
    let now = start() + 10 * SECOND;
    let undated = Identity::new(&Name::from("desk"), b"order-1");
    assert_that!(store.vouches(&identity(now), now), eq(true));
    assert_that!(store.vouches(&identity(start() - SECOND), now), eq(false));
    assert_that!(store.vouches(&identity(start() + SECOND), now), eq(false));
    assert_that!(store.vouches(&identity(now + 10 * SECOND), now), eq(false));
    assert_that!(store.vouches(&undated, now), eq(false));
    let later = start() + RETENTION + 10 * SECOND;
    assert_that!(store.vouches(&identity(now - SECOND), later), eq(false));
    assert_that!(store.vouches(&undated, later), eq(true));
    store.lose(later);
    assert_that!(store.vouches(&undated, later), eq(false));
    assert_that!(store.vouches(&identity(later - SECOND), later), eq(false));
}

/// Guards against a hint to come back at a time when the request is refused again.
#[test]
fn says_when_it_will_vouch() {
    let store = Store::new(start());
    let now = start() + 10 * SECOND;
    let undated = Identity::new(&Name::from("desk"), b"order-1");
    let wait = store.vouches_in(&undated, now).expect("it vouches later");
    assert_that!(store.vouches(&undated, now + wait - SECOND), eq(false));
    assert_that!(store.vouches(&undated, now + wait), eq(true));
    assert_that!(store.vouches_in(&identity(start() - SECOND), now), none());
}

/// Guards against a restarted member that forgets what others know, and against vouching after more
/// losses than a record has spare copies.
#[test]
fn fetches_records_after_a_start() {
    let now = start() + 100 * SECOND;
    let identity = identity(start() + 50 * SECOND);
    let mut other = Store::new(start());
    other.begin(&begin(identity, 1), now);
    let mut restarted = Store::new(now - 5 * SECOND);
    restarted.merge(
        vec![other.export(), Store::new(start()).export()],
        0,
        |_| true,
        now,
    );
    assert_that!(
        restarted.begin(&begin(identity, 2), now),
        eq(&Reply::Known(State::Begun))
    );
    assert_that!(restarted.vouch_from(), eq(start()));
    let mut unlucky = Store::new(now - 5 * SECOND);
    unlucky.merge(vec![other.export()], 1, |_| true, now);
    assert_that!(unlucky.vouch_from(), eq(now - 5 * SECOND));
    unlucky.merge(vec![other.export()], 0, |_| true, now);
    assert_that!(unlucky.vouch_from(), eq(now - 5 * SECOND));
    other.merge(vec![unlucky.export()], 2, |_| true, now);
    assert_that!(other.vouch_from(), eq(now));
}

/// Guards against memory that grows without a bound, and against vouching for dropped records.
#[test]
fn memory_is_bounded() {
    let now = start() + 10 * SECOND;
    let mut store = Store::new(start());
    for number in 0..70_000_u128 {
        let mut identity = identity(now);
        identity.hash[..16].copy_from_slice(&number.to_le_bytes());
        store.begin(&begin(identity, number), now);
        let size = if number < 1_000 {
            MAX_RESPONSE_BYTES
        } else {
            0
        };
        store.finish(finish(identity, number, Outcome::Ran, size), now);
    }
    assert_that!(store.len(), le(65_536));
    assert_that!(store.vouches(&identity(now), now), eq(false));
    let later = now + RETENTION + 2 * SECOND;
    store.begin(&begin(identity(later), 1), later);
    assert_that!(store.len(), eq(1));
}

fn decide(replies: &[Reply]) -> Option<Decision> {
    let now = Instant::now();
    let mut round = Round::new(3, now);
    for (index, reply) in replies.iter().enumerate() {
        round.reply(index, Some(reply.clone()));
    }
    round.decide(now)
}

/// Guards against a send with too few copies, or with two members that may have lost the record.
#[test]
fn sends_only_with_copies_and_vouching_members() {
    let refused = Some(Decision::Refuse(Refusal::Unvouched));
    assert_that!(decide(&[VOUCHED, VOUCHED]), eq(&Some(Decision::Send)));
    assert_that!(decide(&[VOUCHED]), none());
    assert_that!(decide(&[UNVOUCHED, VOUCHED]), none());
    assert_that!(decide(&[UNVOUCHED, VOUCHED, UNVOUCHED]), eq(&refused));
    let known = Reply::Known(State::Begun);
    assert_that!(decide(&[VOUCHED, known.clone()]), none());
    let unknown = Some(Decision::Refuse(Refusal::Unknown));
    assert_that!(decide(&[VOUCHED, known, VOUCHED]), eq(&unknown));
}

/// Guards against a send after a pause in which replicas may have restarted and fetched.
#[test]
fn refuses_copies_that_came_late() {
    let started = Instant::now();
    let mut round = Round::new(3, started);
    (0..3).for_each(|index| round.reply(index, Some(VOUCHED)));
    let decision = round.decide(started + BEGIN_TIMEOUT);
    assert_that!(decision, some(eq(&Decision::Refuse(Refusal::Unvouched))));
}

/// Guards against a restart of a replica between two replies that hides that its copy is gone.
#[test]
fn of_two_replies_the_weaker_one_counts() {
    let now = Instant::now();
    let mut round = Round::new(3, now);
    round.reply(0, Some(VOUCHED));
    round.reply(0, Some(UNVOUCHED));
    round.reply(1, Some(VOUCHED));
    assert_that!(round.decide(now), none());
}

/// Guards against a caller that gets no response although one member has it.
#[test]
fn the_most_informed_member_decides() {
    let response = Response {
        status: 201,
        headers: Vec::new(),
        body: b"box 7".to_vec(),
    };
    let ran = Reply::Known(State::Finished(Outcome::Ran, Some(response.clone())));
    let bare = Reply::Known(State::Finished(Outcome::Ran, None));
    let begun = Reply::Known(State::Begun);
    let decision = decide(&[begun, ran, bare.clone()]);
    assert_that!(decision, eq(&Some(Decision::Replay(response))));
    let decision = decide(&[bare, VOUCHED, VOUCHED]);
    assert_that!(decision, eq(&Some(Decision::Refuse(Refusal::Ran))));
}
