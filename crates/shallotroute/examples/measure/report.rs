//! Builds the report of a run from what callers and trainers received and the stand-ins recorded.

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
    load::{Kind, RequestRecord},
    observer::{self, Observer, Usage},
    policy::Policy,
    scenario::Scenario,
    testbed::Testbed,
};

/// Everything that a report is built from.
pub(crate) struct Measurements<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
    pub(crate) testbed: &'a Testbed,
    /// All requests of callers.
    pub(crate) requests: Vec<RequestRecord>,
    pub(crate) observer: &'a Observer,
    pub(crate) outages: Vec<Outage>,
    /// Resource usage at the start of the idle window, in which there is no load.
    pub(crate) idle: Usage,
    /// Resource usage at the end of the idle window and start of the load.
    pub(crate) before: Usage,
    /// Resource usage at the end of the load.
    pub(crate) after: Usage,
}

/// Returns the report, a JSON object.
pub(crate) fn build(measurements: &Measurements<'_>) -> Value {
    let truth = Truth::new(measurements.testbed.engines());
    let mut report = Map::new();
    report.insert("scenario".to_owned(), json!(measurements.scenario.name));
    report.insert("policy".to_owned(), json!(measurements.policy.name()));
    report.insert("seed".to_owned(), json!(measurements.seed));
    for part in [
        report_requests(measurements, &truth),
        report_samples(measurements, &truth),
        report_by_trainer(measurements, &truth),
        report_configuration(measurements),
        report_engines(measurements),
        report_control(measurements),
    ] {
        if let Value::Object(part) = part {
            report.extend(part);
        }
    }
    Value::Object(report)
}

fn report_requests(measurements: &Measurements<'_>, truth: &Truth) -> Value {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for desk in &measurements.testbed.desks {
        for (identity, count) in desk.runs_by_identity() {
            *runs.entry(identity).or_default() += count;
        }
    }
    let ran = |request: &RequestRecord| match request.kind {
        Kind::Order => runs.contains_key(&request.identity),
        _ => truth.ran(&request.identity),
    };
    let requests = &measurements.requests;
    let corrupt = requests
        .iter()
        .filter(|request| is_corrupt(request, truth))
        .count();
    let ran_despite_not_run = requests
        .iter()
        .filter(|request| request.is_not_run() && ran(request))
        .count();
    let repeated: u64 = runs.values().map(|count| count - 1).sum();
    let unanswered = requests
        .iter()
        .filter(|request| matches!(request.last().result, Err(Failure::NoResponse)))
        .count();
    json!({
        "requests": requests.len(),
        "requests_failed": failures(requests),
        "requests_unanswered": unanswered,
        "answers_cut": corrupt,
        "not_run_but_ran": ran_despite_not_run,
        "non_idempotent_repeated": repeated,
        "quote_latency_ms": latencies(requests),
    })
}

/// Returns whether a response ended without an error, but its content is incomplete or wrong.
fn is_corrupt(request: &RequestRecord, truth: &Truth) -> bool {
    match (&request.last().result, request.kind) {
        (Err(Failure::Truncated), _) => true,
        (Err(_), _) => false,
        (Ok(content), Kind::Order) => !content.text.starts_with("/orders/"),
        (Ok(content), _) => truth.check(&request.identity, &content.text).is_err(),
    }
}

