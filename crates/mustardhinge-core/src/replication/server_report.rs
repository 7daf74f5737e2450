use std::str::FromStr;

use crate::ids::{IdError, TargetId};
use crate::units::{LeaderTerm, LogPosition, UnitError};

use super::{ReportError, ServerRole};

/// The state that a server reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// The server.
    pub target: TargetId,
    /// Its role.
    pub role: ServerRole,
    /// The greatest term that it has granted or follows.
    pub term: LeaderTerm,
    /// The position of the last log entry that it holds.
    pub last: LogPosition,
    /// The position up to which reads at the server include the log entries.
    pub applied: LogPosition,
    /// The primary that it follows; the server itself if it is the primary.
    pub primary: Option<TargetId>,
}

impl ServerReport {
    /// The column names of a report, in order.
    pub const COLUMNS: [&'static str; 6] = ["target", "role", "term", "last", "applied", "primary"];

    /// Parses a report from the text columns of `group_report()`; additional
    /// columns are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if a column is missing or malformed.
    pub fn from_columns(columns: &[&str]) -> Result<Self, ReportError> {
        let [target, role, term, last, applied, primary, ..] = columns else {
            return Err(ReportError::ColumnCount {
                expected: Self::COLUMNS.len(),
                found: columns.len(),
            });
        };
        Ok(Self {
            target: parse_name("target", target)?,
            role: parse_unit("role", role)?,
            term: parse_unit("term", term)?,
            last: parse_unit("last", last)?,
            applied: parse_unit("applied", applied)?,
            primary: match *primary {
                "" => None,
                name => Some(parse_name("primary", name)?),
            },
        })
    }

    /// Returns the last position of the server if the server is in `term` and
    /// its last entry is of that term.
    #[must_use]
    pub fn held_in(&self, term: LeaderTerm) -> Option<LogPosition> {
        (self.term == term && self.last.term == term).then_some(self.last)
    }
}

fn parse_name(column: &'static str, text: &str) -> Result<TargetId, ReportError> {
    text.parse()
        .map_err(|source: IdError| ReportError::BadName { column, source })
}

fn parse_unit<T: FromStr<Err = UnitError>>(
    column: &'static str,
    text: &str,
) -> Result<T, ReportError> {
    text.parse()
        .map_err(|source| ReportError::BadUnit { column, source })
}
