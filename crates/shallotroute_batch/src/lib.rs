//! Pure state machines for batch jobs of trainers, and the records that persist them. Start with
//! [`job::Job`].

pub mod checkpoint;
pub mod claim;
pub mod item;
pub mod job;
pub mod record;
