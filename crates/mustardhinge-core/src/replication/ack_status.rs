use super::{AckKey, AckOutcome};

/// What became of a write that was handed to the tracker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckStatus {
    /// It waits under this key.
    Waiting(AckKey),
    /// Reports that came earlier decided it at once.
    Resolved(AckOutcome),
}
