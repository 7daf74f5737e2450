use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The reason why an operator's call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The requested resource does not exist.
    NotFound,
    /// Another update was applied first.
    Conflict,
    /// The operation can't be carried out in the current state.
    Refused,
    /// The document is invalid.
    Findings,
    /// The platform is unreachable and nothing was changed.
    NotRun,
    /// The change may or may not be in force.
    OutcomeUnknown,
    /// The agent itself failed.
    Internal,
}

impl ErrorKind {
    /// Returns the label value of the kind.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NotFound => "not_found",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::Findings => "findings",
            Self::NotRun => "not_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Internal => "internal",
        }
    }
}
