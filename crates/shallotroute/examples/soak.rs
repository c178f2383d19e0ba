//! Runs randomized soak tests of the node program and prints their findings.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use argh::FromArgs;
use shallotroute_soak::soak::{self, Options, Report, Schedule};

/// Soaks of the node program under faults, one after the other.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// the first seed (1)
    #[argh(option, default = "1")]
    seed: u64,

    /// how many seeds (50)
    #[argh(option, default = "50")]
    seeds: u64,

    /// node processes (5)
    #[argh(option, default = "5")]
    nodes: usize,

    /// callers at a time (8)
    #[argh(option, default = "8")]
    callers: usize,

    /// callers at a time that request only long streams (8)
    #[argh(option, default = "8")]
    stream_callers: usize,

    /// only crashes of model servers of two software versions, with kills of nodes and resets of
    /// callers' connections
    #[argh(switch)]
    crashes: bool,

    /// as crashes, but the model servers start again at once under their ids with the other software
    /// version
    #[argh(switch)]
    software_switches: bool,

    /// only servers that name limits
    #[argh(switch)]
    limits: bool,

    /// only cuts of most nodes' links to the backend servers
    #[argh(switch)]
    stranded: bool,

    /// only a request that crashes each server that runs it
    #[argh(switch)]
    deadly_request: bool,

    /// seconds of faults for each seed (12)
    #[argh(option, default = "12")]
    seconds: u64,

    /// soaks at a time (3)
    #[argh(option, default = "3")]
    jobs: u64,
}

impl Arguments {
    fn schedule(&self) -> Schedule {
        match self {
            Self { limits: true, .. } => Schedule::Limits,
            Self { stranded: true, .. } => Schedule::Stranded,
            Self {
                deadly_request: true,
                ..
            } => Schedule::DeadlyRequest,
            Self {
                software_switches: true,
                ..
            } => Schedule::SoftwareSwitches,
            Self { crashes: true, .. } => Schedule::Crashes,
            Self { .. } => Schedule::Random,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Some(binary) = node_program() else {
        eprintln!("build the node program first: cargo build --release -p shallotroute");
        return ExitCode::FAILURE;
    };
    let mut failed = 0;
    let mut seeds = arguments.seed..arguments.seed + arguments.seeds;
    loop {
        let soaks: Vec<_> = seeds
            .by_ref()
            .take(usize::try_from(arguments.jobs).unwrap_or(1))
            .map(|seed| {
                let options = Options {
                    seed,
                    nodes: arguments.nodes,
                    callers: arguments.callers,
                    stream_callers: arguments.stream_callers,
                    duration: Duration::from_secs(arguments.seconds),
                    schedule: arguments.schedule(),
                };
                let binary = binary.clone();
                tokio::spawn(async move { soak::run(&binary, options).await })
            })
            .collect();
        if soaks.is_empty() {
            break;
        }
        for soak in soaks {
            let report = match soak.await {
                Ok(report) => report.map_err(|error| error.to_string()),
                Err(error) => Err(error.to_string()),
            };
            failed += usize::from(!print_report(report));
        }
    }
    eprintln!("{failed} of {} seeds with findings", arguments.seeds);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Prints the report of a soak. Returns whether the soak ran to its end without findings.
fn print_report(report: Result<Report, String>) -> bool {
    let report = match report {
        Ok(report) => report,
        Err(error) => {
            eprintln!("soak did not complete: {error}");
            return false;
        }
    };
    eprintln!(
        "seed {}: {} requests answered, {} steps, {} faults, {} findings",
        report.seed,
        report.successful_requests,
        report.completed_steps,
        report.faults.len(),
        report.findings.len()
    );
    for (place, streams) in [
        ("all nodes", report.streams),
        ("nodes in touch", report.streams_in_touch),
    ] {
        eprintln!(
            "  {place}: {} of {} new streams began; {} of {} take-ups went on, {} were refused",
            streams.begun, streams.new, streams.continued, streams.take_ups, streams.refused
        );
    }
    if report.findings.is_empty() {
        return true;
    }
    eprintln!(
        "{}\nfaults:\n{}\nlogs: {:?}",
        report.findings.join("\n"),
        report.faults.join("\n"),
        report.log_folder
    );
    false
}

/// Returns the path of the node program, which Cargo builds into the parent of the examples'
/// folder, or `None` if it is not built.
fn node_program() -> Option<PathBuf> {
    let example = std::env::current_exe().ok()?;
    let path = example.parent()?.parent()?.join("shallotroute");
    path.is_file().then_some(path)
}
