//! The commands against nodes on loopback.

use std::{fs, path::Path, time::Duration};

use googletest::prelude::*;
use serde_json::Value;
use shallotroute_ctl::Exit;
use support::{Fleet, KEY, set};

#[path = "../../shallotroute_control/tests/support/mod.rs"]
mod support;

/// How long a fleet without faults may take to put a revision in force (R9).
const IN_FORCE: Duration = Duration::from_secs(2);

/// The end and the output of a command.
struct Ended {
    exit: Exit,
    out: String,
    err: String,
}

impl Ended {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("the output should be JSON")
    }
}

async fn plain(arguments: &[&str]) -> Ended {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = shallotroute_ctl::run(&arguments, &mut out, &mut err).await;
    Ended {
        exit: exit.expect("memory should be writable"),
        out: String::from_utf8(out).expect("the output should be UTF-8"),
        err: String::from_utf8(err).expect("the output should be UTF-8"),
    }
}

async fn ctl(fleet: &Fleet, arguments: &[&str]) -> Ended {
    let node = fleet.nodes[0].admin.to_string();
    let mut all = arguments.to_vec();
    all.extend(["--node", &node, "--key", KEY]);
    plain(&all).await
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    fs::write(&path, text).expect("the folder should be writable");
    path.display().to_string()
}

/// Publishes a set and waits for it on all nodes.
async fn publish(fleet: &Fleet, folder: &Path, rate: u32) -> Ended {
    let file = write(folder, "set.yaml", &set(rate));
    ctl(
        fleet,
        &["publish", &file, "--reason", "a new rate", "--json"],
    )
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_published_set_comes_into_force_on_all_nodes() -> Result<()> {
    // Guards against a publication that is accepted and never or slowly applied.
    let fleet = Fleet::start(3).await;
    let folder = tempfile::tempdir()?;
    let published = publish(&fleet, folder.path(), 5).await;
    verify_that!(published.err, eq(""))?;
    verify_that!(published.exit, eq(Exit::Done))?;
    verify_that!(published.json()["result"]["revision"].as_u64(), some(eq(1)))?;
    let took = fleet.until(IN_FORCE, |fleet| fleet.all_in_force(1)).await;
    verify_that!(took, some(anything()))?;

    let status = ctl(&fleet, &["status", "--json"]).await.json();
    verify_that!(status["accepted"].as_u64(), some(eq(1)))?;
    verify_that!(status["in_force"].as_u64(), some(eq(1)))?;
    verify_that!(status["confirmed"].as_bool(), some(eq(true)))?;
    let dump = ctl(&fleet, &["dump", "--json"]).await.json();
    verify_that!(dump["whole"].as_str(), some(eq("node")))
}
