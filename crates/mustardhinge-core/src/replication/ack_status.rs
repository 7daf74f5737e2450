use super::{AckKey, AckOutcome};

/// The initial state of a tracked write or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckStatus {
    /// It waits for a majority.
    Waiting(AckKey),
    /// Earlier reports have resolved it.
    Resolved(AckOutcome),
}
