use std::str::FromStr;

use anyhow::bail;

use super::SlopePoint;
use super::document_slope::measure_documents;
use super::group_slope::measure_groups;

/// A slope that can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlopeName {
    /// The state of database groups, and the time that a report takes.
    Groups,
    /// The documents of services, by customers.
    Documents,
}

impl SlopeName {
    /// Measures the slope.
    ///
    /// # Errors
    ///
    /// Fails if a measurement does.
    pub fn measure(self) -> anyhow::Result<Vec<SlopePoint>> {
        match self {
            Self::Groups => measure_groups(),
            Self::Documents => measure_documents(),
        }
    }
}

impl FromStr for SlopeName {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        match text {
            "groups" => Ok(Self::Groups),
            "documents" => Ok(Self::Documents),
            _ => bail!("{text:?} is no slope: groups, documents are"),
        }
    }
}
