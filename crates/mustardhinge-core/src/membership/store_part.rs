use std::fmt;
use std::time::Duration;

/// A part of the store's content of which each instance keeps a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StorePart {
    /// The configuration.
    Plan,
    /// The list of targets.
    Targets,
    /// The set of evacuated zones.
    Evacuations,
}

impl StorePart {
    /// All parts.
    pub const ALL: [Self; 3] = [Self::Plan, Self::Targets, Self::Evacuations];

    /// Returns the name in log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Plan => "configuration",
            Self::Targets => "targets",
            Self::Evacuations => "evacuations",
        }
    }

    /// Returns the maximum time for which a copy may go without a confirmation that it is current.
    ///
    /// A change that was acknowledged later than the last confirmation is read from the store after
    /// this time at the latest. It is half a second less than the time within which a configuration
    /// has to take effect. Targets have more time: they serve for several seconds after they have
    /// announced that they leave.
    #[must_use]
    pub const fn max_unconfirmed(self) -> Duration {
        match self {
            Self::Plan | Self::Evacuations => Duration::from_millis(2_500),
            Self::Targets => Duration::from_millis(5_000),
        }
    }
}

impl fmt::Display for StorePart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
