use std::fmt;

use serde::{Deserialize, Serialize};

/// Kind of the error of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryFault {
    /// A parameter is missing, repeated, unknown or invalid.
    Malformed,
    /// The service, the route or the customer is not in the configuration.
    NotFound,
    /// Too many queries are in progress.
    Busy,
}

impl fmt::Display for QueryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Malformed => "malformed",
            Self::NotFound => "not_found",
            Self::Busy => "busy",
        })
    }
}
