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
    open_bound: Duration,
    proof_bound: Duration,
    prove_after: Duration,
}

impl PoolSettings {
    const DEFAULT_CONNECTIONS: u32 = 1;
    const DEFAULT_OPEN_BOUND: Duration = Duration::from_millis(500);
    const DEFAULT_PROOF_BOUND: Duration = Duration::from_millis(150);
    const DEFAULT_PROVE_AFTER: Duration = Duration::from_secs(2);

    /// Creates default settings for the database with this name.
    #[must_use]
    pub fn new(database: &str) -> Self {
        Self {
            database: database.to_owned(),
            connections: Self::DEFAULT_CONNECTIONS,
            open_bound: Self::DEFAULT_OPEN_BOUND,
            proof_bound: Self::DEFAULT_PROOF_BOUND,
            prove_after: Self::DEFAULT_PROVE_AFTER,
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
    pub fn open_bound(mut self, bound: Duration) -> Self {
        self.open_bound = bound;
        self
    }

    /// Sets the timeout for validating an idle connection.
    #[must_use]
    pub fn proof_bound(mut self, bound: Duration) -> Self {
        self.proof_bound = bound;
        self
    }

    /// Sets the idle time after which a connection is validated before use.
    #[must_use]
    pub fn prove_after(mut self, idle: Duration) -> Self {
        self.prove_after = idle;
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
    pub fn get_open_bound(&self) -> Duration {
        self.open_bound
    }

    /// Returns the timeout for validating an idle connection.
    #[must_use]
    pub fn get_proof_bound(&self) -> Duration {
        self.proof_bound
    }

    /// Returns the idle time after which a connection is validated before use.
    #[must_use]
    pub fn get_prove_after(&self) -> Duration {
        self.prove_after
    }
}
