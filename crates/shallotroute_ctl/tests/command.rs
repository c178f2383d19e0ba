//! Runs the commands against nodes on loopback.

use std::{fs, path::Path, sync::atomic::Ordering, time::Duration};

use googletest::prelude::*;
use serde_json::Value;
use shallotroute_ctl::Exit;
use support::{Cluster, OPERATOR_KEY, set_with_rate};

#[path = "../../shallotroute_control/tests/support/mod.rs"]
mod support;

/// The timeout for a revision to come into force on all nodes without faults (R9).
const IN_FORCE: Duration = Duration::from_secs(2);

/// The timeout for a revision to come into force on all nodes with faults (R9).
const IN_FORCE_WITH_FAULTS: Duration = Duration::from_secs(6);

/// The number of publications whose times until they are in force are measured.
const CHANGES: u32 = 20;

struct CommandOutput {
    exit: Exit,
    out: String,
    err: String,
}

impl CommandOutput {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("the output should be JSON")
    }
}

async fn run_command(arguments: &[&str]) -> CommandOutput {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = shallotroute_ctl::run(&arguments, &mut out, &mut err).await;
    CommandOutput {
        exit: exit.expect("memory should be writable"),
        out: String::from_utf8(out).expect("the output should be UTF-8"),
        err: String::from_utf8(err).expect("the output should be UTF-8"),
    }
}

/// Runs a command as the operator on the first node of the cluster.
async fn run_on_node(cluster: &Cluster, arguments: &[&str]) -> CommandOutput {
    let node = cluster.nodes[0].admin.to_string();
    let mut all = arguments.to_vec();
    all.extend(["--node", &node, "--key", OPERATOR_KEY]);
    run_command(&all).await
}

/// Runs a command on the first node and returns its JSON output.
async fn run_for_json(cluster: &Cluster, arguments: &[&str]) -> Value {
    run_on_node(cluster, &[arguments, &["--json"]].concat())
        .await
        .json()
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    fs::write(&path, text).expect("the folder should be writable");
    path.display().to_string()
}

