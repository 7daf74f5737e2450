use mustardhinge_core::prelude::{LeaderTerm, LogPosition};

use super::MemberRole;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// The name of the target.
    pub target: String,
    /// Its role.
    pub role: MemberRole,
    /// The greatest term that it granted or follows.
    pub term: LeaderTerm,
    /// The position of the last log entry held.
    pub last: LogPosition,
    /// The position up to which reads see the rows.
    pub applied: LogPosition,
    /// The name of the primary it follows, its own if primary, or empty.
    pub primary: String,
}

impl MemberReport {
    /// Returns the values in the order of the columns.
    #[must_use]
    pub fn to_row(&self) -> Vec<String> {
        vec![
            self.target.clone(),
            self.role.to_string(),
            self.term.to_string(),
            self.last.to_string(),
            self.applied.to_string(),
            self.primary.clone(),
        ]
    }

    /// Tells whether both positions are at or past `position`.
    #[must_use]
    pub fn has_reached(&self, position: LogPosition) -> bool {
        self.last >= position && self.applied >= position
    }
}
