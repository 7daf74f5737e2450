use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of replicas that must have received a commit before its primary acknowledges it.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::primary_lease::ConfirmingReplicas;
///
/// let confirming: ConfirmingReplicas = "1".parse().unwrap();
/// assert!(!confirming.is_none());
/// assert!(ConfirmingReplicas::NONE.is_none());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfirmingReplicas(usize);

impl ConfirmingReplicas {
    /// The primary acknowledges alone.
    pub const NONE: Self = Self(0);

    /// Creates the number.
    #[must_use]
    pub const fn new(count: usize) -> Self {
        Self(count)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> usize {
        self.0
    }

    /// Returns whether the primary acknowledges alone.
    #[must_use]
    pub const fn is_none(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for ConfirmingReplicas {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ConfirmingReplicas {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
