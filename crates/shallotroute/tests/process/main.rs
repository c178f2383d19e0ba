//! Real node processes between stand-ins. Each test names the failure that it guards against; the
//! bounds are those of section 7 of the design.

mod configuration;
mod requests;
mod rollouts;
mod start;
mod support;
