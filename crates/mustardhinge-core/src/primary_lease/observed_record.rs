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
