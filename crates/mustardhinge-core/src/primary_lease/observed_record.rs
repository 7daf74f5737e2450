use super::{LeaderRecord, RecordRevision};
use crate::units::MonotonicTime;

/// A leadership record as observed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRecord {
    /// The revision of the record.
    pub revision: RecordRevision,
    /// The record.
    pub record: LeaderRecord,
    /// When this revision was first known to exist.
    pub first_seen: MonotonicTime,
}

impl ObservedRecord {
    /// Returns whether the record comes from the copy from which the store was restored.
    #[must_use]
    pub(super) fn is_from_copy(&self) -> bool {
        self.record.era < self.revision.era()
    }
}
