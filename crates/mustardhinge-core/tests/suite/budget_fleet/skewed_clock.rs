//! A process's own clock.

use mustardhinge_core::prelude::MonotonicTime;

/// A clock that started at some other time and may run too fast or too slow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SkewedClock {
    /// What it shows at global time 0, in micros.
    pub(super) offset: u64,
    /// Its speed, in thousandths of the true one.
    pub(super) speed: u64,
}

impl SkewedClock {
    pub(super) const fn read(self, time: u64) -> MonotonicTime {
        MonotonicTime::from_micros(self.offset + time * self.speed / 1_000)
    }
}
