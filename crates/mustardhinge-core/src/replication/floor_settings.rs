use std::time::Duration;

/// The timeouts of a floor round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FloorSettings {
    timeout: Duration,
    straggler_wait: Duration,
}

impl FloorSettings {
    const DEFAULT_TIMEOUT: Duration = Duration::from_millis(500);
    const DEFAULT_STRAGGLER_WAIT: Duration = Duration::from_millis(2);

    /// Creates the default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            timeout: Self::DEFAULT_TIMEOUT,
            straggler_wait: Self::DEFAULT_STRAGGLER_WAIT,
        }
    }

    /// Sets the time within which a majority has to respond in a round.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets how long a round waits for the other servers once a majority has
    /// responded; more responses lower the floor.
    #[must_use]
    pub const fn straggler_wait(mut self, wait: Duration) -> Self {
        self.straggler_wait = wait;
        self
    }

    /// Returns the time within which a majority has to respond in a round.
    #[must_use]
    pub const fn get_timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns how long a round waits for the other servers once a majority has
    /// responded.
    #[must_use]
    pub const fn get_straggler_wait(&self) -> Duration {
        self.straggler_wait
    }
}

impl Default for FloorSettings {
    fn default() -> Self {
        Self::new()
    }
}
