use std::sync::atomic::{AtomicU64, Ordering};

/// Lines of one event that are written in one second: enough to follow each request on a usual
/// day, and few enough that a flood costs a small part of a core.
pub const LINES_PER_SECOND: u64 = 200;

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// It is, and tells how many lines of its event were left out before.
    Write {
        /// Lines left out since the last one that was written.
        omitted: u64,
    },
    /// It is left out and counted.
    Omit,
}

/// Bounds the lines of one event in each second.
///
/// # Examples
///
/// ```
/// use mustardhinge_process::event::{LINES_PER_SECOND, LineLimiter, LineVerdict};
///
/// let limiter = LineLimiter::default();
/// for _ in 0..LINES_PER_SECOND {
///     assert_eq!(limiter.admit(7), LineVerdict::Write { omitted: 0 });
/// }
/// assert_eq!(limiter.admit(7), LineVerdict::Omit);
/// assert_eq!(limiter.admit(8), LineVerdict::Write { omitted: 1 });
/// ```
#[derive(Debug, Default)]
pub struct LineLimiter {
    second: AtomicU64,
    written: AtomicU64,
    omitted: AtomicU64,
}

impl LineLimiter {
    /// Decides on a line that comes in `second`, counted from any fixed time.
    pub fn admit(&self, second: u64) -> LineVerdict {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        if self.written.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND {
            let omitted = self.omitted.swap(0, Ordering::Relaxed);
            return LineVerdict::Write { omitted };
        }
        self.omitted.fetch_add(1, Ordering::Relaxed);
        LineVerdict::Omit
    }
}
