/// Limits the number of statements in flight at one target.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::queue::SlotLimiter;
///
/// let mut slots = SlotLimiter::new(1);
/// assert!(slots.try_acquire());
/// assert!(!slots.try_acquire());
/// slots.release();
/// assert!(slots.try_acquire());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SlotLimiter {
    limit: u32,
    in_use: u32,
}

impl SlotLimiter {
    /// Creates a limiter for `limit` concurrent statements.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self { limit, in_use: 0 }
    }

    /// Acquires a slot if one is free.
    #[must_use]
    pub const fn try_acquire(&mut self) -> bool {
        if self.in_use >= self.limit {
            return false;
        }
        self.in_use += 1;
        true
    }

    /// Releases a slot.
    pub const fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Changes the limit; statements that exceed a lower limit run to completion.
    pub const fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of free slots.
    #[must_use]
    pub const fn get_free(&self) -> u32 {
        self.limit.saturating_sub(self.in_use)
    }
}
