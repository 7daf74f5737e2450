use std::fmt;

/// How far a change of primary is, for status pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailoverPhase {
    /// No change is under way.
    Watching,
    /// A fault is seen; agents of a better rank go first.
    BackingOff,
    /// The term is being claimed in the store.
    Claiming,
    /// Writes are being drained before a switchover.
    Draining,
    /// The servers are being asked for the term.
    Fencing,
    /// A server is being made the primary.
    Promoting,
}

impl FailoverPhase {
    /// Returns the label value of the phase.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Watching => "watching",
            Self::BackingOff => "backing_off",
            Self::Claiming => "claiming",
            Self::Draining => "draining",
            Self::Fencing => "fencing",
            Self::Promoting => "promoting",
        }
    }
}

impl fmt::Display for FailoverPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
