use std::time::Duration;

use super::DrainPhase;
use crate::units::MonotonicTime;

/// How long new callers are still accepted after a planned stop is announced. The platform needs
/// this long to stop sending them.
const ANNOUNCE_DURATION: Duration = Duration::from_millis(1_500);
/// Time before the end of the grace period at which requests get their final answer, so that it is
/// sent before the process is killed.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time for these answers to be sent; the process ends after it in any case.
const FLUSH_DURATION: Duration = Duration::from_millis(200);
/// How long the platform may send new callers to an instance that is not ready: it takes the instance
/// out of rotation after two probes without success, one second apart.
const ROTATION_DELAY: Duration = Duration::from_millis(2_200);

/// The phases of a planned stop, and which requests it still takes.
///
/// Failure: an instance that stops takes a request that its target can't finish before the process
/// ends. The caller gets no answer, although another instance could have served it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mustardhinge_core::membership::{DrainPhase, DrainSchedule};
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let at = MonotonicTime::from_millis;
/// let schedule = DrainSchedule::new(at(1_000), Duration::from_secs(6));
/// assert_eq!(schedule.phase(at(2_000)), DrainPhase::Announced);
/// assert!(schedule.may_take(Duration::from_secs(1), at(5_500)));
/// assert!(!schedule.may_take(Duration::from_secs(3), at(5_500)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    began_at: MonotonicTime,
    grace: Duration,
}

impl DrainSchedule {
    /// Creates the schedule of a stop that began at `began_at` and has to end within `grace`.
    #[must_use]
    pub const fn new(began_at: MonotonicTime, grace: Duration) -> Self {
        Self { began_at, grace }
    }

    /// Shortens the grace period. A longer one than before has no effect.
    #[must_use]
    pub fn with_grace(self, grace: Duration) -> Self {
        Self {
            grace: self.grace.min(grace),
            ..self
        }
    }

    /// Returns the phase at `now`.
    ///
    /// Transactions have half of the grace period to end. New requests are refused after three
    /// quarters of it, and a margin remains for the last answers.
    #[must_use]
    pub fn phase(&self, now: MonotonicTime) -> DrainPhase {
        let half = self.grace / 2;
        match now.saturating_since(self.began_at) {
            _ if now >= self.finishing_at() => DrainPhase::Finishing,
            elapsed if elapsed >= half + half / 2 => DrainPhase::Refusing,
            elapsed if elapsed >= half => DrainPhase::Ending,
            elapsed if elapsed >= ANNOUNCE_DURATION => DrainPhase::Closing,
            _ => DrainPhase::Announced,
        }
    }

    /// Returns when requests without a response get their final answer.
    #[must_use]
    pub fn finishing_at(&self) -> MonotonicTime {
        self.began_at + self.grace.saturating_sub(END_MARGIN)
    }

    /// Returns until when the listener stays open even if the instance has no work.
    #[must_use]
    pub fn intake_until(&self) -> MonotonicTime {
        self.began_at + ROTATION_DELAY
    }

    /// Returns when the process ends, whatever is left.
    #[must_use]
    pub fn ends_at(&self) -> MonotonicTime {
        self.finishing_at() + FLUSH_DURATION
    }

    /// Returns whether a request that may take up to `longest` can be taken at `now`.
    ///
    /// In the first half of the grace period, while callers move to other instances, all requests
    /// are taken. After it, their response has to be certain.
    #[must_use]
    pub fn may_take(&self, longest: Duration, now: MonotonicTime) -> bool {
        let elapsed = now.saturating_since(self.began_at);
        elapsed < self.grace / 2 || now + longest <= self.finishing_at()
    }
}
