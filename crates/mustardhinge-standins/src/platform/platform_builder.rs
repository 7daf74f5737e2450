use std::net::SocketAddr;
use std::time::Duration;

use super::{PlatformHandle, PlatformServer};

/// Sets up a platform.
#[derive(Clone, Debug)]
pub struct PlatformBuilder {
    listen: SocketAddr,
    instance_lag: Duration,
}

impl Default for PlatformBuilder {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            instance_lag: Duration::ZERO,
        }
    }
}

impl PlatformBuilder {
    /// Sets the address to listen on.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets how long the list of instances lags.
    #[must_use]
    pub const fn instance_lag(mut self, lag: Duration) -> Self {
        self.instance_lag = lag;
        self
    }

    /// Starts the platform as a task, without objects and instances.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn start(self) -> anyhow::Result<PlatformHandle> {
        PlatformServer::start(self.listen, self.instance_lag).await
    }
}
