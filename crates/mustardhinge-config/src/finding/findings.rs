use std::fmt;

use serde::{Deserialize, Serialize};

use super::Finding;

/// All findings of one text, in the order in which they were found.
///
/// The `Display` form has one finding a line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Collects findings.
    #[must_use]
    pub const fn new(findings: Vec<Finding>) -> Self {
        Self(findings)
    }

    /// Returns whether nothing was found.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns how many there are.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Goes through the findings.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
