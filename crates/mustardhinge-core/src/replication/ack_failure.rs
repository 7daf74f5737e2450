use std::fmt;

/// Why it is not known whether a committed write lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AckFailure {
    /// Too many servers have left the write's term.
    TermSuperseded,
    /// No majority reported the write in time.
    TimedOut,
}

impl AckFailure {
    /// Returns the label value of the reason.
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
