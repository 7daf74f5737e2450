use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The faults of a target itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaults {
    /// How long each statement is held up before it runs, in milliseconds.
    pub slow_ms: u32,
    /// How long each answer is held up after the effect, in milliseconds.
    pub late_ms: u32,
    /// How many of the next commits that wrote lose their answers: the
    /// connection is closed in place of it.
    pub lose_commit_answers: u32,
    /// How many of the next fence, promote and follow calls lose their answers.
    pub lose_group_answers: u32,
    /// How long a log entry takes to reach this replica, in milliseconds.
    pub replication_lag_ms: u32,
    /// How long an entry that is held here stays unseen by reads, in
    /// milliseconds.
    pub apply_lag_ms: u32,
    /// Whether no log entries come in.
    pub replication_cut: bool,
}

impl TargetFaults {
    /// Returns how long a log entry takes to reach this replica.
    #[must_use]
    pub fn replication_lag(&self) -> Duration {
        Duration::from_millis(self.replication_lag_ms.into())
    }

    /// Returns how long an entry that is held here stays unseen by reads.
    #[must_use]
    pub fn apply_lag(&self) -> Duration {
        Duration::from_millis(self.apply_lag_ms.into())
    }
}
