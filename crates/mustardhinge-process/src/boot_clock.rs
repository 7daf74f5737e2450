use mustardhinge_core::prelude::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// Clock of the time since the machine booted, including the time that it was suspended.
///
/// Leases are timed by this clock so that they expire while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let micros = u64::try_from(time.tv_nsec / 1_000).unwrap_or(0);
        MonotonicTime::from_micros(seconds * 1_000_000 + micros)
    }
}
