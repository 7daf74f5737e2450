use crate::ids::IdError;
use crate::units::UnitError;

/// An error in a row that should be a server report.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The row has too few columns.
    #[error("a server report has {expected} columns, this row has {found}")]
    ColumnCount {
        /// The number of columns of a report.
        expected: usize,
        /// The number of columns of the row.
        found: usize,
    },
    /// A column holds an invalid name.
    #[error("column {column}: {source}")]
    BadName {
        /// The column.
        column: &'static str,
        /// The error in the name.
        source: IdError,
    },
    /// A column holds an invalid role, term or position.
    #[error("column {column}: {source}")]
    BadUnit {
        /// The column.
        column: &'static str,
        /// The error in the value.
        source: UnitError,
    },
}
