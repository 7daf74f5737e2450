use std::sync::Arc;

use mustardhinge_core::failover::FailoverSettings;

use super::{ProbeTiming, WatchRegistry};
use crate::platform::PlatformClient;
use crate::state::SharedState;

/// Dependencies and settings shared by all group watches.
#[derive(Clone)]
pub(crate) struct GroupContext {
    /// The state of the agent.
    pub(crate) state: Arc<SharedState>,
    /// Client of the platform.
    pub(crate) platform: PlatformClient,
    /// Interval and timeout of target probes.
    pub(crate) timing: ProbeTiming,
    /// Timeouts of a change of primary.
    pub(crate) settings: FailoverSettings,
    /// Name of this agent process that database servers receive in fence and
    /// promote calls; it differs at each start.
    pub(crate) claimant: String,
    /// The running watches.
    pub(crate) registry: Arc<WatchRegistry>,
}
