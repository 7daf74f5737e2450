use std::net::SocketAddr;

use anyhow::anyhow;
use dropshot::{ApiDescription, ConfigDropshot, HttpServer, ServerBuilder, ServerContext};

/// A running control port; it closes when dropped.
pub struct ControlServer<C: ServerContext> {
    server: HttpServer<C>,
}

impl<C: ServerContext> ControlServer<C> {
    /// Starts to serve `api` at `address`.
    pub(super) fn start(
        api: ApiDescription<C>,
        context: C,
        address: SocketAddr,
    ) -> anyhow::Result<Self> {
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: 64 * 1024,
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(api, context, log)
            .config(config)
            .start()
            .map_err(|error| anyhow!("control port {address}: {error}"))?;
        Ok(Self { server })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}