/// Publishes a set whose limit has this rate, and prints JSON.
async fn publish(cluster: &Cluster, rate: u32) -> CommandOutput {
    let folder = tempfile::tempdir().expect("a folder should be possible");
    let file = write(folder.path(), "set.yaml", &set_with_rate(rate));
    run_on_node(
        cluster,
        &["publish", &file, "--reason", "a new rate", "--json"],
    )
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn published_set_comes_into_force_on_all_nodes() -> Result<()> {
    // Guards against a publication that is accepted and applied late or never.
    let cluster = Cluster::start(3).await;
    let published = publish(&cluster, 5).await;
    verify_that!(published.err, eq(""))?;
    verify_that!(published.exit, eq(Exit::Done))?;
    verify_that!(published.json()["result"]["revision"].as_u64(), some(eq(1)))?;
    let took = cluster
        .wait_until(IN_FORCE, |cluster| cluster.all_in_force(1))
        .await;
    verify_that!(took, some(anything()))?;

    let status = run_for_json(&cluster, &["status"]).await;
    verify_that!(status["accepted"].as_u64(), some(eq(1)))?;
    verify_that!(status["in_force"].as_u64(), some(eq(1)))?;
    verify_that!(status["confirmed"].as_bool(), some(eq(true)))?;
    let dump = run_for_json(&cluster, &["dump"]).await;
    verify_that!(dump["whole"].as_str(), some(eq("node")))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nine_nodes_apply_each_change_in_time() -> Result<()> {
    // Guards against slow dissemination: R9 allows 2 s without faults, and 6 s with a key-value
    // service that responds after 2 s and loses one of the five responses of a publication.
    let cluster = Cluster::start(9).await;
    let mut times = Vec::new();
    for rate in 1..=CHANGES {
        let published = publish(&cluster, rate).await;
        verify_that!(published.err, eq(""))?;
        let all = |cluster: &Cluster| cluster.all_in_force(rate.into());
        let took = cluster.wait_until(IN_FORCE, all).await;
        verify_that!(took, some(anything()))?;
        times.extend(took);
    }
    times.sort();
    let p99 = times.len() * 99 / 100;
    eprintln!(
        "in force on 9 nodes: p99 {:?} of {}",
        times.get(p99),
        times.len()
    );

    cluster.store.delay_ms.store(2_000, Ordering::Relaxed);
    cluster
        .store
        .lost_head_responses
        .store(1, Ordering::Relaxed);
    let published = publish(&cluster, CHANGES + 1).await;
    verify_that!(published.err, eq(""))?;
    let all = |cluster: &Cluster| cluster.all_in_force(u64::from(CHANGES) + 1);
    let took = cluster.wait_until(IN_FORCE_WITH_FAULTS, all).await;
    eprintln!("in force on 9 nodes with a slow store: {took:?}");
    verify_that!(took, some(anything()))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn publish_wait_distinguishes_accepted_from_in_force() -> Result<()> {
    // Guards against a success exit for a revision that is accepted but not yet in force.
    let cluster = Cluster::start(3).await;
    let folder = tempfile::tempdir()?;
    let file = write(folder.path(), "set.yaml", &set_with_rate(5));
    let publish = [
        "publish",
        &file,
        "--reason",
        "first",
        "--wait",
        "--wait-seconds",
        "1",
    ];
    // Without further heartbeats, the node does not learn which revision the others have in force.
    cluster.heartbeat();
    let output = run_on_node(&cluster, &publish).await;
    verify_that!(output.exit, eq(Exit::Refused))?;
    verify_that!(output.out, contains_substring("accepted as revision 1"))?;
    verify_that!(output.err, contains_substring("accepted, but not in force"))?;

    let file = write(folder.path(), "set.yaml", &set_with_rate(6));
    let publish = ["publish", &file, "--reason", "second", "--wait"];
    let (output, _) = tokio::join!(
        run_on_node(&cluster, &publish),
        cluster.wait_until(IN_FORCE * 2, |cluster| cluster.all_in_force(2))
    );
    verify_that!(output.err, eq(""))?;
    verify_that!(output.out, contains_substring("accepted as revision 2"))?;
    verify_that!(output.out, contains_substring("in force on 3 of 3 nodes"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn publication_succeeds_despite_a_lost_response() -> Result<()> {
    // Guards against a publisher that reports its own write as a conflict or as not published,
    // because the response to the write was lost.
    let cluster = Cluster::start(3).await;
    cluster
        .store
        .lost_head_responses
        .store(1, Ordering::Relaxed);
    let published = publish(&cluster, 5).await;
    verify_that!(published.exit, eq(Exit::Done))?;
    // The first two reads of the parent's record fail.
    cluster.store.lost_record_reads.store(2, Ordering::Relaxed);
    // The write itself is lost; it is sent again after the barrier write.
    cluster.store.lost_head_writes.store(1, Ordering::Relaxed);
    let published = publish(&cluster, 6).await;
    verify_that!(published.exit, eq(Exit::Done))?;
    verify_that!(published.json()["result"]["revision"].as_u64(), some(eq(2)))?;

    let identity = published.json()["publication"].clone();
    let identity = identity.as_str().unwrap_or_default().to_owned();
    for node in &cluster.nodes {
        let address = node.admin.to_string();
        let arguments = [
            "status",
            "--publication",
            &identity,
            "--json",
            "--node",
            &address,
        ];
        let status = run_command(&[&arguments[..], &["--key", OPERATOR_KEY]].concat())
            .await
            .json();
        verify_that!(status["result"]["revision"].as_u64(), some(eq(2)))?;
    }
    // A publication that is not in the chain may still be in progress if its identity is recent,
    // but not if it is old.
    let recent = uuid::Uuid::now_v7().to_string();
    let status = run_on_node(&cluster, &["status", "--publication", &recent]).await;
    verify_that!(
        status.err,
        contains_substring(format!("--publication {recent}"))
    )?;
    let old = "01890a5d-ac96-774b-bcce-b302099a8057";
    let status = run_on_node(&cluster, &["status", "--publication", old]).await;
    verify_that!(status.err, contains_substring("not published"))?;
    let again = publish(&cluster, 7).await;
    verify_that!(again.exit, eq(Exit::Done))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn conflicting_publication_reports_the_other_operator() -> Result<()> {
    // Guards against a change that silently undoes another operator's change.
    let cluster = Cluster::start(3).await;
    let folder = tempfile::tempdir()?;
    publish(&cluster, 5).await;
    publish(&cluster, 6).await;
    let file = write(folder.path(), "mine.yaml", &set_with_rate(7));
    let arguments = ["publish", &file, "--reason", "mine", "--parent", "1"];
    let output = run_on_node(&cluster, &arguments).await;
    verify_that!(output.exit, eq(Exit::Refused))?;
    verify_that!(
        output.err,
        contains_substring("conflict with revision 2 by ona")
    )?;
    verify_that!(output.out, contains_substring("changed limit/members"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rollback_creates_a_new_revision_and_keeps_history() -> Result<()> {
    // Guards against a rollback that rewrites or loses history.
    let cluster = Cluster::start(3).await;
    publish(&cluster, 5).await;
    publish(&cluster, 6).await;
    let rollback = ["publish", "--rollback", "1", "--reason", "back", "--json"];
    let output = run_on_node(&cluster, &rollback).await;
    verify_that!(output.err, eq(""))?;
    verify_that!(output.json()["result"]["revision"].as_u64(), some(eq(3)))?;

    let objects = |out: Value| out["objects"].clone();
    let first = objects(run_for_json(&cluster, &["show", "1"]).await);
    let third = objects(run_for_json(&cluster, &["show", "3"]).await);
    let newest = objects(run_for_json(&cluster, &["show"]).await);
    verify_that!(third, eq(&first))?;
    verify_that!(newest, eq(&first))?;

    let history = run_for_json(&cluster, &["history"]).await;
    let entries = history["entries"].as_array().cloned().unwrap_or_default();
    let revisions = entries
        .iter()
        .map(|entry| entry["record"]["revision"].as_u64());
    verify_that!(
        revisions.collect::<Vec<_>>(),
        eq(&vec![Some(3), Some(2), Some(1)])
    )?;
    let time = entries[1]["time"].as_str().unwrap_or_default().to_owned();
    let at = run_for_json(&cluster, &["show", "--at", &time]).await;
    verify_that!(at["entry"]["record"]["revision"].as_u64(), some(eq(1)))?;

    let audit = run_on_node(&cluster, &["audit", "caller/desk"]).await;
    verify_that!(audit.out, contains_substring("revision 1 at"))?;
    verify_that!(audit.out, not(contains_substring("revision 2 at")))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn audit_finds_a_sample_in_the_ledger() -> Result<()> {
    // Guards against an audit that misses a sample or returns that of another group.
    let cluster = Cluster::start(1).await;
    publish(&cluster, 5).await;
    let ledger = r#"{"batches": [{"node": "n7", "revision": 1, "groups": [
        {"group": 0, "samples": [{"index": 1, "score": 0.5}]},
        {"group": 3, "samples": [{"index": 0}, {"index": 1, "score": 0.75}]}]}]}"#;
    cluster.store.put("ledger/spring/12", ledger);
    let audit = run_for_json(&cluster, &["audit", "spring/12/3/1"]).await;
    verify_that!(audit["sample"]["score"].as_f64(), some(eq(0.75)))?;
    verify_that!(audit["sample"]["node"].as_str(), some(eq("n7")))?;
    verify_that!(
        audit["configuration"]["record"]["author"].as_str(),
        some(eq("ona"))
    )?;
    let second = r#"{"groups": [{"group": 4, "samples": [{"index": 0, "score": 0.25}]}]}"#;
    cluster.store.put("ledger/spring/12/1", second);
    let audit = run_for_json(&cluster, &["audit", "spring/12/4/0"]).await;
    verify_that!(audit["sample"]["score"].as_f64(), some(eq(0.25)))?;
    let missing = run_on_node(&cluster, &["audit", "spring/12/9/1"]).await;
    verify_that!(missing.exit, eq(Exit::Refused))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_without_an_operators_key_are_refused() -> Result<()> {
    // Guards against an administration call that does not check the operator's key.
    let cluster = Cluster::start(1).await;
    let node = cluster.nodes[0].admin.to_string();
    for command in [
        &["status"][..],
        &["dump"],
        &["history"],
        &["show", "1"],
        &["audit", "a/b"],
    ] {
        for key in ["spring-onions", "", "0"] {
            let arguments = [command, &["--node", &node, "--key", key]].concat();
            let output = run_command(&arguments).await;
            verify_that!(output.exit, eq(Exit::Refused))?;
            verify_that!(output.err, contains_substring("operator's key"))?;
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn store_outage_refuses_publications_and_keeps_the_configuration() -> Result<()> {
    // Guards against a node that loses its configuration, or starts with an older one, while the
    // key-value service is unavailable.
    let mut cluster = Cluster::start(3).await;
    publish(&cluster, 5).await;
    let took = cluster
        .wait_until(IN_FORCE, |cluster| cluster.all_in_force(1))
        .await;
    verify_that!(took, some(anything()))?;
    cluster.store.is_down.store(true, Ordering::Relaxed);
    let refused = publish(&cluster, 6).await;
    verify_that!(refused.exit, eq(Exit::Refused))?;
    verify_that!(refused.err, contains_substring("not published"))?;
    cluster.restart(2).await;
    verify_that!(*cluster.nodes[2].context.confirmed.borrow(), eq(false))?;
    let limit = Duration::from_secs(8);
    let took = cluster
        .wait_until(limit, |cluster| cluster.all_in_force(1))
        .await;
    verify_that!(took, some(anything()))?;
    verify_that!(*cluster.nodes[2].context.confirmed.borrow(), eq(true))
}

#[tokio::test]
async fn usage_errors_exit_with_2_and_help_with_0() -> Result<()> {
    // Guards against exit codes by which a script can't distinguish a usage error from a refusal.
    for wrong in [
        &["status"][..],
        &["publish", "x"],
        &["shw"],
        &[],
        &["status", "--node", "x"],
    ] {
        verify_that!(run_command(wrong).await.exit, eq(Exit::Usage))?;
    }
    let commands = [
        "check", "publish", "status", "history", "show", "audit", "dump",
    ];
    for command in commands {
        let help = run_command(&[command, "--help"]).await;
        verify_that!(help.exit, eq(Exit::Done))?;
        verify_that!(
            help.out,
            contains_substring(format!("shallotctl {command}"))
        )?;
    }
    Ok(())
}

#[tokio::test]
async fn set_with_errors_is_refused_with_all_findings() -> Result<()> {
    // Guards against a local check that accepts a set that a node refuses.
    let folder = tempfile::tempdir()?;
    let text = "kind: limit\nname: members\nrequests_per_second: 0\nburst: 0\n";
    let file = write(folder.path(), "bad.yaml", text);
    let output = run_command(&["check", &file]).await;
    verify_that!(output.exit, eq(Exit::Refused))?;
    verify_that!(
        output.out,
        contains_substring(format!("{file}:3: error: limit/members"))
    )?;
    verify_that!(
        output.out,
        contains_substring(format!("{file}:4: error: limit/members"))
    )
}

#[gtest]
fn program_exits_with_the_documented_codes() -> Result<()> {
    // Guards against a program that does not exit with the code of its command.
    for (arguments, code) in [
        (&["check", "no-such.yaml"][..], 1),
        (&[], 2),
        (&["--help"], 0),
    ] {
        let program = env!("CARGO_BIN_EXE_shallotctl");
        let status = std::process::Command::new(program)
            .args(arguments)
            .output()?;
        verify_that!(status.status.code(), some(eq(code)))?;
    }
    Ok(())
}

/// Guards against a hash of a key that differs from the hash that nodes compute.
#[gtest]
#[tokio::test]
async fn hash_key_prints_the_hash_that_nodes_expect() -> Result<()> {
    let hash = run_command(&["hash-key", "--key", OPERATOR_KEY]).await;
    expect_that!(
        hash.out.trim(),
        eq(blake3::hash(OPERATOR_KEY.as_bytes()).to_hex().as_str())
    );
    expect_that!(run_command(&["hash-key"]).await.exit.code(), eq(2));
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn site_fails_for_a_node_that_is_not_on_the_platform() -> Result<()> {
    // Guards against an empty system printed for a dump of another kind of node.
    let cluster = Cluster::start(1).await;
    let output = run_on_node(&cluster, &["site"]).await;
    verify_that!(output.exit, eq(Exit::Refused))?;
    verify_that!(output.out, eq(""))?;
    verify_that!(output.err, contains_substring("can't be understood"))
}
