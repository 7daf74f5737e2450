use std::time::Duration;

/// The bounds of a queue, built by value.
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
    /// Waiting items, unless set.
    const DEFAULT_CAPACITY: usize = 256;
    /// Cost that a customer's turn is worth, unless set.
    const DEFAULT_QUANTUM: u32 = 1;
    /// Statements that run at once, unless set.
    const DEFAULT_SLOTS: u32 = 1;
    /// Service time of a unit of cost before any was seen, unless set.
    const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);

    /// Starts from the defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            capacity: Self::DEFAULT_CAPACITY,
            quantum: Self::DEFAULT_QUANTUM,
            slots: Self::DEFAULT_SLOTS,
            initial_service_time: Self::DEFAULT_SERVICE_TIME,
        }
    }

    /// Sets the greatest number of waiting items.
    #[must_use]
    pub const fn capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets the cost that one turn of a customer is worth; at least 1.
    #[must_use]
    pub const fn quantum(mut self, quantum: u32) -> Self {
        self.quantum = if quantum == 0 { 1 } else { quantum };
        self
    }

    /// Sets the number of statements that run at once; at least 1.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = if slots == 0 { 1 } else { slots };
        self
    }

    /// Sets the service time of a unit of cost that is assumed at first.
    #[must_use]
    pub const fn initial_service_time(mut self, time: Duration) -> Self {
        self.initial_service_time = time;
        self
    }

    /// Returns the greatest number of waiting items.
    #[must_use]
    pub const fn get_capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the cost that one turn of a customer is worth.
    #[must_use]
    pub const fn get_quantum(&self) -> u32 {
        self.quantum
    }

    /// Returns the number of statements that run at once.
    #[must_use]
    pub const fn get_slots(&self) -> u32 {
        self.slots
    }

    /// Returns the service time that is assumed at first.
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
