use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use super::UnitError;

/// A customer's burst, in requests.
///
/// Counted in thousandths, so that a share of it is exact. The text form is
/// such as `20req`.
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
pub struct RequestBurst(u64);

impl RequestBurst {
    /// Makes it from thousandths.
    #[must_use]
    pub const fn from_millis(thousandths: u64) -> Self {
        Self(thousandths)
    }

    /// Returns it in thousandths.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestBurst {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, rest) = (self.0 / 1_000, self.0 % 1_000);
        match rest {
            0 => write!(f, "{whole}req"),
            _ => write!(f, "{whole}.{rest:03}req"),
        }
    }
}

impl FromStr for RequestBurst {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let malformed = || UnitError::new(text, "of the form 20req");
        let number = text.strip_suffix("req").ok_or_else(malformed)?;
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
