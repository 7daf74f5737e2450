use mustardhinge_core::primary_lease::RecordRevision;

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record was written and has this revision.
    Done(RecordRevision),
    /// The record does not have the expected revision. Nothing was written.
    Conflict,
    /// Nothing was written.
    NotDone(String),
    /// The outcome is unknown. The write may also take effect later.
    Unknown(String),
}
