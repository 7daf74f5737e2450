use std::time::Duration;

use crate::outcome::RetryDelay;
use crate::units::RoutePriority;

/// Part of the delay by which the lowest priorities are spread at most, as a divisor.
const LOWEST_DIVISOR: u32 = 4;

/// Spreads the retry delays of refused callers, so that they don't all return at the same moment.
///
/// The delay is only ever lengthened: before its end, there is no room for the caller. Higher
/// priorities are spread less: by at most a sixteenth for priority 0, an eighth for 1, and a
/// quarter for all others.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use mustardhinge_core::prelude::{RetryDelay, RoutePriority};
/// use mustardhinge_core::queue::RetryJitter;
///
/// let delay = RetryDelay::new(Duration::from_millis(160));
/// let spread = RetryJitter::spread(delay, RoutePriority::new(1), u16::MAX);
/// assert!((179..=180).contains(&spread.get().as_millis()));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryJitter;

impl RetryJitter {
    /// Returns the delay of one caller, which draws a number from the whole range of `draw`.
    #[must_use]
    pub fn spread(delay: RetryDelay, priority: RoutePriority, draw: u16) -> RetryDelay {
        let steps = 2_u32.saturating_sub(priority.get().into());
        let widest: Duration = delay.get() / (LOWEST_DIVISOR << steps);
        let fraction = f64::from(draw) / f64::from(u16::MAX);
        RetryDelay::new(delay.get() + widest.mul_f64(fraction))
    }
}
