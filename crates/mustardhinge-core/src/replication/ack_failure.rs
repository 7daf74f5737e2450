use std::fmt;

/// The reason why the durability of a committed write is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AckFailure {
    /// Too many servers have left the write's term for a majority to hold the
    /// write in it.
    TermSuperseded,
    /// No majority reported the write before the timeout.
    TimedOut,
}

impl AckFailure {
    /// Returns the metric label value of the reason.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::TermSuperseded => "term_superseded",
            Self::TimedOut => "timed_out",
        }
    }
}

impl fmt::Display for AckFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
