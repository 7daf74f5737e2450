use serde::{Deserialize, Serialize};

/// What one instance last learned of a primary by using it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PrimaryEvidence {
    /// Nothing lately.
    Silent,
    /// It answers.
    Answers,
    /// It gave no answer since this many milliseconds, though it was asked.
    Fails(u32),
    /// It refuses connections, since this many milliseconds.
    Refuses(u32),
}
