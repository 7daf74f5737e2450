use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// One incarnation of an agent. A restarted agent is another holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId {
    /// The instance of the agent.
    pub instance: InstanceId,
    /// The incarnation of the agent, different after each restart.
    pub incarnation: u64,
}

impl fmt::Display for HolderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.incarnation)
    }
}
