//! The node program.

fn main() {}
