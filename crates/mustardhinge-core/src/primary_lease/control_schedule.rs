use std::time::Duration;

/// Interval of the control loop for work that has no wake-up event.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the control loop while this instance stops using a primary.
const CLOSING_INTERVAL: Duration = Duration::from_millis(20);

/// Determines when an instance's control loop runs next, unless an event wakes it earlier.
///
/// Load pattern: thousands of instances are idle except for their periodic lease requests; each
/// iteration costs processor time on the smallest machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlSchedule {
    /// Whether this instance is ending its use of a primary.
    pub is_closing: bool,
    /// Whether this instance is the leader and so monitors all groups.
    pub is_leader: bool,
    /// Whether work is pending: a primary is unusable, a response of the leader is overdue, or
    /// newer state is available.
    pub has_pending: bool,
    /// The time until the next request to another instance.
    pub next_request_in: Duration,
}

impl ControlSchedule {
    /// Returns the delay until the next iteration.
    ///
    /// A lease lasts longer than two request intervals, so no lease expires during the delay of
    /// an idle instance.
    #[must_use]
    pub fn delay(&self) -> Duration {
        if self.is_closing {
            CLOSING_INTERVAL
        } else if self.is_leader || self.has_pending {
            ACTIVE_INTERVAL
        } else {
            self.next_request_in.max(CLOSING_INTERVAL)
        }
    }
}
