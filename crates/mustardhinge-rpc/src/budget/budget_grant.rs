use serde::{Deserialize, Serialize};

/// The agent's answer to a budget request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// Requests granted; may be fewer than were wanted, also none.
    pub granted: u32,
    /// How long the grant may be used, in milliseconds from the moment that
    /// the entry sent its request; unused requests lapse then.
    pub valid_ms: u32,
    /// When to ask again if fewer were granted, in milliseconds.
    pub retry_after_ms: u32,
}
