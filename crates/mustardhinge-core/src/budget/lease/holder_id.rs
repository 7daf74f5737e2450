use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// One start of an agent; a restarted agent is another holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId {
    /// The instance of the agent.
    pub instance: InstanceId,
    /// The start of the agent, different for each start.
    pub incarnation: u64,
}

impl fmt::Display for HolderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.incarnation)
    }
}
