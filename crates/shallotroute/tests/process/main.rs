//! Tests of real node processes between stand-ins. The time bounds are those of section 7 of the
//! design.

mod configuration;
mod requests;
mod rollouts;
mod start;
mod support;
