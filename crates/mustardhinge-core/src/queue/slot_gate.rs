/// Bounds the statements in flight at one target.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::queue::SlotGate;
///
/// let mut gate = SlotGate::new(1);
/// assert!(gate.try_take());
/// assert!(!gate.try_take());
/// gate.release();
/// assert!(gate.try_take());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SlotGate {
    limit: u32,
    taken: u32,
}

impl SlotGate {
    /// Makes a gate for `limit` statements at once.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self { limit, taken: 0 }
    }

    /// Takes a slot if one is free.
    #[must_use]
    pub const fn try_take(&mut self) -> bool {
        if self.taken >= self.limit {
            return false;
        }
        self.taken += 1;
        true
    }

    /// Gives a slot back.
    pub const fn release(&mut self) {
        self.taken = self.taken.saturating_sub(1);
    }

    /// Changes the limit; statements above a lower one run to their end.
    pub const fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of slots that are free.
    #[must_use]
    pub const fn get_free(&self) -> u32 {
        self.limit.saturating_sub(self.taken)
    }
}
