//! The report of a run, from what callers and trainers got and what the stand-ins recorded.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde_json::{Map, Value, json};
use shallotroute_standin::{
    caller::Failure,
    trainer::{Delivery, Trainer},
    truth::Truth,
};
use shallotroute_types::fence::Fence;

use crate::{
    fault::Outage,
    load::{Kind, Sent},
    observer::{self, Observer, Usage},
    policy::Policy,
    scenario::Scenario,
    world::World,
};

/// All that a report is made of.
pub(crate) struct Evidence<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
    pub(crate) world: &'a World,
    pub(crate) sent: Vec<Sent>,
    pub(crate) observer: &'a Observer,
    pub(crate) outages: Vec<Outage>,
    /// Before and after the window without load.
    pub(crate) idle: Usage,
    pub(crate) before: Usage,
    /// At the end of the load.
    pub(crate) after: Usage,
}

/// Makes the report.
pub(crate) fn make(evidence: &Evidence<'_>) -> Value {
    let truth = Truth::new(evidence.world.engines());
    let mut report = Map::new();
    report.insert("scenario".to_owned(), json!(evidence.scenario.name));
    report.insert("policy".to_owned(), json!(evidence.policy.name()));
    report.insert("seed".to_owned(), json!(evidence.seed));
    for part in [
        requests(evidence, &truth),
        samples(evidence, &truth),
        by_trainer(evidence, &truth),
        configuration(evidence),
        engines(evidence),
        control(evidence),
    ] {
        if let Value::Object(part) = part {
            report.extend(part);
        }
    }
    Value::Object(report)
}

fn requests(evidence: &Evidence<'_>, truth: &Truth) -> Value {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for desk in &evidence.world.desks {
        for (identity, count) in desk.runs_by_identity() {
            *runs.entry(identity).or_default() += count;
        }
    }
    let ran = |sent: &Sent| match sent.kind {
        Kind::Order => runs.contains_key(&sent.identity),
        _ => truth.ran(&sent.identity),
    };
    let sent = &evidence.sent;
    let cut = sent.iter().filter(|sent| is_cut(sent, truth)).count();
    let contradicted = sent
        .iter()
        .filter(|sent| sent.is_not_run() && ran(sent))
        .count();
    let repeated: u64 = runs.values().map(|count| count - 1).sum();
    let unanswered = sent
        .iter()
        .filter(|sent| matches!(sent.last().result, Err(Failure::Lost)))
        .count();
    json!({
        "requests": sent.len(),
        "requests_failed": failures(sent),
        "requests_unanswered": unanswered,
        "answers_cut": cut,
        "not_run_but_ran": contradicted,
        "non_idempotent_repeated": repeated,
        "quote_latency_ms": latencies(sent),
    })
}

/// Tells whether an answer that the caller took as whole is not.
fn is_cut(sent: &Sent, truth: &Truth) -> bool {
    match (&sent.last().result, sent.kind) {
        (Err(Failure::Cut), _) => true,
        (Err(_), _) => false,
        (Ok(content), Kind::Order) => !content.text.starts_with("/orders/"),
        (Ok(content), _) => truth.check(&sent.identity, &content.text).is_err(),
    }
}

