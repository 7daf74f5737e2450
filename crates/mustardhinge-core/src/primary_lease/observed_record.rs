use super::{LeaderRecord, RecordRevision};
use crate::units::MonotonicTime;

/// A record as it was seen in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRecord {
    /// The revision of the record.
    pub revision: RecordRevision,
    /// The record.
    pub record: LeaderRecord,
    /// When this revision was known to exist for the first time.
    pub first_seen: MonotonicTime,
}
