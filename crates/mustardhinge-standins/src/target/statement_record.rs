use schemars::JsonSchema;
use serde::Serialize;

use super::RecordedOutcome;

/// One statement that reached a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, JsonSchema)]
pub struct StatementRecord {
    /// The number of the connection that it came on.
    pub connection: u64,
    /// Its text, comments included.
    pub text: String,
    /// Its parameters.
    pub parameters: Vec<String>,
    /// What became of it.
    pub outcome: RecordedOutcome,
}
