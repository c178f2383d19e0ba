//! Where a host stands.

use crate::name::Name;

/// The name of a region.
pub type Region = Name;

/// The name of an availability zone, unique over all regions.
pub type Zone = Name;
