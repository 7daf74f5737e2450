use std::fmt;

use serde::{Deserialize, Serialize};

use super::FindingPlace;

/// One thing that is wrong with a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where it stands.
    pub place: FindingPlace,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub advice: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = self.place.to_string();
        if !place.is_empty() {
            write!(f, "{place}: ")?;
        }
        write!(f, "{}; {}", self.problem, self.advice)
    }
}
