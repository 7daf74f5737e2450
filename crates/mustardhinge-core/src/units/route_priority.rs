use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::UnitError;

/// The priority of a route's requests; 0 is the highest.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::prelude::RoutePriority;
///
/// let priority: RoutePriority = "2".parse().unwrap();
/// assert!(RoutePriority::HIGHEST < priority);
/// assert_eq!(priority.to_string(), "2");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RoutePriority(u8);

impl RoutePriority {
    /// The highest priority.
    pub const HIGHEST: Self = Self(0);

    /// Creates the priority from its rank.
    #[must_use]
    pub const fn new(rank: u8) -> Self {
        Self(rank)
    }

    /// Returns the rank; 0 is the highest priority.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for RoutePriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RoutePriority {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rank = text.parse();
        rank.map(Self)
            .map_err(|_| UnitError::new(text, "a priority from 0 to 255"))
    }
}
