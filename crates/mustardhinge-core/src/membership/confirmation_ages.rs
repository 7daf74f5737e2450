use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::StorePart;

/// The ages of the last confirmations of an instance's copies, in milliseconds on the wire; none for
/// a part that was never confirmed.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationAges {
    /// The age for the configuration.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub plan: Option<Duration>,
    /// The age for the list of targets.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub targets: Option<Duration>,
    /// The age for the set of evacuated zones.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub evacuations: Option<Duration>,
}

impl ConfirmationAges {
    /// Returns the age for a part.
    #[must_use]
    pub const fn of(&self, part: StorePart) -> Option<Duration> {
        match part {
            StorePart::Plan => self.plan,
            StorePart::Targets => self.targets,
            StorePart::Evacuations => self.evacuations,
        }
    }
}
