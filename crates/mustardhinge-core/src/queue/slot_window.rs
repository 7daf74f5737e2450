use std::time::Duration;

use crate::units::MonotonicTime;

/// Factor that shrinks the window after a slow response.
const SLOW_FACTOR: f64 = 0.8;
/// Factor that shrinks the window after the target refused a statement.
const REFUSAL_FACTOR: f64 = 0.5;
/// Maximum window as a multiple of the target's slots: with this window, a single instance
/// already sends several times the statements that the target can run.
const MAX_WINDOW_PER_SLOT: f64 = 4.0;

/// Limits the statements that one instance has in flight at one target, by additive increase and
/// multiplicative decrease.
///
/// Load pattern: several instances share the few slots of a target without coordination, and
/// together send more than it can run. Statements that wait at the target can be neither
/// reordered nor refused. Each instance therefore halves its window when the target refuses a
/// statement, shrinks it after slow responses, and grows it by one per window of fast responses,
/// as TCP congestion control does.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use mustardhinge_core::prelude::MonotonicTime;
/// use mustardhinge_core::queue::SlotWindow;
///
/// let mut window = SlotWindow::new(4);
/// window.record_refusal(Duration::from_millis(10), MonotonicTime::from_millis(100));
/// assert_eq!(window.size(), 2);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SlotWindow {
    size: f64,
    max_size: f64,
    shrunk_at: Option<MonotonicTime>,
}

impl SlotWindow {
    /// Creates a window for a target that runs `slots` concurrent statements.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        // The number of slots is small enough for an exact conversion.
        let slots = slots.max(1) as f64;
        Self {
            size: slots,
            max_size: slots * MAX_WINDOW_PER_SLOT,
            shrunk_at: None,
        }
    }

    /// Records a response that took `latency` while `in_flight` statements were at the target. A
    /// response that takes longer than `slow_after` shrinks the window.
    pub fn record_response(
        &mut self,
        (latency, slow_after): (Duration, Duration),
        in_flight: usize,
        now: MonotonicTime,
    ) {
        if latency > slow_after {
            self.shrink(SLOW_FACTOR, latency, now);
        } else if in_flight >= self.size() {
            self.size = (self.size + 1.0 / self.size).min(self.max_size);
        }
    }

    /// Records that the target refused a statement because it was full; `typical_latency` is the
    /// usual time of a response.
    pub fn record_refusal(&mut self, typical_latency: Duration, now: MonotonicTime) {
        self.shrink(REFUSAL_FACTOR, typical_latency, now);
    }

    /// Returns the maximum number of statements in flight, at least 1.
    #[must_use]
    pub fn size(&self) -> usize {
        // The size is small and at least one.
        self.size as usize
    }

    /// Shrinks the window, at most once per `min_interval`, so that statements that waited in the
    /// same queue at the target count once.
    fn shrink(&mut self, factor: f64, min_interval: Duration, now: MonotonicTime) {
        let is_new = self
            .shrunk_at
            .is_none_or(|at| now.saturating_since(at) >= min_interval);
        if is_new {
            self.size = (self.size * factor).max(1.0);
            self.shrunk_at = Some(now);
        }
    }
}
