//! The clock of a process.

use mustardhinge_core::prelude::MonotonicTime;

/// A clock with an offset and a speed of its own.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SkewedClock {
    /// The reading at global time 0, in microseconds.
    pub(super) offset: u64,
    /// The speed, in thousandths of the true speed.
    pub(super) speed: u64,
}

impl SkewedClock {
    pub(super) const fn read(self, time: u64) -> MonotonicTime {
        MonotonicTime::from_micros(self.offset + time * self.speed / 1_000)
    }
}
