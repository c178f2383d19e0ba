//! State machines whose states and transitions are defined in YAML and validated against the code's
//! enums when loaded.
//!
//! Start with [`chart::Chart`] and [`machine::Machine`].

pub mod chart;
pub mod error;
pub mod machine;
