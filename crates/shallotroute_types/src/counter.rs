//! The macro for counters that identify something: versions, revisions, fencing numbers, incarnations.

/// Declares an ordered `u64` newtype that is serialized as a plain number.
macro_rules! counter {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            derive_more::Display,
            derive_more::From,
            derive_more::Into,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows.
            ///
            /// # Panics
            ///
            /// At `u64::MAX`, in builds with overflow checks.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

pub(crate) use counter;
