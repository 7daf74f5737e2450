use std::net::SocketAddr;
use std::time::Duration;

use super::target_settings::TargetSettings;
use super::{TargetHandle, TargetServer};

/// Statements that a target works on at once.
const DEFAULT_SLOTS: usize = 5;
/// Connections that a target takes.
const DEFAULT_CONNECTION_LIMIT: usize = 30;
/// The time that it takes to open a connection.
const DEFAULT_CONNECTION_DELAY: Duration = Duration::from_millis(10);

/// Sets up a target.
#[derive(Clone, Debug)]
pub struct TargetBuilder {
    settings: TargetSettings,
}

impl TargetBuilder {
    /// Starts from the defaults, on a free port of the loopback address.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let settings = TargetSettings {
            name: name.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: DEFAULT_SLOTS,
            connection_limit: DEFAULT_CONNECTION_LIMIT,
            connection_delay: DEFAULT_CONNECTION_DELAY,
            statement_time: Duration::ZERO,
            is_recording_bytes: false,
        };
        Self { settings }
    }

    /// Sets the name of the target.
    #[must_use]
    pub fn name(mut self, name: &str) -> Self {
        name.clone_into(&mut self.settings.name);
        self
    }

    /// Sets the address to listen on; connections to primaries leave from its
    /// IP number as well.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.settings.listen = address;
        self
    }

    /// Sets how many statements it works on at once.
    #[must_use]
    pub const fn slots(mut self, slots: usize) -> Self {
        self.settings.slots = slots;
        self
    }

    /// Sets how many connections it takes.
    #[must_use]
    pub const fn connection_limit(mut self, limit: usize) -> Self {
        self.settings.connection_limit = limit;
        self
    }

    /// Sets how long it takes to open a connection.
    #[must_use]
    pub const fn connection_delay(mut self, delay: Duration) -> Self {
        self.settings.connection_delay = delay;
        self
    }

    /// Sets how long each statement takes in its slot.
    #[must_use]
    pub const fn statement_time(mut self, time: Duration) -> Self {
        self.settings.statement_time = time;
        self
    }

    /// Sets whether every byte that callers send is kept.
    #[must_use]
    pub const fn record_bytes(mut self, is_recording: bool) -> Self {
        self.settings.is_recording_bytes = is_recording;
        self
    }

    /// Returns the name of the target.
    #[must_use]
    pub fn get_name(&self) -> &str {
        &self.settings.name
    }

    /// Starts the target as a task: empty, following nobody.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn start(self) -> std::io::Result<TargetHandle> {
        TargetServer::start(self.settings).await
    }
}
