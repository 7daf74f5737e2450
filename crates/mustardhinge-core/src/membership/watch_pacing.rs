use std::time::Duration;

use super::StorePart;
use crate::units::MonotonicTime;

/// Maximum time for which a watch waits for a change if other instances depend on its response, or if
/// nothing else confirms the copy. It is short compared to [`StorePart::max_unconfirmed`].
const CONFIRMING_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum time for which a watch waits while the leader confirms the copy.
const CONFIRMED_WAIT: Duration = Duration::from_millis(10_000);
/// Wait of the first watch after a change or a watch that was given up: it returns at once.
const POLL_WAIT: Duration = Duration::from_millis(1);

/// Determines how long the watches of a part of the store wait, and what their responses confirm.
///
/// A watch that is open for long says nothing about the time since it was sent: its connection may be
/// dead. So the leader's watches, which confirm the copies of all instances, end often.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mustardhinge_core::membership::{StorePart, WatchPacing};
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let at = MonotonicTime::from_millis;
/// let mut pacing = WatchPacing::new(StorePart::Plan);
/// let wait = pacing.begin(false);
/// assert_eq!(pacing.record_response(true, at(5_000), at(6_003)), at(5_000) + wait);
/// assert_eq!(pacing.record_response(false, at(6_003), at(6_400)), at(6_003));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPacing {
    part: StorePart,
    polls_next: bool,
    wait: Duration,
}

impl WatchPacing {
    /// Creates the pacing of the watches of a part.
    #[must_use]
    pub const fn new(part: StorePart) -> Self {
        Self {
            part,
            polls_next: false,
            wait: Duration::ZERO,
        }
    }

    /// Begins a watch and returns how long it waits for a change. `is_confirmed` says that the leader
    /// confirms the copy and that no other instance depends on this one for that.
    pub fn begin(&mut self, is_confirmed: bool) -> Duration {
        self.wait = if self.polls_next {
            POLL_WAIT
        } else if is_confirmed {
            CONFIRMED_WAIT
        } else {
            match self.part {
                StorePart::Plan | StorePart::Evacuations => CONFIRMING_WAIT,
                StorePart::Targets => CONFIRMING_WAIT * 2,
            }
        };
        self.wait
    }

    /// Makes the next watch return at once, after one that was given up.
    pub const fn poll_next(&mut self) {
        self.polls_next = true;
    }

    /// Records the response to a watch that was sent at `sent_at`. Returns the time up to which it
    /// shows all changes.
    ///
    /// Without changes, the store has waited before it responded. A response with changes may have
    /// been delayed on its way.
    pub fn record_response(
        &mut self,
        is_idle: bool,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> MonotonicTime {
        self.polls_next = !is_idle;
        if is_idle {
            (sent_at + self.wait).min(now)
        } else {
            sent_at
        }
    }
}
