use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::RoutePriority;

/// The expected wait of an arrival at a target for each of the three highest priorities, in
/// milliseconds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use mustardhinge_core::prelude::RoutePriority;
/// use mustardhinge_core::queue::PriorityWaits;
///
/// let waits = PriorityWaits::new([0, 40, 700].map(Duration::from_millis));
/// assert_eq!(waits.wait_of(RoutePriority::new(1)), Duration::from_millis(40));
/// assert_eq!(waits.wait_of(RoutePriority::new(9)), Duration::from_millis(700));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityWaits([u16; 3]);

impl PriorityWaits {
    /// The priorities whose wait is reported.
    pub const PRIORITIES: [RoutePriority; 3] = [
        RoutePriority::new(0),
        RoutePriority::new(1),
        RoutePriority::new(2),
    ];

    /// Creates the report of these waits.
    #[must_use]
    pub fn new(waits: [Duration; 3]) -> Self {
        Self(waits.map(|wait| u16::try_from(wait.as_millis()).unwrap_or(u16::MAX)))
    }

    /// Returns the expected wait of a priority. A lower priority than the reported ones waits at
    /// least as long as the lowest of these.
    #[must_use]
    pub fn wait_of(&self, priority: RoutePriority) -> Duration {
        let lowest = self.0.len() - 1;
        let index = usize::from(priority.get()).min(lowest);
        Duration::from_millis(self.0[index].into())
    }
}
