use mustardhinge_core::prelude::LogPosition;
use schemars::JsonSchema;
use serde::Serialize;

/// What became of a statement that reached a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RecordedOutcome {
    /// It failed, or has not run yet, and had no effect.
    NotRun,
    /// It ran in a transaction that is still open.
    Open,
    /// Its transaction committed.
    Committed {
        /// The position of the commit, if it wrote.
        #[schemars(with = "Option<String>")]
        position: Option<LogPosition>,
    },
    /// Its transaction was rolled back.
    RolledBack,
}
