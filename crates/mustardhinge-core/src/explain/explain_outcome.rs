use std::fmt;

use serde::{Deserialize, Serialize};

/// What the instance would do with the request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainOutcome {
    /// It would send the request to a target at once.
    Run,
    /// The request would wait first, for what the first waiting step names.
    Wait,
    /// It would refuse the request.
    Refuse,
}

impl fmt::Display for ExplainOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Run => "run",
            Self::Wait => "wait",
            Self::Refuse => "refuse",
        })
    }
}
