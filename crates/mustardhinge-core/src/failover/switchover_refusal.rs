use std::fmt;

/// Why a planned switchover does not take place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SwitchoverRefusal {
    /// The group has no primary that could hand over.
    NoPrimary,
    /// A change of primary is under way.
    ChangeUnderWay,
    /// The successor is no replica of the primary, or no replica answers.
    NoSuccessor,
    /// The writes under way or the successor's log did not end in time.
    DrainTimedOut,
    /// The servers did not grant the new term, or the promotion failed.
    Interrupted,
}

impl SwitchoverRefusal {
    /// Returns the label value of the reason.
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
