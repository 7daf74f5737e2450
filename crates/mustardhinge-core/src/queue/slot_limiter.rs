/// Bounds the statements in flight at one target.
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
    /// Makes a gate for `limit` statements at once.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self { limit, in_use: 0 }
    }

    /// Takes a slot if one is free.
    #[must_use]
    pub const fn try_acquire(&mut self) -> bool {
        if self.in_use >= self.limit {
            return false;
        }
        self.in_use += 1;
        true
    }

    /// Gives a slot back.
    pub const fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Changes the limit; statements above a lower one run to their end.
    pub const fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of slots that are free.
    #[must_use]
    pub const fn get_free(&self) -> u32 {
        self.limit.saturating_sub(self.in_use)
    }
}
