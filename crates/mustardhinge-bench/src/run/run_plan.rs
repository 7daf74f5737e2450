use std::time::Duration;

use super::{BaselineName, FaultName};
use crate::load::DeploymentName;

/// What a run does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunPlan {
    /// The deployment.
    pub deployment: DeploymentName,
    /// The seed of the load.
    pub seed: u64,
    /// The length of the load.
    pub duration: Duration,
    /// The faults to cause.
    pub faults: Vec<FaultName>,
    /// The baseline to run in place of the product's policy.
    pub baseline: Option<BaselineName>,
    /// Whether the routes have different priorities.
    pub priorities: bool,
}

impl RunPlan {
    /// Returns when the faults begin, from the start of the load.
    #[must_use]
    pub fn fault_start(&self) -> Duration {
        self.duration / 2
    }

    /// Returns when the faults that pass end, from the start of the load.
    #[must_use]
    pub fn fault_end(&self) -> Duration {
        self.duration * 3 / 4
    }
}