fn failures(sent: &[Sent]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for failure in sent
        .iter()
        .filter_map(|sent| sent.last().result.as_ref().err())
    {
        let name = match failure {
            Failure::Refused(status, refusal) if refusal.code.is_empty() => {
                format!("status_{}", status.as_u16())
            }
            Failure::Refused(_, refusal) => refusal.code.clone(),
            Failure::Broken(refusal) => format!("broken_{}", refusal.code),
            Failure::Unreachable => "unreachable".to_owned(),
            Failure::Lost => "lost".to_owned(),
            Failure::Cut => "cut".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn latencies(sent: &[Sent]) -> Value {
    let mut by_class = Map::new();
    for kind in [Kind::Quote, Kind::SharedQuote, Kind::Batch, Kind::Order] {
        let whole = sent
            .iter()
            .filter(|sent| sent.kind == kind && sent.last().result.is_ok());
        let values = whole.map(|sent| sent.last().latency);
        by_class.insert(kind.name().to_owned(), quantiles(values, 1e3));
    }
    Value::Object(by_class)
}

fn samples(evidence: &Evidence<'_>, truth: &Truth) -> Value {
    let mut delivered = 0;
    let mut duplicated = 0;
    let mut lost = 0;
    let mut outstanding = 0;
    let mut ended_early = 0;
    let mut wrong = 0;
    let mut beyond = 0;
    for (trainer, plan) in evidence
        .world
        .trainers
        .iter()
        .zip(&evidence.scenario.trainers)
    {
        let record = trainer.record();
        delivered += record.deliveries.len();
        duplicated += record.duplicates;
        lost += record.lost;
        outstanding += record.outstanding();
        ended_early += record.ended_early;
        for delivery in &record.deliveries {
            wrong += u64::from(!truth.provenance_is_right(delivery));
            let staleness = truth.staleness(delivery).unwrap_or_default();
            beyond += u64::from(staleness > plan.staleness_bound);
        }
    }
    let steps = evidence.world.trainers.iter().flat_map(|trainer| {
        let steps = trainer.record().steps;
        steps
            .into_values()
            .filter_map(|step| Some(step.whole_at? - step.submitted?))
    });
    json!({
        "samples_delivered": delivered,
        "samples_duplicated": duplicated,
        "samples_lost": lost,
        "samples_outstanding": outstanding,
        "steps_ended_early": ended_early,
        "samples_beyond_bound": beyond,
        "provenance_wrong": wrong,
        "step_whole_s": quantiles(steps, 1.0),
    })
}

fn by_trainer(evidence: &Evidence<'_>, truth: &Truth) -> Value {
    let mut idle = Map::new();
    let mut staleness = [Map::new(), Map::new(), Map::new()];
    let mut steps = Map::new();
    let mut failed = Map::new();
    for trainer in &evidence.world.trainers {
        let name = trainer.settings().name.to_string();
        let record = trainer.record();
        idle.insert(name.clone(), json!(round(record.idle_fraction(), 4)));
        let whole = record.steps.values().filter(|step| step.whole_at.is_some());
        steps.insert(name.clone(), json!(whole.count()));
        failed.insert(name.clone(), json!(record.failures.len()));
        let found = staleness_of(&record.deliveries, truth);
        for (map, value) in staleness.iter_mut().zip(found) {
            map.insert(name.clone(), json!(value));
        }
    }
    let [p50, p99, max] = staleness;
    json!({
        "trainer_idle_fraction": idle,
        "trainer_steps_whole": steps,
        "trainer_calls_failed": failed,
        "staleness_p50": p50,
        "staleness_p99": p99,
        "staleness_max": max,
        "takeover_s": takeover(evidence),
    })
}

fn staleness_of(deliveries: &[Delivery], truth: &Truth) -> [u64; 3] {
    let mut all: Vec<u64> = deliveries
        .iter()
        .filter_map(|delivery| truth.staleness(delivery))
        .collect();
    all.sort_unstable();
    let at = |share: f64| {
        let index = (share * all.len() as f64).ceil() as usize;
        all.get(index.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    };
    [at(0.5), at(0.99), at(1.0)]
}

/// Returns the longest time from the loss of a node to the next delivered sample, in seconds.
fn takeover(evidence: &Evidence<'_>) -> Option<f64> {
    let next = |outage: &Outage| {
        let after = |trainer: &Trainer| {
            let deliveries = trainer.record().deliveries;
            let times = deliveries.into_iter().map(|delivery| delivery.at);
            times.filter(|at| *at > outage.from).min()
        };
        evidence.world.trainers.iter().filter_map(after).min()
    };
    evidence
        .outages
        .iter()
        .filter_map(|outage| Some(next(outage)? - outage.from))
        .map(|gap| round(gap.as_secs_f64(), 3))
        .max_by(f64::total_cmp)
}

fn configuration(evidence: &Evidence<'_>) -> Value {
    let observer = evidence.observer;
    let nodes = evidence.world.fleet.nodes.len();
    let all = observer.all();
    let published: Vec<_> = all.iter().filter(|one| one.revision.is_some()).collect();
    let accepted = observer::accepted(evidence.world);
    let in_force =
        |revision: u64, from| observer.in_force_after(revision, from, &evidence.outages, nodes);
    let called: Vec<Option<Duration>> = published
        .iter()
        .map(|one| in_force(one.revision?, one.started))
        .collect();
    let changes = accepted.range(evidence.world.first_revision + 1..);
    let times: Vec<Option<Duration>> = changes
        .map(|(revision, at)| in_force(*revision, *at))
        .collect();
    let lost = published
        .iter()
        .filter(|one| {
            one.revision
                .is_some_and(|revision| !accepted.contains_key(&revision))
        })
        .count();
    let mut states: BTreeMap<&str, u64> = BTreeMap::new();
    for one in &all {
        *states.entry(&one.state).or_default() += 1;
    }
    let mut revisions: Vec<_> = published.iter().filter_map(|one| one.revision).collect();
    let count = revisions.len();
    revisions.sort_unstable();
    revisions.dedup();
    json!({
        "config_publications": states,
        "config_in_force_s": quantiles(times.iter().copied().flatten(), 1.0),
        "config_in_force_after_call_s": quantiles(called.iter().copied().flatten(), 1.0),
        "config_lost": lost,
        "config_not_in_force": times.iter().filter(|time| time.is_none()).count(),
        "config_reverted": observer.reverted(),
        "config_revision_twice": count - revisions.len(),
    })
}

fn engines(evidence: &Evidence<'_>) -> Value {
    let world = evidence.world;
    let leaving = world
        .leaving
        .lock()
        .expect("no holder of the lock panics")
        .clone();
    let mut after = Map::new();
    let mut longest: f64 = 0.0;
    for server in leaving {
        let engine = world
            .engines()
            .find(|engine| engine.name() == server.server);
        let last = match engine {
            Some(engine) => engine.last_arrival(),
            None => {
                let desk = world.desks.iter().find(|desk| desk.name() == server.server);
                desk.and_then(|desk| desk.last_arrival())
            }
        };
        let late = last.map_or(0.0, |last| {
            last.saturating_duration_since(server.since).as_secs_f64()
        });
        longest = longest.max(late);
        after.insert(server.server, json!(round(late, 3)));
    }
    json!({
        "sent_to_leaving_after_s": round(longest, 3),
        "sent_to_leaving_after_s_by_server": after,
        "stale_commands_done": stale_commands(world),
        "swaps_done": world.engines().map(|engine| engine.commands().len()).sum::<usize>(),
    })
}

/// Counts commands that an engine carried out after one with a higher fencing number arrived.
fn stale_commands(world: &World) -> usize {
    let mut count = 0;
    for engine in world.engines() {
        let mut highest = Fence(0);
        for command in engine.commands() {
            let fenced = command.load.fence < highest;
            let done = matches!(
                command.end,
                Some((shallotroute_standin::engine::CommandResult::Done, _))
            );
            count += usize::from(fenced && done);
            highest = highest.max(command.load.fence);
        }
    }
    count
}

fn control(evidence: &Evidence<'_>) -> Value {
    let Evidence {
        idle,
        before,
        after,
        ..
    } = evidence;
    let nodes = evidence.world.fleet.nodes.len() as f64;
    let window = (after.at - before.at).as_secs_f64();
    let idle_window = (before.at - idle.at).as_secs_f64();
    let rate = |later: u64, earlier: u64| round((later - earlier) as f64 / window, 2);
    let (calls, earlier) = (&after.calls, &before.calls);
    let bytes = (before.heartbeat_bytes - idle.heartbeat_bytes) / idle_window / nodes;
    let cpu = (before.cpu.saturating_sub(idle.cpu)).as_secs_f64() / idle_window / nodes;
    json!({
        "nodes": evidence.world.fleet.nodes.len(),
        "kv_calls_per_s": {
            "get": rate(calls.get, earlier.get),
            "swap": rate(calls.swap, earlier.swap),
            "watch": rate(calls.watch, earlier.watch),
            "list": rate(calls.list, earlier.list),
        },
        "control_bytes_per_s": round(bytes, 0),
        "control_cpu_fraction": round(cpu, 4),
    })
}

/// Returns the median, the 99th percentile, the maximum and the count, in units of `1 / scale` s.
pub(crate) fn quantiles(values: impl Iterator<Item = Duration>, scale: f64) -> Value {
    let mut histogram: Histogram<u64> =
        Histogram::new(3).expect("three digits are a valid precision");
    for value in values {
        histogram
            .record(u64::try_from(value.as_micros()).unwrap_or(u64::MAX))
            .expect("the histogram grows as needed");
    }
    let at = |micros: u64| round(micros as f64 * scale / 1e6, 3);
    json!({
        "p50": at(histogram.value_at_quantile(0.5)),
        "p99": at(histogram.value_at_quantile(0.99)),
        "max": at(histogram.max()),
        "count": histogram.len(),
    })
}

fn round(value: f64, digits: i32) -> f64 {
    let factor = 10_f64.powi(digits);
    (value * factor).round() / factor
}
