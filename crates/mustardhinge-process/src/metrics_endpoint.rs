use std::net::SocketAddr;

use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;

/// Serves the metrics of the process at `address` in the Prometheus text format.
///
/// # Errors
///
/// Returns an error if the address is in use or a metrics recorder is already installed.
pub fn serve_metrics(address: SocketAddr) -> anyhow::Result<()> {
    PrometheusBuilder::new()
        .with_http_listener(address)
        .install()
        .with_context(|| format!("failed to serve metrics at {address}"))
}
