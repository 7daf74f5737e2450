use std::time::Duration;

use crate::units::MonotonicTime;

/// What is left of a window after an answer that took too long.
const SLOW_FACTOR: f64 = 0.8;
/// What is left of it after the target turned a statement away.
const REFUSAL_FACTOR: f64 = 0.5;
/// Greatest window, as a multiple of the target's slots: beyond that an instance alone keeps
/// the target busy several times over.
const MAX_WINDOW_PER_SLOT: f64 = 4.0;

/// How many statements one instance sends to one target at a time.
///
/// Load pattern: several instances share the few slots of a target unseen by one another, and
/// together send more than it can do. Statements that wait at the target can't be ordered,
/// nor refused; so each instance halves its window when the target turns a statement away,
/// shrinks it when answers take too long, and widens it by one for each window of good
/// answers, as flows do on a shared link.
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
    /// Makes the window of a target that runs `slots` statements at once.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        // Slots are few.
        let slots = slots.max(1) as f64;
        Self {
            size: slots,
            max_size: slots * MAX_WINDOW_PER_SLOT,
            shrunk_at: None,
        }
    }

    /// Takes an answer that took `took`, of which up to `slow_after` is well, while `in_flight`
    /// statements were at the target.
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

    /// Takes that the target turned a statement away, being full; answers usually take
    /// `typical_latency`.
    pub fn record_refusal(&mut self, typical_latency: Duration, now: MonotonicTime) {
        self.shrink(REFUSAL_FACTOR, typical_latency, now);
    }

    /// Returns the statements that may be at the target at once; at least one.
    #[must_use]
    pub fn size(&self) -> usize {
        // The size is small and at least one.
        self.size as usize
    }

    /// Shrinks it, once for all statements that met the same queue at the target.
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
