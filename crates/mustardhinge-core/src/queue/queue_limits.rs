use std::time::Duration;

/// Limits of a [`FairQueue`](super::FairQueue).
///
/// # Examples
///
/// ```
/// use mustardhinge_core::queue::QueueLimits;
///
/// let limits = QueueLimits::new().capacity(64).slots(2);
/// assert_eq!(limits.get_capacity(), 64);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    capacity: usize,
    quantum: u32,
    slots: u32,
    initial_service_time: Duration,
}

impl QueueLimits {
    /// Maximum number of waiting items.
    const DEFAULT_CAPACITY: usize = 256;
    /// Cost that a customer is served per round.
    const DEFAULT_QUANTUM: u32 = 1;
    /// Number of concurrent statements.
    const DEFAULT_SLOTS: u32 = 1;
    /// Assumed service time per unit of cost before the first measurement.
    const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);

    /// Creates the default limits.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            capacity: Self::DEFAULT_CAPACITY,
            quantum: Self::DEFAULT_QUANTUM,
            slots: Self::DEFAULT_SLOTS,
            initial_service_time: Self::DEFAULT_SERVICE_TIME,
        }
    }

    /// Sets the maximum number of waiting items.
    #[must_use]
    pub const fn capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets the quantum, the cost that a customer is served per round; at least 1.
    #[must_use]
    pub const fn quantum(mut self, quantum: u32) -> Self {
        self.quantum = if quantum == 0 { 1 } else { quantum };
        self
    }

    /// Sets the number of concurrent statements, at least 1.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = if slots == 0 { 1 } else { slots };
        self
    }

    /// Sets the assumed service time per unit of cost before the first measurement.
    #[must_use]
    pub const fn initial_service_time(mut self, time: Duration) -> Self {
        self.initial_service_time = time;
        self
    }

    /// Returns the maximum number of waiting items.
    #[must_use]
    pub const fn get_capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the quantum, the cost that a customer is served per round.
    #[must_use]
    pub const fn get_quantum(&self) -> u32 {
        self.quantum
    }

    /// Returns the number of concurrent statements.
    #[must_use]
    pub const fn get_slots(&self) -> u32 {
        self.slots
    }

    /// Returns the assumed service time per unit of cost before the first measurement.
    #[must_use]
    pub const fn get_initial_service_time(&self) -> Duration {
        self.initial_service_time
    }
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self::new()
    }
}
