use std::time::Duration;

/// The preferences of a read router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterSettings {
    replica_wait: Duration,
    primary_wait: Duration,
    retry_after: Duration,
    spill_factor: u32,
}

impl RouterSettings {
    const DEFAULT_REPLICA_WAIT: Duration = Duration::from_millis(5);
    const DEFAULT_PRIMARY_WAIT: Duration = Duration::from_millis(500);
    const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
    const DEFAULT_SPILL_FACTOR: u32 = 4;

    /// Makes the default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            replica_wait: Self::DEFAULT_REPLICA_WAIT,
            primary_wait: Self::DEFAULT_PRIMARY_WAIT,
            retry_after: Self::DEFAULT_RETRY_AFTER,
            spill_factor: Self::DEFAULT_SPILL_FACTOR,
        }
    }

    /// Sets how long a read waits for a replica before it goes to the primary.
    #[must_use]
    pub const fn replica_wait(mut self, wait: Duration) -> Self {
        self.replica_wait = wait;
        self
    }

    /// Sets how long a read waits for any target, the primary included, before
    /// it is refused.
    #[must_use]
    pub const fn primary_wait(mut self, wait: Duration) -> Self {
        self.primary_wait = wait;
        self
    }

    /// Sets when a refused read should come back.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = delay;
        self
    }

    /// Sets how many statements per slot a replica takes before reads go to
    /// the primary instead.
    #[must_use]
    pub const fn spill_factor(mut self, factor: u32) -> Self {
        self.spill_factor = factor;
        self
    }

    /// Returns how long a read waits for a replica.
    #[must_use]
    pub const fn get_replica_wait(&self) -> Duration {
        self.replica_wait
    }

    /// Returns how long a read waits for any target.
    #[must_use]
    pub const fn get_primary_wait(&self) -> Duration {
        self.primary_wait
    }

    /// Returns when a refused read should come back.
    #[must_use]
    pub const fn get_retry_after(&self) -> Duration {
        self.retry_after
    }

    /// Returns how many statements per slot a replica takes.
    #[must_use]
    pub const fn get_spill_factor(&self) -> u32 {
        self.spill_factor
    }
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self::new()
    }
}