/// Counts failed requests by the code of their last failure.
fn failures(requests: &[RequestRecord]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for failure in requests
        .iter()
        .filter_map(|request| request.last().result.as_ref().err())
    {
        let name = match failure {
            Failure::ErrorStatus(status, refusal) if refusal.code.is_empty() => {
                format!("status_{}", status.as_u16())
            }
            Failure::ErrorStatus(_, refusal) => refusal.code.clone(),
            Failure::StreamError(refusal) => format!("broken_{}", refusal.code),
            Failure::Unreachable => "unreachable".to_owned(),
            Failure::NoResponse => "lost".to_owned(),
            Failure::Truncated => "cut".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Returns the latencies of successful requests in milliseconds, by kind.
fn latencies(requests: &[RequestRecord]) -> Value {
    let mut by_kind = Map::new();
    for kind in [Kind::Quote, Kind::SharedQuote, Kind::Batch, Kind::Order] {
        let succeeded = requests
            .iter()
            .filter(|request| request.kind == kind && request.last().result.is_ok());
        let values = succeeded.map(|request| request.last().latency);
        by_kind.insert(kind.name().to_owned(), quantiles(values, 1e3));
    }
    Value::Object(by_kind)
}

fn report_samples(measurements: &Measurements<'_>, truth: &Truth) -> Value {
    let mut delivered = 0;
    let mut duplicated = 0;
    let mut lost = 0;
    let mut outstanding = 0;
    let mut ended_early = 0;
    let mut wrong_provenance = 0;
    let mut beyond_bound = 0;
    for (trainer, plan) in measurements
        .testbed
        .trainers
        .iter()
        .zip(&measurements.scenario.trainers)
    {
        let record = trainer.record();
        delivered += record.deliveries.len();
        duplicated += record.duplicates;
        lost += record.lost;
        outstanding += record.outstanding();
        ended_early += record.ended_early;
        for delivery in &record.deliveries {
            wrong_provenance += u64::from(!truth.is_provenance_correct(delivery));
            let staleness = truth.staleness(delivery).unwrap_or_default();
            beyond_bound += u64::from(staleness > plan.staleness_bound);
        }
    }
    let step_times = measurements.testbed.trainers.iter().flat_map(|trainer| {
        let steps = trainer.record().steps;
        steps
            .into_values()
            .filter_map(|step| Some(step.completed_at? - step.submitted?))
    });
    json!({
        "samples_delivered": delivered,
        "samples_duplicated": duplicated,
        "samples_lost": lost,
        "samples_outstanding": outstanding,
        "steps_ended_early": ended_early,
        "samples_beyond_bound": beyond_bound,
        "provenance_wrong": wrong_provenance,
        "step_whole_s": quantiles(step_times, 1.0),
    })
}

fn report_by_trainer(measurements: &Measurements<'_>, truth: &Truth) -> Value {
    let mut idle = Map::new();
    let mut staleness = [Map::new(), Map::new(), Map::new()];
    let mut steps = Map::new();
    let mut failed = Map::new();
    for trainer in &measurements.testbed.trainers {
        let name = trainer.settings().name.to_string();
        let record = trainer.record();
        idle.insert(name.clone(), json!(round(record.idle_fraction(), 4)));
        let completed = record
            .steps
            .values()
            .filter(|step| step.completed_at.is_some());
        steps.insert(name.clone(), json!(completed.count()));
        failed.insert(name.clone(), json!(record.failures.len()));
        let percentiles = staleness_percentiles(&record.deliveries, truth);
        for (map, value) in staleness.iter_mut().zip(percentiles) {
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
        "takeover_s": longest_takeover(measurements),
    })
}

/// Returns the median, the 99th percentile and the maximum of the samples' staleness, in versions.
fn staleness_percentiles(deliveries: &[Delivery], truth: &Truth) -> [u64; 3] {
    let mut sorted: Vec<u64> = deliveries
        .iter()
        .filter_map(|delivery| truth.staleness(delivery))
        .collect();
    sorted.sort_unstable();
    let at = |quantile: f64| {
        let index = (quantile * sorted.len() as f64).ceil() as usize;
        sorted
            .get(index.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    };
    [at(0.5), at(0.99), at(1.0)]
}

/// Returns the longest time from the start of an outage to the next delivered sample, in seconds,
/// or `None` if no sample was delivered after an outage.
fn longest_takeover(measurements: &Measurements<'_>) -> Option<f64> {
    let next_delivery = |outage: &Outage| {
        let first_after = |trainer: &Trainer| {
            let deliveries = trainer.record().deliveries;
            let times = deliveries.into_iter().map(|delivery| delivery.at);
            times.filter(|at| *at > outage.from).min()
        };
        measurements
            .testbed
            .trainers
            .iter()
            .filter_map(first_after)
            .min()
    };
    measurements
        .outages
        .iter()
        .filter_map(|outage| Some(next_delivery(outage)? - outage.from))
        .map(|gap| round(gap.as_secs_f64(), 3))
        .max_by(f64::total_cmp)
}

fn report_configuration(measurements: &Measurements<'_>) -> Value {
    let observer = measurements.observer;
    let nodes = measurements.testbed.cluster.nodes.len();
    let publications = observer.publications();
    let published: Vec<_> = publications
        .iter()
        .filter(|publication| publication.revision.is_some())
        .collect();
    let accepted = observer::accepted(measurements.testbed);
    let in_force =
        |revision: u64, from| observer.in_force_after(revision, from, &measurements.outages, nodes);
    let times_from_call: Vec<Option<Duration>> = published
        .iter()
        .map(|publication| in_force(publication.revision?, publication.started))
        .collect();
    let changes = accepted.range(measurements.testbed.first_revision + 1..);
    let times_from_write: Vec<Option<Duration>> = changes
        .map(|(revision, at)| in_force(*revision, *at))
        .collect();
    let lost = published
        .iter()
        .filter(|publication| {
            publication
                .revision
                .is_some_and(|revision| !accepted.contains_key(&revision))
        })
        .count();
    let mut states: BTreeMap<&str, u64> = BTreeMap::new();
    for publication in &publications {
        *states.entry(&publication.state).or_default() += 1;
    }
    let mut revisions: Vec<_> = published
        .iter()
        .filter_map(|publication| publication.revision)
        .collect();
    let count = revisions.len();
    revisions.sort_unstable();
    revisions.dedup();
    json!({
        "config_publications": states,
        "config_in_force_s": quantiles(times_from_write.iter().copied().flatten(), 1.0),
        "config_in_force_after_call_s": quantiles(times_from_call.iter().copied().flatten(), 1.0),
        "config_lost": lost,
        "config_not_in_force": times_from_write.iter().filter(|time| time.is_none()).count(),
        "config_reverted": observer.reverted(),
        "config_revision_twice": count - revisions.len(),
    })
}

fn report_engines(measurements: &Measurements<'_>) -> Value {
    let testbed = measurements.testbed;
    let leaving = testbed
        .leaving
        .lock()
        .expect("no holder of the lock panics")
        .clone();
    let mut by_server = Map::new();
    let mut longest: f64 = 0.0;
    for server in leaving {
        let engine = testbed
            .engines()
            .find(|engine| engine.name() == server.server);
        let arrival = match engine {
            Some(engine) => engine.last_arrival(),
            None => {
                let desk = testbed
                    .desks
                    .iter()
                    .find(|desk| desk.name() == server.server);
                desk.and_then(|desk| desk.last_arrival())
            }
        };
        let delay = arrival.map_or(0.0, |arrival| {
            arrival
                .saturating_duration_since(server.since)
                .as_secs_f64()
        });
        longest = longest.max(delay);
        by_server.insert(server.server, json!(round(delay, 3)));
    }
    json!({
        "sent_to_leaving_after_s": round(longest, 3),
        "sent_to_leaving_after_s_by_server": by_server,
        "stale_commands_done": stale_commands(testbed),
        "swaps_done": testbed.engines().map(|engine| engine.commands().len()).sum::<usize>(),
    })
}

/// Counts the commands that an engine executed although one with a higher fencing number had
/// arrived before.
fn stale_commands(testbed: &Testbed) -> usize {
    let mut count = 0;
    for engine in testbed.engines() {
        let mut highest_fence = Fence(0);
        for command in engine.commands() {
            let stale = command.load.fence < highest_fence;
            let done = matches!(
                command.end,
                Some((shallotroute_standin::engine::CommandResult::Done, _))
            );
            count += usize::from(stale && done);
            highest_fence = highest_fence.max(command.load.fence);
        }
    }
    count
}

/// Returns the cost of the control plane: calls of the key-value service under load, and each
/// node's heartbeat traffic and CPU time without load.
fn report_control(measurements: &Measurements<'_>) -> Value {
    let Measurements {
        idle,
        before,
        after,
        ..
    } = measurements;
    let nodes = measurements.testbed.cluster.nodes.len() as f64;
    let load_window = (after.at - before.at).as_secs_f64();
    let idle_window = (before.at - idle.at).as_secs_f64();
    let rate = |later: u64, earlier: u64| round((later - earlier) as f64 / load_window, 2);
    let (calls, earlier_calls) = (&after.calls, &before.calls);
    let bytes = (before.heartbeat_bytes - idle.heartbeat_bytes) / idle_window / nodes;
    let cpu = (before.cpu.saturating_sub(idle.cpu)).as_secs_f64() / idle_window / nodes;
    json!({
        "nodes": measurements.testbed.cluster.nodes.len(),
        "kv_calls_per_s": {
            "get": rate(calls.get, earlier_calls.get),
            "swap": rate(calls.swap, earlier_calls.swap),
            "watch": rate(calls.watch, earlier_calls.watch),
            "list": rate(calls.list, earlier_calls.list),
        },
        "control_bytes_per_s": round(bytes, 0),
        "control_cpu_fraction": round(cpu, 4),
    })
}

/// Returns the median, the 99th percentile and the maximum in units of `1 / scale` seconds, and the
/// number of values.
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
