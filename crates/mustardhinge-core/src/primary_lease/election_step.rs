use super::{LeaderRecord, RecordRevision};

/// The next action of an instance in the leader election.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Do nothing yet.
    Wait,
    /// Read the leadership record.
    Read,
    /// Write the record conditionally.
    Write {
        /// The record to write.
        record: LeaderRecord,
        /// The revision that the stored record must have; `None` if there must be no record.
        expected: Option<RecordRevision>,
    },
}
