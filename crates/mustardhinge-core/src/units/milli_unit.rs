/// Defines a newtype for an amount in thousandths.
///
/// Its text form is a decimal number followed by the unit.
macro_rules! milli_unit {
    ($(#[$doc:meta])* $name:ident, $unit:literal, $examples:literal) => {
        use std::fmt;
        use std::str::FromStr;

        use serde_with::{DeserializeFromStr, SerializeDisplay};

        use super::UnitError;

        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            SerializeDisplay,
            DeserializeFromStr,
        )]
        pub struct $name(u64);

        impl $name {
            /// Creates the amount from thousandths.
            #[must_use]
            pub const fn from_millis(thousandths: u64) -> Self {
                Self(thousandths)
            }

            /// Returns the amount in thousandths.
            #[must_use]
            pub const fn as_millis(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let (whole, rest) = (self.0 / 1_000, self.0 % 1_000);
                match rest {
                    0 => write!(f, "{whole}{}", $unit),
                    _ => write!(f, "{whole}.{rest:03}{}", $unit),
                }
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let malformed = || UnitError::new(text, concat!("of the form ", $examples));
                let number = text.strip_suffix($unit).ok_or_else(malformed)?;
                let (whole, rest) = number.split_once('.').unwrap_or((number, "0"));
                if rest.is_empty() || rest.len() > 3 {
                    return Err(malformed());
                }
                let whole: u64 = whole.parse().map_err(|_| malformed())?;
                let thousandths: u64 = format!("{rest:0<3}").parse().map_err(|_| malformed())?;
                whole
                    .checked_mul(1_000)
                    .and_then(|millis| millis.checked_add(thousandths))
                    .map(Self)
                    .ok_or_else(malformed)
            }
        }
    };
}

pub(super) use milli_unit;
