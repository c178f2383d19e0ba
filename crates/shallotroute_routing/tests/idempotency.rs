//! Records of non-idempotent requests, and the decision by the replies of their replicas.

use std::time::{Duration, Instant, SystemTime};

use googletest::prelude::*;
use shallotroute_routing::{
    idempotency::{
        BEGIN_TIMEOUT, Begin, Finish, Identity, MAX_RESPONSE_BYTES, RETENTION, Reply, Response,
        State, Store,
    },
    quorum::{Decision, Refusal, Round},
};
use shallotroute_types::{name::Name, outcome::Outcome};
use uuid::Uuid;

const SECOND: Duration = Duration::from_secs(1);
const AUTHORITATIVE: Reply = Reply::Stored {
    is_authoritative: true,
};
const NOT_AUTHORITATIVE: Reply = Reply::Stored {
    is_authoritative: false,
};

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

/// Guards against a second run after a request that may have run, and against a repeated message being
/// taken for a second request.
#[test]
fn a_record_prevents_a_second_run() {
    let now = start() + 10 * SECOND;
    let mut store = Store::new(start());
    let identity = identity(now);
    assert_that!(store.begin(&begin(identity, 1), now), eq(&AUTHORITATIVE));
    assert_that!(store.begin(&begin(identity, 1), now), eq(&AUTHORITATIVE));
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

/// Guards against a key that stays blocked by a request that did not run.
#[test]
fn a_request_that_did_not_run_frees_its_key() {
    let now = start() + 10 * SECOND;
    let mut store = Store::new(start());
    let identity = identity(now);
    store.begin(&begin(identity, 1), now);
    store.finish(finish(identity, 1, Outcome::NotRun, 0), now);
    assert_that!(store.begin(&begin(identity, 2), now), eq(&AUTHORITATIVE));
}

/// Guards against a member that claims to be authoritative for identities that it can't know: those from
/// before its start, beyond the retention, without a creation time, or from a wrong clock.
#[test]
fn is_authoritative_only_for_identities_that_it_would_know() {
    let mut store = Store::new(start());
    let now = start() + 10 * SECOND;
    let undated = Identity::new(&Name::from("desk"), b"order-1");
    assert_that!(store.is_authoritative_for(&identity(now), now), eq(true));
    assert_that!(
        store.is_authoritative_for(&identity(start() - SECOND), now),
        eq(false)
    );
    assert_that!(
        store.is_authoritative_for(&identity(start() + SECOND), now),
        eq(false)
    );
    assert_that!(
        store.is_authoritative_for(&identity(now + 10 * SECOND), now),
        eq(false)
    );
    assert_that!(store.is_authoritative_for(&undated, now), eq(false));
    let later = start() + RETENTION + 10 * SECOND;
    assert_that!(
        store.is_authoritative_for(&identity(now - SECOND), later),
        eq(false)
    );
    assert_that!(store.is_authoritative_for(&undated, later), eq(true));
    store.record_member_loss(later);
    assert_that!(store.is_authoritative_for(&undated, later), eq(false));
    assert_that!(
        store.is_authoritative_for(&identity(later - SECOND), later),
        eq(false)
    );
}

/// Guards against a retry delay after which the request is refused again.
#[test]
fn returns_when_it_becomes_authoritative() {
    let store = Store::new(start());
    let now = start() + 10 * SECOND;
    let undated = Identity::new(&Name::from("desk"), b"order-1");
    let wait = store
        .authoritative_in(&undated, now)
        .expect("becomes authoritative later");
    assert_that!(
        store.is_authoritative_for(&undated, now + wait - SECOND),
        eq(false)
    );
    assert_that!(store.is_authoritative_for(&undated, now + wait), eq(true));
    assert_that!(
        store.authoritative_in(&identity(start() - SECOND), now),
        none()
    );
}

/// Guards against a restarted member that misses records which others hold, and against a member that claims
/// to be authoritative after so many losses that all copies of a record may be gone.
#[test]
fn merges_records_after_a_restart() {
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
    assert_that!(restarted.authoritative_since(), eq(start()));
    let mut restarted_after_loss = Store::new(now - 5 * SECOND);
    restarted_after_loss.merge(vec![other.export()], 1, |_| true, now);
    assert_that!(
        restarted_after_loss.authoritative_since(),
        eq(now - 5 * SECOND)
    );
    restarted_after_loss.merge(vec![other.export()], 0, |_| true, now);
    assert_that!(
        restarted_after_loss.authoritative_since(),
        eq(now - 5 * SECOND)
    );
    other.merge(vec![restarted_after_loss.export()], 2, |_| true, now);
    assert_that!(other.authoritative_since(), eq(now));
}

/// Guards against memory that grows without a bound, and against a member that claims to be authoritative for
/// dropped records.
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
    assert_that!(store.is_authoritative_for(&identity(now), now), eq(false));
    let later = now + RETENTION + 2 * SECOND;
    store.begin(&begin(identity(later), 1), later);
    assert_that!(store.len(), eq(1));
}

