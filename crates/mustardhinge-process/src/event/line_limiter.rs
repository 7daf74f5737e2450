use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of lines written per second for one event.
///
/// The limit allows a line for each request under normal load, and a flood of lines uses only a
/// small fraction of a core.
pub const LINES_PER_SECOND: u64 = 200;

/// Whether a log line is written or omitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// The line is written and reports how many lines of its event were omitted before it.
    Write {
        /// Number of lines omitted since the last written line.
        omitted: u64,
    },
    /// The line is omitted and counted.
    Omit,
}

/// Limits the number of lines per second of one event.
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
    /// Decides whether a line logged in `second` is written.
    ///
    /// Seconds are counted from any fixed time.
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
