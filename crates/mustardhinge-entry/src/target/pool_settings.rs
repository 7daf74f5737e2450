use std::time::Duration;

/// Settings of the connection pool of one target.
///
/// # Examples
///
/// ```
/// use mustardhinge_entry::target::PoolSettings;
///
/// let settings = PoolSettings::new("haulage").connections(2);
/// assert_eq!(settings.get_connections(), 2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    database: String,
    connections: u32,
    connect_timeout: Duration,
    validation_timeout: Duration,
    validate_after: Duration,
}

impl PoolSettings {
    const DEFAULT_CONNECTIONS: u32 = 1;
    const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
    const DEFAULT_VALIDATION_TIMEOUT: Duration = Duration::from_millis(150);
    const DEFAULT_VALIDATE_AFTER: Duration = Duration::from_secs(2);

    /// Creates default settings for the database with this name.
    #[must_use]
    pub fn new(database: &str) -> Self {
        Self {
            database: database.to_owned(),
            connections: Self::DEFAULT_CONNECTIONS,
            connect_timeout: Self::DEFAULT_CONNECT_TIMEOUT,
            validation_timeout: Self::DEFAULT_VALIDATION_TIMEOUT,
            validate_after: Self::DEFAULT_VALIDATE_AFTER,
        }
    }

    /// Sets the maximum number of open connections. At least one is allowed.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections.max(1);
        self
    }

    /// Sets the timeout for opening a connection.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the timeout for validating an idle connection.
    #[must_use]
    pub fn validation_timeout(mut self, timeout: Duration) -> Self {
        self.validation_timeout = timeout;
        self
    }

    /// Sets the idle time after which a connection is validated before use.
    #[must_use]
    pub fn validate_after(mut self, idle: Duration) -> Self {
        self.validate_after = idle;
        self
    }

    /// Returns the name of the database.
    #[must_use]
    pub fn get_database(&self) -> &str {
        &self.database
    }

    /// Returns the maximum number of open connections.
    #[must_use]
    pub fn get_connections(&self) -> u32 {
        self.connections
    }

    /// Returns the timeout for opening a connection.
    #[must_use]
    pub fn get_connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Returns the timeout for validating an idle connection.
    #[must_use]
    pub fn get_validation_timeout(&self) -> Duration {
        self.validation_timeout
    }

    /// Returns the idle time after which a connection is validated before use.
    #[must_use]
    pub fn get_validate_after(&self) -> Duration {
        self.validate_after
    }
}
