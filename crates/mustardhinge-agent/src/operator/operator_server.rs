use std::net::SocketAddr;

use anyhow::{Context, anyhow};
use dropshot::{ApiDescription, ConfigDropshot, HttpServer, ServerBuilder};
use mustardhinge_config::document::MAX_DOCUMENT_BYTES;

use super::{OperatorContext, group_endpoints, instance_endpoints, service_endpoints};

/// Maximum size of a request body: an escaped document plus the other fields.
const MAX_BODY_BYTES: usize = 2 * MAX_DOCUMENT_BYTES + 4_096;

/// The server of the operator API.
pub(crate) struct OperatorServer {
    server: HttpServer<OperatorContext>,
}

impl OperatorServer {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    pub(crate) fn start(listen: SocketAddr, context: OperatorContext) -> anyhow::Result<Self> {
        let mut api = ApiDescription::new();
        register(&mut api).map_err(|error| anyhow!("operator API: {error}"))?;
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let config = ConfigDropshot {
            bind_address: listen,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api, context, log)
            .config(config)
            .start()
            .with_context(|| format!("serving operators at {listen}"))?;
        Ok(Self { server })
    }

    /// Returns the listen address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops the server after the requests in flight have completed.
    pub(crate) async fn stop(self) {
        let _ = self.server.close().await;
    }
}

fn register(
    api: &mut ApiDescription<OperatorContext>,
) -> Result<(), dropshot::ApiDescriptionRegisterError> {
    api.register(instance_endpoints::get_status)?;
    api.register(instance_endpoints::drain_instance)?;
    api.register(service_endpoints::list_services)?;
    api.register(service_endpoints::get_service)?;
    api.register(service_endpoints::put_service)?;
    api.register(service_endpoints::withdraw_key)?;
    api.register(service_endpoints::drain_target)?;
    api.register(group_endpoints::switch_over)
}
