use std::time::Duration;

/// How often the control looks after things that have no event of their own.
const TICK: Duration = Duration::from_millis(100);
/// The same while the use of a primary ends.
const FAST_TICK: Duration = Duration::from_millis(20);

/// When an instance's control has to look again, if nothing wakes it before.
///
/// Load pattern: thousands of instances in which nothing happens but the next question to the
/// holder; each look costs processor time on the smallest machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlPace {
    /// Whether the use of a primary ends here.
    pub is_closing: bool,
    /// Whether this instance holds the duty, and so watches over all groups.
    pub is_holder: bool,
    /// Whether something is open: a primary that can't be used, an answer of the holder that is
    /// missing, news to fetch.
    pub is_unsettled: bool,
    /// The time until the next question to the holder.
    pub ask_in: Duration,
}

impl ControlPace {
    /// Returns the pause until the next look. Leases outlast two questions, so none ends in the
    /// pause of an instance in which all is settled.
    #[must_use]
    pub fn pause(&self) -> Duration {
        if self.is_closing {
            FAST_TICK
        } else if self.is_holder || self.is_unsettled {
            TICK
        } else {
            self.ask_in.max(FAST_TICK)
        }
    }
}
