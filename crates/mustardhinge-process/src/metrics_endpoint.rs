use std::net::SocketAddr;

use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;

/// Serves the process's metrics at `address` in the Prometheus text format.
///
/// # Errors
///
/// Fails if the address is taken, or metrics are served already.
pub fn serve_metrics(address: SocketAddr) -> anyhow::Result<()> {
    PrometheusBuilder::new()
        .with_http_listener(address)
        .install()
        .with_context(|| format!("serving metrics at {address}"))
}
