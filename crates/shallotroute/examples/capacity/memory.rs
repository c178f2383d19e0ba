//! The memory that is allocated.

use std::alloc::System;

use cap::Cap;

/// Counts what is allocated; resident memory would not shrink when it is freed.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the allocated bytes.
pub(crate) fn allocated() -> usize {
    ALLOCATOR.allocated()
}
