use mustardhinge_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What a caller was told about its operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum OperationResult {
    /// It ran.
    Completed {
        /// The values of the rows that a read returned.
        values: Vec<String>,
        /// The position that a write was confirmed with.
        position: Option<LogPosition>,
    },
    /// It did not run and will not.
    NotRun {
        /// The label of the reason.
        reason: String,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// It may have run.
    Unknown,
    /// The connection ended, or no answer came in time; it may have run.
    Broken {
        /// What the driver said.
        cause: String,
    },
}

impl OperationResult {
    /// Returns whether the operation was confirmed.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        matches!(self, Self::Completed { .. })
    }

    /// Returns whether the operation was refused as not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Returns whether the caller can't tell whether the operation ran.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Unknown | Self::Broken { .. })
    }
}
