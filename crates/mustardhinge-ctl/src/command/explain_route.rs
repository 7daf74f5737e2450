use mustardhinge_core::explain::{ExplainOutcome, ExplainQuery, ExplainReport};

use super::explain_tables::tables;
use crate::client::ExplainClient;
use crate::error::CtlError;
use crate::report::CommandReport;

/// Prints where the instance would route a request.
pub(super) async fn run(
    client: &ExplainClient,
    query: &ExplainQuery,
) -> Result<CommandReport, CtlError> {
    let report = client.explain(query).await?;
    let text = format!("{}\n\n{}", summary(&report), tables(&report).join("\n"));
    Ok(CommandReport::new(text, &report))
}

fn summary(report: &ExplainReport) -> String {
    let ExplainReport {
        instance,
        zone,
        service,
        route,
        customer,
        kind,
        ..
    } = report;
    let overload_control = if report.is_overload_control_on {
        "on"
    } else {
        "off"
    };
    let stopping = if report.is_stopping {
        "\nthe instance is stopping: it accepts no new callers for long"
    } else {
        ""
    };
    format!(
        "{kind} of {customer} on route {route} of {service}: {}\n\
         instance {instance} in zone {zone}, overload control {overload_control}{stopping}",
        outcome(report)
    )
}

fn outcome(report: &ExplainReport) -> String {
    let mut text = report.outcome.to_string();
    if let Some(target) = &report.target {
        let path = report
            .path
            .map_or_else(String::new, |path| format!(" ({path})"));
        text.push_str(&format!(" at {target}{path}"));
    }
    if report.outcome == ExplainOutcome::Refuse {
        let reason = report.reason.as_deref().unwrap_or("-");
        text.push_str(&format!(", reason {reason}"));
        if let Some(millis) = report.retry_after_ms {
            text.push_str(&format!(", retry after {millis} ms"));
        }
    }
    text
}
