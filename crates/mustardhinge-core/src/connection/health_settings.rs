use std::time::Duration;

/// Timeouts of a connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthSettings {
    open_timeout: Duration,
    validation_timeout: Duration,
    response_timeout: Duration,
    idle_limit: Duration,
}

impl HealthSettings {
    const DEFAULT_OPEN_TIMEOUT: Duration = Duration::from_millis(250);
    const DEFAULT_VALIDATION_TIMEOUT: Duration = Duration::from_millis(100);
    const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
    const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(500);

    /// Creates settings with the default timeouts.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            open_timeout: Self::DEFAULT_OPEN_TIMEOUT,
            validation_timeout: Self::DEFAULT_VALIDATION_TIMEOUT,
            response_timeout: Self::DEFAULT_RESPONSE_TIMEOUT,
            idle_limit: Self::DEFAULT_IDLE_LIMIT,
        }
    }

    /// Sets the timeout for opening a connection.
    #[must_use]
    pub const fn open_timeout(mut self, timeout: Duration) -> Self {
        self.open_timeout = timeout;
        self
    }

    /// Sets the timeout for the response to a validation request.
    #[must_use]
    pub const fn validation_timeout(mut self, timeout: Duration) -> Self {
        self.validation_timeout = timeout;
        self
    }

    /// Sets the timeout for the response to a statement whose own deadline is
    /// not sooner.
    #[must_use]
    pub const fn response_timeout(mut self, timeout: Duration) -> Self {
        self.response_timeout = timeout;
        self
    }

    /// Sets the idle time after which a connection is validated before reuse.
    #[must_use]
    pub const fn idle_limit(mut self, limit: Duration) -> Self {
        self.idle_limit = limit;
        self
    }

    /// Returns the timeout for opening a connection.
    #[must_use]
    pub const fn get_open_timeout(&self) -> Duration {
        self.open_timeout
    }

    /// Returns the timeout for the response to a validation request.
    #[must_use]
    pub const fn get_validation_timeout(&self) -> Duration {
        self.validation_timeout
    }

    /// Returns the timeout for the response to a statement.
    #[must_use]
    pub const fn get_response_timeout(&self) -> Duration {
        self.response_timeout
    }

    /// Returns the idle time after which a connection is validated before reuse.
    #[must_use]
    pub const fn get_idle_limit(&self) -> Duration {
        self.idle_limit
    }
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self::new()
    }
}
