use crate::target::statement::SqlStatement;

/// A statement as it came from a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatementInput<'a> {
    /// The text of the message that it came in.
    pub(super) text: &'a str,
    /// The parsed statement.
    pub(super) statement: &'a SqlStatement,
    /// Its parameters.
    pub(super) parameters: &'a [String],
    /// Whether it is the last of its message.
    pub(super) is_last: bool,
}
