use std::fmt;

/// The phase of a failover, for status pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailoverPhase {
    /// No failover is in progress.
    Watching,
    /// A fault is detected; the agent waits for its rank delay or its retry
    /// backoff.
    BackingOff,
    /// The term is being claimed in the store.
    Claiming,
    /// Writes are being drained before a planned change of primary.
    Draining,
    /// The agent waits for a majority of the servers to grant the term.
    Fencing,
    /// A server is being promoted.
    Promoting,
}

impl FailoverPhase {
    /// Returns the metric label value of the phase.
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
