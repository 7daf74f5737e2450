use std::time::Duration;

/// Part of the earlier measurements that is kept with each new one.
const KEPT: f64 = 15.0 / 16.0;
/// Wait that is added to both sums, in seconds, so that a few short waits don't change the factor.
const PRIOR: f64 = 0.05;
/// Maximum factor, so that a pause of the process doesn't refuse everything afterwards.
const MAX_FACTOR: f64 = 4.0;

/// How much longer the items of one priority wait than was expected when they arrived.
///
/// The expected wait counts what is queued at the arrival. Under lasting overload, later arrivals
/// of other customers take their turns before it, and connections may be scarce.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitBias {
    expected: f64,
    actual: f64,
}

impl WaitBias {
    /// Records the wait of an item that left the queue.
    pub(crate) fn record(&mut self, expected: Duration, actual: Duration) {
        self.expected = self.expected * KEPT + expected.as_secs_f64();
        self.actual = self.actual * KEPT + actual.as_secs_f64();
    }

    /// Returns the factor by which to multiply an expected wait, at least 1.
    pub(crate) fn factor(&self) -> f64 {
        ((self.actual + PRIOR) / (self.expected + PRIOR)).clamp(1.0, MAX_FACTOR)
    }
}
