//! Measures the bytes and the CPU time of heartbeats per node, by the number of nodes. All nodes
//! run in one process on loopback sockets:
//!
//! `cargo test --release -p shallotroute_peer --test slope -- --ignored --nocapture`

use std::{fs, time::Duration};

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

#[expect(dead_code, reason = "shared with the heartbeat test")]
mod support;

use support::{KEY, Node, start};

/// The budget per node for heartbeats sent, in bytes per second.
const BYTES_PER_SECOND: f64 = 10_000.0;

/// The budget per node for CPU time, as a share of a core.
const CPU_SHARE: f64 = 0.021;

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the CPU time that this process has used, in seconds.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the sum of a numeric field of the nodes' dumps.
fn sum_field(nodes: &[Node], field: &str) -> f64 {
    nodes
        .iter()
        .map(|node| node.heartbeat.dump()[field].as_f64().unwrap())
        .sum()
}

/// Guards against a cost per node that exceeds the budget as the fleet grows.
#[gtest]
#[ignore = "takes a minute"]
#[expect(clippy::print_stdout, reason = "prints the measured figures")]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_and_cpu_by_number_of_nodes() {
    for size in [3, 6, 9, 30, 100] {
        let mut nodes = vec![start(0, Vec::new(), KEY).await];
        for index in 1..size {
            let seeds = vec![nodes[0].address];
            nodes.push(start(index, seeds, KEY).await);
        }
        sleep(Duration::from_secs(4)).await;
        let before = (
            sum_field(&nodes, "bytes_out"),
            sum_field(&nodes, "datagrams_out"),
            cpu_seconds(),
        );
        let started = Instant::now();
        sleep(Duration::from_secs(8)).await;
        let seconds = started.elapsed().as_secs_f64() * size as f64;
        let bytes = (sum_field(&nodes, "bytes_out") - before.0) / seconds;
        let datagrams = (sum_field(&nodes, "datagrams_out") - before.1) / seconds;
        let cpu = (cpu_seconds() - before.2) / seconds;
        let live = nodes[0].members.borrow().live().count();
        println!(
            "nodes={size} live={live} bytes_per_s={bytes:.0} datagrams_per_s={datagrams:.1} cpu={cpu:.5}"
        );
        expect_that!(live as u64, eq(size));
        expect_that!(bytes, lt(BYTES_PER_SECOND));
        expect_that!(cpu, lt(CPU_SHARE));
        for node in &nodes {
            node.stop.cancel();
        }
        sleep(Duration::from_millis(200)).await;
    }
}
