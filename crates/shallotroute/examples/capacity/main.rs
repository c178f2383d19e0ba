//! Measures what the decision code costs by size: processor time and memory as slopes for
//! `docs/CAPACITY.md`. No sockets, one thread; prints a Markdown table for each part.

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
    hashing::print();
    configuration::print();
    gossip::print();
    sampling::print();
}
