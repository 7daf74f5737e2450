use std::time::Duration;

use crate::units::MonotonicTime;

/// Maximum time for which a watch waits for a change. It is short compared to
/// [`StorePart::max_unconfirmed`](super::StorePart::max_unconfirmed), since an instance is only known
/// to be current when a watch ends.
const IDLE_WAIT: Duration = Duration::from_millis(1_000);
/// Wait of the first watch after a change: it returns at once.
const POLL_WAIT: Duration = Duration::from_millis(1);

/// Determines how long the watches of a part of the store wait, and what their responses confirm.
///
/// A watch that is open for long says nothing about the time since it was sent: its connection may be
/// dead.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mustardhinge_core::membership::WatchPacing;
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let at = MonotonicTime::from_millis;
/// let mut pacing = WatchPacing::default();
/// let wait = pacing.wait();
/// assert_eq!(pacing.record_response(true, at(5_000), at(6_003)), at(5_000) + wait);
/// assert_eq!(pacing.record_response(false, at(6_003), at(6_400)), at(6_003));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchPacing {
    follows_change: bool,
}

impl WatchPacing {
    /// Returns how long the next watch waits for a change.
    #[must_use]
    pub const fn wait(&self) -> Duration {
        if self.follows_change {
            POLL_WAIT
        } else {
            IDLE_WAIT
        }
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
        let wait = self.wait();
        self.follows_change = !is_idle;
        if is_idle {
            (sent_at + wait).min(now)
        } else {
            sent_at
        }
    }
}
