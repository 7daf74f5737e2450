use std::fmt;
use std::str::FromStr;

use anyhow::bail;

/// A simple policy that the product's own is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineName {
    /// Each instance holds the same fixed part of each rate and burst.
    StaticShares,
    /// The primary serves all reads.
    PrimaryReads,
    /// Waiting statements are served in the order of arrival.
    FirstCome,
}

impl BaselineName {
    const ALL: [Self; 3] = [Self::StaticShares, Self::PrimaryReads, Self::FirstCome];

    const fn as_str(self) -> &'static str {
        match self {
            Self::StaticShares => "static-shares",
            Self::PrimaryReads => "primary-reads",
            Self::FirstCome => "first-come",
        }
    }
}

impl fmt::Display for BaselineName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for BaselineName {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        match Self::ALL.into_iter().find(|name| name.as_str() == text) {
            Some(name) => Ok(name),
            None => bail!("{text:?} is no baseline; see --help"),
        }
    }
}
