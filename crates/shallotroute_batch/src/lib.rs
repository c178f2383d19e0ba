//! Batch jobs: what is kept of them, and how their items run, as pure state. Start with
//! [`run::Run`].

pub mod item;
pub mod record;
pub mod run;
