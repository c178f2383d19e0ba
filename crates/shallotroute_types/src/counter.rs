//! The common form of the counters that name something: versions, revisions, fencing numbers.

/// Declares a counter with its conversions, order and plain serialised form.
macro_rules! number {
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
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

pub(crate) use number;
