/// Defines a newtype for a counter that starts at 0, with its text form.
macro_rules! count_unit {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        use std::fmt;
        use std::str::FromStr;

        use serde::{Deserialize, Serialize};

        use $crate::units::UnitError;

        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates the number from its count.
            #[must_use]
            pub const fn new(count: u64) -> Self {
                Self(count)
            }

            /// Returns the count.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| UnitError::new(text, $expected))
            }
        }
    };
}

pub(crate) use count_unit;
