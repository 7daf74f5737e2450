use std::error::Error;
use std::fmt;

use super::StoreEra;

/// Why a response of the store is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraError {
    /// The era is above [`StoreEra::MAX`].
    Invalid(StoreEra),
    /// The response may come from before a restore: a later era was seen.
    Outdated {
        /// The era of the response.
        era: StoreEra,
        /// The newest era seen.
        newest: StoreEra,
    },
}

impl fmt::Display for EraError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(era) => write!(f, "invalid era {era}"),
            Self::Outdated { era, newest } => {
                write!(f, "response of era {era} after one of era {newest}")
            }
        }
    }
}

impl Error for EraError {}
