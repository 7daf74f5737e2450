use super::BudgetRecord;
use crate::units::DocumentVersion;

/// A conditional update of the budget record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// The expected version of the stored record; 0 if none may exist.
    pub expected: DocumentVersion,
    /// The record to write.
    pub record: BudgetRecord,
}
