use mustardhinge_core::primary_lease::RecordRevision;

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was done; the record has this revision.
    Done(RecordRevision),
    /// The record has another revision than expected; nothing was done.
    Conflict,
    /// Nothing was done.
    NotDone(String),
    /// It may have been done, or may still be.
    Unknown(String),
}
