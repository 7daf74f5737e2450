use anyhow::Context;
use mustardhinge_core::replication::ServerReport;

/// Reads a report from its six text columns.
pub(super) fn parse_report(columns: &[String]) -> anyhow::Result<ServerReport> {
    let columns: Vec<&str> = columns.iter().map(String::as_str).collect();
    ServerReport::from_columns(&columns).context("reading a report")
}
