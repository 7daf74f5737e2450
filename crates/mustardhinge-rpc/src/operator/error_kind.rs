use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Why an operator's call was not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The call is malformed.
    BadRequest,
    /// What the call names does not exist.
    NotFound,
    /// Another update came first.
    Conflict,
    /// It can't be done now.
    Refused,
    /// The document is wrong.
    Findings,
    /// The platform can't be reached and nothing was changed.
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
