use crate::target::statement::SqlStatement;

/// A statement that was parsed once, to be run with parameters.
#[derive(Clone, Debug)]
pub(super) struct PreparedStatement {
    /// Its text.
    pub(super) text: String,
    /// The parsed statement; none if the text is empty.
    pub(super) statement: Option<SqlStatement>,
}
