//! Measures how the CPU time and memory of key ownership, configuration, membership and sampling
//! grow with the deployment, for `docs/CAPACITY.md`. Runs in one thread without sockets and prints
//! a Markdown table for each part.

#![expect(
    clippy::print_stdout,
    reason = "the tables are the output of this program"
)]

mod configuration;
mod gossip;
mod hashing;
mod memory;
mod sampling;

fn main() {
    hashing::print_table();
    configuration::print_table();
    gossip::print_table();
    sampling::print_table();
}
