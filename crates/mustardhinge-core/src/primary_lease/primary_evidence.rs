use serde::{Deserialize, Serialize};

/// What one instance last observed of a primary while using it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PrimaryEvidence {
    /// No recent observation.
    Silent,
    /// The primary responds.
    Answers,
    /// The primary has not responded to requests for this many milliseconds.
    Fails(u32),
    /// The primary has refused connections for this many milliseconds.
    Refuses(u32),
}
