use std::time::Duration;

/// How often the control looks after things that have no event of their own.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(100);
/// The same while the use of a primary ends.
const CLOSING_INTERVAL: Duration = Duration::from_millis(20);

/// When an instance's control has to look again, if nothing wakes it before.
///
/// Load pattern: thousands of instances in which nothing happens but the next question to the
/// holder; each look costs processor time on the smallest machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlSchedule {
    /// Whether the use of a primary ends here.
    pub is_closing: bool,
    /// Whether this instance holds the duty, and so watches over all groups.
    pub is_leader: bool,
    /// Whether something is open: a primary that can't be used, an answer of the holder that is
    /// missing, news to fetch.
    pub has_pending: bool,
    /// The time until the next question to the holder.
    pub next_request_in: Duration,
}

impl ControlSchedule {
    /// Returns the pause until the next look. Leases outlast two questions, so none ends in the
    /// pause of an instance in which all is settled.
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
