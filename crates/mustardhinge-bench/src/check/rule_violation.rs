use std::fmt;

use serde::{Deserialize, Serialize};

use super::RuleName;

/// A rule that a run broke, with what shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleViolation {
    /// The rule.
    pub rule: RuleName,
    /// The operations, rows and times that show it.
    pub evidence: String,
}

impl RuleViolation {
    /// Describes a violation.
    #[must_use]
    pub fn new(rule: RuleName, evidence: String) -> Self {
        Self { rule, evidence }
    }
}

impl fmt::Display for RuleViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.evidence)
    }
}
