//! The program for operators and auditors.

fn main() {}
