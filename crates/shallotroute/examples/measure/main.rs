//! Runs real nodes between stand-ins through a scenario and prints what was measured. Results are
//! checked against the stand-ins' own records. Start with [`scenario`].

// The example's output is its result.
#![allow(clippy::print_stdout)]

mod balancer;
mod fault;
mod load;
mod observer;
mod policy;
mod report;
mod run;
mod scenario;
mod testbed;
mod throughput;

use std::process::ExitCode;

use argh::FromArgs;

use crate::{policy::Policy, scenario::Scenario};

/// The error of a run; it is only printed.
type Error = Box<dyn std::error::Error + Send + Sync>;

/// Measures a scenario and prints one JSON object on the last line.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// the scenario
    #[argh(option, default = "String::from(\"association\")")]
    scenario: String,

    /// the seed of the load, its times and the lengths of answers
    #[argh(option, default = "1")]
    seed: u64,

    /// the policy
    #[argh(option, default = "String::from(\"default\")")]
    policy: String,

    /// print the scenarios and policies and exit
    #[argh(switch)]
    list: bool,

    /// print the ends of the nodes' logs, this many lines each
    #[argh(option, default = "0")]
    logs: usize,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.list {
        print_list();
        return ExitCode::SUCCESS;
    }
    match measure(&arguments) {
        Ok(value) => {
            println!("{value}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn measure(arguments: &Arguments) -> Result<serde_json::Value, Error> {
    if arguments.scenario == throughput::NAME {
        return throughput::run(arguments.seed).await;
    }
    let scenario = Scenario::from_name(&arguments.scenario)
        .ok_or_else(|| format!("no scenario `{}`; see --list", arguments.scenario))?;
    let policy = Policy::from_name(&arguments.policy)
        .ok_or_else(|| format!("no policy `{}`; see --list", arguments.policy))?;
    run::run(&scenario, policy, arguments.seed, arguments.logs).await
}

fn print_list() {
    for (name, description) in Scenario::DESCRIPTIONS {
        println!("scenario {name}: {description}");
    }
    println!(
        "scenario {}: one node's rate and added latency",
        throughput::NAME
    );
    for policy in Policy::ALL {
        println!("policy {}: {}", policy.name(), policy.description());
    }
}
