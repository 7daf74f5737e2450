use std::fmt;
use std::str::FromStr;

use crate::units::UnitError;

/// The role that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerRole {
    /// Accepts writes.
    Primary,
    /// Follows a primary.
    Replica,
    /// Has granted a term and does not follow a primary yet.
    Fenced,
}

impl fmt::Display for ServerRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
            Self::Fenced => "fenced",
        })
    }
}

impl FromStr for ServerRole {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text {
            "primary" => Ok(Self::Primary),
            "replica" => Ok(Self::Replica),
            "fenced" => Ok(Self::Fenced),
            _ => Err(UnitError::new(text, "one of primary, replica, fenced")),
        }
    }
}
