use std::sync::Arc;

use mustardhinge_core::failover::FailoverSettings;

use super::{ProbeTiming, WatchRegistry};
use crate::platform::PlatformClient;
use crate::state::SharedState;

/// What every watch of a group works with.
#[derive(Clone)]
pub(crate) struct GroupContext {
    /// What the agent knows.
    pub(crate) state: Arc<SharedState>,
    /// The platform.
    pub(crate) platform: PlatformClient,
    /// How targets are probed.
    pub(crate) timing: ProbeTiming,
    /// The waits of a change of primary.
    pub(crate) settings: FailoverSettings,
    /// The name of this start of the agent, as the servers know it.
    pub(crate) claimant: String,
    /// The watches that run.
    pub(crate) registry: Arc<WatchRegistry>,
}
