use std::fmt;

/// The reason for rejecting or abandoning a planned switchover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SwitchoverRefusal {
    /// The group has no primary that can hand over.
    NoPrimary,
    /// A change of primary is in progress.
    ChangeUnderWay,
    /// The requested successor is not a replica of the primary, or no replica
    /// is available.
    NoSuccessor,
    /// The in-flight writes did not end, or the successor did not catch up, in
    /// time.
    DrainTimedOut,
    /// The servers did not grant the new term, or the promotion failed.
    Interrupted,
}

impl SwitchoverRefusal {
    /// Returns the metric label value of the reason.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoPrimary => "no_primary",
            Self::ChangeUnderWay => "change_under_way",
            Self::NoSuccessor => "no_successor",
            Self::DrainTimedOut => "drain_timed_out",
            Self::Interrupted => "interrupted",
        }
    }
}

impl fmt::Display for SwitchoverRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
