use super::BudgetRecord;
use crate::units::DocumentVersion;

/// A conditional update of the record of shares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// The version that must be in force; 0 if there must be none.
    pub expected: DocumentVersion,
    /// The record to write.
    pub record: BudgetRecord,
}