fn decide(replies: &[Reply]) -> Option<Decision> {
    let now = Instant::now();
    let mut round = Round::new(3, now);
    for (index, reply) in replies.iter().enumerate() {
        round.record_reply(index, Some(reply.clone()));
    }
    round.decide(now)
}

/// Guards against a send with too few copies of the record, or while two members may have lost the record of
/// an earlier request.
#[test]
fn sends_only_with_enough_copies_and_authoritative_members() {
    let refused = Some(Decision::Refuse(Refusal::NoQuorum));
    assert_that!(
        decide(&[AUTHORITATIVE, AUTHORITATIVE]),
        eq(&Some(Decision::Send))
    );
    assert_that!(decide(&[AUTHORITATIVE]), none());
    assert_that!(decide(&[NOT_AUTHORITATIVE, AUTHORITATIVE]), none());
    assert_that!(
        decide(&[NOT_AUTHORITATIVE, AUTHORITATIVE, NOT_AUTHORITATIVE]),
        eq(&refused)
    );
    let known = Reply::Known(State::Begun);
    assert_that!(decide(&[AUTHORITATIVE, known.clone()]), none());
    let unknown = Some(Decision::Refuse(Refusal::Unknown));
    assert_that!(decide(&[AUTHORITATIVE, known, AUTHORITATIVE]), eq(&unknown));
}

/// Guards against a send after a pause of the coordinator in which replicas may have restarted and fetched
/// records.
#[test]
fn refuses_after_the_timeout() {
    let started = Instant::now();
    let mut round = Round::new(3, started);
    (0..3).for_each(|index| round.record_reply(index, Some(AUTHORITATIVE)));
    let decision = round.decide(started + BEGIN_TIMEOUT);
    assert_that!(decision, some(eq(&Decision::Refuse(Refusal::NoQuorum))));
}

/// Guards against a replica that lost its copy in a restart between two replies still counting as
/// authoritative.
#[test]
fn of_two_replies_the_weaker_one_counts() {
    let now = Instant::now();
    let mut round = Round::new(3, now);
    round.record_reply(0, Some(AUTHORITATIVE));
    round.record_reply(0, Some(NOT_AUTHORITATIVE));
    round.record_reply(1, Some(AUTHORITATIVE));
    assert_that!(round.decide(now), none());
}

/// Guards against a caller that gets no response although one replica has stored it.
#[test]
fn the_most_informative_reply_decides() {
    let response = Response {
        status: 201,
        headers: Vec::new(),
        body: b"box 7".to_vec(),
    };
    let ran = Reply::Known(State::Finished(Outcome::Ran, Some(response.clone())));
    let without_response = Reply::Known(State::Finished(Outcome::Ran, None));
    let begun = Reply::Known(State::Begun);
    let decision = decide(&[begun, ran, without_response.clone()]);
    assert_that!(decision, eq(&Some(Decision::Replay(response))));
    let decision = decide(&[without_response, AUTHORITATIVE, AUTHORITATIVE]);
    assert_that!(decision, eq(&Some(Decision::Refuse(Refusal::Ran))));
}
