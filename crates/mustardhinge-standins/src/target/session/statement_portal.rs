use super::prepared_statement::PreparedStatement;

/// A prepared statement with its parameters.
#[derive(Clone, Debug)]
pub(super) struct StatementPortal {
    /// The statement.
    pub(super) prepared: PreparedStatement,
    /// Its parameters.
    pub(super) parameters: Vec<String>,
}
