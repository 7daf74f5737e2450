use tokio_postgres::error::DbError;

use crate::history::OperationResult;

/// Why a statement was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// The proxy said that it did not run.
    #[error("not run: {reason}")]
    NotRun {
        /// The label of the reason.
        reason: String,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The proxy said that its outcome is unknown.
    #[error("outcome unknown")]
    Unknown,
    /// The connection failed, or another error came.
    #[error("{0}")]
    Broken(String),
}

impl StatementError {
    /// Reads what an error response says of the outcome.
    #[must_use]
    pub fn from_response(error: &DbError) -> Self {
        let detail = error.detail().unwrap_or_default();
        match find_field(detail, "outcome") {
            Some("not_run") => Self::NotRun {
                reason: find_field(detail, "reason").unwrap_or("unnamed").to_owned(),
                retry_after_ms: error
                    .hint()
                    .and_then(|hint| find_field(hint, "retry_after_ms")?.parse().ok()),
            },
            Some("unknown") => Self::Unknown,
            _ => Self::Broken(format!("{} {}", error.code().code(), error.message())),
        }
    }

    /// Reads what a driver's error says of the outcome.
    #[must_use]
    pub fn from_driver(error: &tokio_postgres::Error) -> Self {
        match error.as_db_error() {
            Some(response) => Self::from_response(response),
            None => Self::Broken(error.to_string()),
        }
    }

    /// Turns the error into the result of an operation.
    #[must_use]
    pub fn into_result(self) -> OperationResult {
        match self {
            Self::NotRun {
                reason,
                retry_after_ms,
            } => OperationResult::NotRun {
                reason,
                retry_after_ms,
            },
            Self::Unknown => OperationResult::Unknown,
            Self::Broken(cause) => OperationResult::Broken { cause },
        }
    }
}

/// Finds `name=value` in a text of fields separated by blanks.
fn find_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split_whitespace()
        .filter_map(|field| field.split_once('='))
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}
