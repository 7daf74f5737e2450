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

    /// Returns the maximum age of the leader's confirmation up to which an instance that watches the
    /// store for others keeps a long watch open.
    ///
    /// The leader's confirmations are up to 1.6 s old, if no message is lost. Those that depend on the
    /// instance ask it after [`query_age`](Self::query_age).
    #[must_use]
    pub const fn max_leader_age(self) -> Duration {
        match self {
            Self::Plan | Self::Evacuations => Duration::from_millis(1_800),
            Self::Targets => Duration::from_millis(3_600),
        }
    }

    /// Returns the age of a confirmation from which on another instance is asked for a newer one.
    ///
    /// A change that this shows is fetched before [`max_unconfirmed`](Self::max_unconfirmed).
    #[must_use]
    pub const fn query_age(self) -> Duration {
        match self {
            Self::Plan | Self::Evacuations => Duration::from_millis(2_000),
            Self::Targets => Duration::from_millis(4_000),
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
