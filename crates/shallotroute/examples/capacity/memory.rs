//! Counts the heap memory of the program.

use std::alloc::System;

use cap::Cap;

/// The counting allocator. Resident memory is no measure, since it does not shrink when memory is
/// freed.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the bytes that are allocated on the heap now.
pub(crate) fn allocated() -> usize {
    ALLOCATOR.allocated()
}
