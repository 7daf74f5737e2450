use std::ops::Add;
use std::time::Duration;

/// The slot time that a statement is expected to occupy, in microseconds; at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotCost(u32);

impl SlotCost {
    /// Creates the cost of a statement that occupies a slot for this long.
    #[must_use]
    pub fn new(slot_time: Duration) -> Self {
        Self(u32::try_from(slot_time.as_micros()).map_or(u32::MAX, |micros| micros.max(1)))
    }

    /// Returns the slot time in microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u32 {
        self.0
    }
}

impl Add for SlotCost {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
