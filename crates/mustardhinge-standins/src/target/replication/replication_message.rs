use serde::{Deserialize, Serialize};

use crate::target::storage::LogEntry;

/// What a primary sends to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ReplicationMessage {
    /// How many first entries both logs have in common.
    Common(usize),
    /// The next entry.
    Entry(LogEntry),
}
