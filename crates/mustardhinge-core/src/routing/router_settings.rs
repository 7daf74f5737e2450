use std::time::Duration;

/// Settings of a [`ReadRouter`](super::ReadRouter).
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

    /// Creates the default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            replica_wait: Self::DEFAULT_REPLICA_WAIT,
            primary_wait: Self::DEFAULT_PRIMARY_WAIT,
            retry_after: Self::DEFAULT_RETRY_AFTER,
            spill_factor: Self::DEFAULT_SPILL_FACTOR,
        }
    }

    /// Sets how long a read waits for a replica before it is routed to the primary.
    #[must_use]
    pub const fn replica_wait(mut self, wait: Duration) -> Self {
        self.replica_wait = wait;
        self
    }

    /// Sets how long a read waits for any target, including the primary, before
    /// it is refused.
    #[must_use]
    pub const fn primary_wait(mut self, wait: Duration) -> Self {
        self.primary_wait = wait;
        self
    }

    /// Sets the delay after which a refused read should be retried.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = delay;
        self
    }

    /// Sets the number of statements per slot at which a target counts as
    /// overloaded and reads spill over from replicas to the primary.
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

    /// Returns the delay after which a refused read should be retried.
    #[must_use]
    pub const fn get_retry_after(&self) -> Duration {
        self.retry_after
    }

    /// Returns the number of statements per slot at which a target counts as overloaded.
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
