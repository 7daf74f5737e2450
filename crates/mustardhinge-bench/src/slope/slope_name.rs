use std::str::FromStr;

use anyhow::bail;

use super::SlopePoint;
use super::agent_slope::measure_agents;
use super::connection_slope::measure_connections;
use super::document_slope::measure_documents;
use super::group_slope::measure_groups;

/// A slope that can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlopeName {
    /// The state of database groups, and the time that a report takes.
    Groups,
    /// The documents of services, by customers.
    Documents,
    /// Idle connections at an entry.
    Connections,
    /// Agents at rest.
    Agents,
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
            Self::Connections => measure_connections(),
            Self::Agents => measure_agents(),
        }
    }
}

impl FromStr for SlopeName {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        match text {
            "groups" => Ok(Self::Groups),
            "documents" => Ok(Self::Documents),
            "connections" => Ok(Self::Connections),
            "agents" => Ok(Self::Agents),
            _ => bail!("{text:?} is no slope: groups, documents, connections, agents are"),
        }
    }
}
