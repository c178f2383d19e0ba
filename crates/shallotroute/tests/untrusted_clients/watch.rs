//! Reads the memory and the descriptors of a process from `/proc`.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use tokio::task::JoinHandle;

/// The interval between two samples.
const INTERVAL: Duration = Duration::from_millis(10);

/// What a process may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bound {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: u64,
}

/// Samples a process until it is dropped.
#[derive(Debug)]
pub(crate) struct Watch {
    pid: u32,
    /// The highest sum of resident memory and of bytes that wait in the sockets at the ports, in KiB.
    held_kib: Arc<AtomicU64>,
    descriptors: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Watch {
    /// Starts to sample a process and its sockets at local ports.
    pub(crate) fn start(pid: u32, ports: Vec<u16>) -> Self {
        let held_kib = Arc::new(AtomicU64::new(0));
        let descriptors = Arc::new(AtomicU64::new(0));
        let (held, open) = (Arc::clone(&held_kib), Arc::clone(&descriptors));
        let task = tokio::spawn(async move {
            loop {
                let resident = status_kib(pid, "VmRSS:").unwrap_or(0);
                held.fetch_max(resident + queued_kib(&ports), Ordering::Relaxed);
                open.fetch_max(open_descriptors(pid), Ordering::Relaxed);
                tokio::time::sleep(INTERVAL).await;
            }
        });
        Self {
            pid,
            held_kib,
            descriptors,
            task,
        }
    }

    /// Checks that the process lives and has stayed within its bound, and prints what it has used.
    pub(crate) fn expect_within(&self, bound: Bound, case: &str) {
        self.descriptors
            .fetch_max(open_descriptors(self.pid), Ordering::Relaxed);
        let peak_kib = status_kib(self.pid, "VmHWM:").unwrap_or(0);
        let held_kib = self.held_kib.load(Ordering::Relaxed);
        let descriptors = self.descriptors.load(Ordering::Relaxed);
        eprintln!(
            "{case}: peak {} MB, with sockets {} MB, {descriptors} descriptors",
            peak_kib >> 10,
            held_kib >> 10,
        );
        expect_that!(is_running(self.pid), eq(true), "{case}: process");
        expect_that!(peak_kib >> 10, lt(bound.memory_mb), "{case}: memory, MB");
        expect_that!(
            held_kib >> 10,
            lt(bound.memory_mb),
            "{case}: memory with sockets, MB"
        );
        expect_that!(descriptors, le(bound.descriptors), "{case}: descriptors");
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns whether a process runs, which a killed one does not until its end was waited for.
pub(crate) fn is_running(pid: u32) -> bool {
    fs::read_to_string(format!("/proc/{pid}/status"))
        .is_ok_and(|status| !status.lines().any(|line| line.starts_with("State:\tZ")))
}

fn status_kib(pid: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn open_descriptors(pid: u32) -> u64 {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |entries| entries.count() as u64)
}

/// Returns the bytes that wait in the sockets at local ports, received or to be sent, in KiB.
fn queued_kib(ports: &[u16]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queued = |line: &str| -> Option<u64> {
        let fields: Vec<&str> = line.split_whitespace().take(5).collect();
        let (_, port) = fields.get(1)?.rsplit_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        // A listening socket has the lengths of its queues of connections in these fields.
        if !ports.contains(&port) || fields.get(3)? == &"0A" {
            return None;
        }
        let (sent, received) = fields.get(4)?.split_once(':')?;
        let parse = |text| u64::from_str_radix(text, 16).ok();
        Some(parse(sent)? + parse(received)?)
    };
    table.lines().skip(1).filter_map(queued).sum::<u64>() >> 10
}
