use std::time::Instant;

use mustardhinge_core::prelude::MonotonicTime;

/// Monotonic clock of this process. Copies share the same start time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        let micros = self.start.elapsed().as_micros();
        MonotonicTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
