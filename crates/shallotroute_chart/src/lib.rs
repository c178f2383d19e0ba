//! State charts in YAML files, checked when loaded and interpreted by the code.
//! Start with [`chart::Chart`] and [`machine::Machine`].

pub mod chart;
pub mod error;
pub mod machine;
