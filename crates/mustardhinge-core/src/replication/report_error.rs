use crate::ids::IdError;
use crate::units::UnitError;

/// The reason why a row is no server report, with the column at fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The row has another number of columns.
    #[error("a server report has {expected} columns, this row has {found}")]
    ColumnCount {
        /// The number of columns of a report.
        expected: usize,
        /// The number of columns of the row.
        found: usize,
    },
    /// A column that holds a name holds something else.
    #[error("column {column}: {source}")]
    BadName {
        /// The column.
        column: &'static str,
        /// What is wrong with the name.
        source: IdError,
    },
    /// A column that holds a role, term or position holds something else.
    #[error("column {column}: {source}")]
    BadUnit {
        /// The column.
        column: &'static str,
        /// What is wrong with the value.
        source: UnitError,
    },
}
