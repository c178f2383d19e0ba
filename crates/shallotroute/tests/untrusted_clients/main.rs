//! Clients that nobody controls: bodies that stop short of their end, heads without end, silent connections, responses that
//! nobody reads, large batch jobs, and servers that send bytes without end, against the node program with lowered limits.
//!
//! The crowds and the bounds were fixed on the code before it had a memory budget. The tests check neither times nor how many
//! requests of a crowd are served.

mod crowd;
mod desk;
mod endless;
mod http2;
mod job;
mod own;
mod ports;
mod unread;
mod watch;

use tokio::sync::{Mutex, MutexGuard};

/// Held while a test runs, since the tests of this binary would disturb each other's measurements.
static LOCK: Mutex<()> = Mutex::const_new(());

/// Waits until no other test runs.
async fn run_alone() -> MutexGuard<'static, ()> {
    LOCK.lock().await
}
