use super::{LeaderRecord, RecordRevision};

/// What an instance has to do next about the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Nothing yet.
    Wait,
    /// Read the record.
    Read,
    /// Write this record, if the stored one still has the revision `expected`; with none,
    /// if there is no record.
    Write {
        /// The record to write.
        record: LeaderRecord,
        /// The revision that the write depends on.
        expected: Option<RecordRevision>,
    },
}
