//! Names of the locations of hosts.

use crate::name::Name;

/// The name of a region, which contains availability zones.
pub type Region = Name;

/// The name of an availability zone, unique over all regions.
pub type Zone = Name;
