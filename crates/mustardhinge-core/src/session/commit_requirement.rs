use crate::units::{LogPosition, MonotonicTime};

/// What a read has to see at a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitRequirement {
    /// All writes that were acknowledged before this time.
    pub since: MonotonicTime,
    /// The log up to this position as well, if the session's last commit is known.
    pub position: Option<LogPosition>,
}
