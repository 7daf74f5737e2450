use serde::{Deserialize, Serialize};

/// Where a session's transaction stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// None is open.
    #[default]
    Idle,
    /// One is open.
    Open,
    /// One has failed and waits for its end.
    Failed,
}
