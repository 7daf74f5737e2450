use serde::{Deserialize, Serialize};

use super::QueryFault;

/// Error response to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryError {
    /// Kind of the error.
    pub kind: QueryFault,
    /// The parameter at fault, if it is one.
    pub field: Option<String>,
    /// What is wrong, and the remedy.
    pub message: String,
}

impl QueryError {
    /// Creates the error of a malformed parameter.
    #[must_use]
    pub fn malformed(field: &str, message: impl Into<String>) -> Self {
        Self {
            kind: QueryFault::Malformed,
            field: Some(field.to_owned()),
            message: message.into(),
        }
    }

    /// Creates the error of a parameter whose value is not in the configuration.
    #[must_use]
    pub fn not_found(field: &str, message: impl Into<String>) -> Self {
        Self {
            kind: QueryFault::NotFound,
            field: Some(field.to_owned()),
            message: message.into(),
        }
    }

    /// Creates the error of a query beyond the number that may be in progress.
    #[must_use]
    pub fn busy(message: impl Into<String>) -> Self {
        Self {
            kind: QueryFault::Busy,
            field: None,
            message: message.into(),
        }
    }
}
