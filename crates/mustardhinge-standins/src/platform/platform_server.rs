use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, anyhow};
use dropshot::{ConfigDropshot, HandlerTaskMode, ServerBuilder};

use super::platform_api;
use super::platform_shared::PlatformShared;
use super::{PlatformBuilder, PlatformHandle};
use crate::forward::DelayForwarder;

/// The greatest size of the body of a call, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The platform: a store of objects and a list of instances.
///
/// # Examples
///
/// ```
/// use mustardhinge_standins::platform::PlatformServer;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> anyhow::Result<()> {
/// let platform = PlatformServer::builder().start().await?;
/// assert_eq!(platform.calls().total(), 0);
/// platform.shutdown().await;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct PlatformServer;

impl PlatformServer {
    /// Starts to set up a platform.
    #[must_use]
    pub fn builder() -> PlatformBuilder {
        PlatformBuilder::default()
    }

    /// Starts the server behind a forwarder, which has the network's faults.
    pub(super) async fn start(
        listen: SocketAddr,
        instance_lag: Duration,
    ) -> anyhow::Result<PlatformHandle> {
        let shared = Arc::new(PlatformShared::default());
        shared.instance_lag.send_replace(instance_lag);
        let api = platform_api::describe().map_err(|error| anyhow!("{error}"))?;
        let config = ConfigDropshot {
            bind_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            default_request_body_max_bytes: MAX_BODY_BYTES,
            // A call that was given up may still take effect.
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(api, Arc::clone(&shared), log)
            .config(config)
            .start()
            .map_err(|error| anyhow!("starting the object API: {error}"))?;
        let link = DelayForwarder::start(listen, server.local_addr())
            .await
            .with_context(|| format!("listening on {listen}"))?;
        Ok(PlatformHandle::new(shared, link, server))
    }
}
