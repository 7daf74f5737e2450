use std::fmt::Display;

use mustardhinge_core::explain::{
    AdmissionReport, CandidateReport, ConfigurationReport, ExplainReport, ExplainStep, FloorReport,
    GatewayReport, LeaseReport, RateReport, WaitReport,
};

use crate::report::TextTable;

/// Returns the tables of a report: the steps in their order, then the targets of single steps.
pub(super) fn tables(report: &ExplainReport) -> Vec<String> {
    let mut steps = TextTable::new(["step", "state", "inputs", "effect"]);
    let mut tables = Vec::new();
    for step in &report.steps {
        match step {
            ExplainStep::Configuration(step) => steps.add(configuration_row(step)),
            ExplainStep::Rate(step) => steps.add(rate_row(step)),
            ExplainStep::Lease(step) => steps.add(lease_row(step)),
            ExplainStep::Floor(step) => steps.add(floor_row(step)),
            ExplainStep::Targets { candidates, effect } => {
                steps.add(["targets", &count(candidates.len()), "see below", effect]);
                tables.push(candidate_table(candidates));
            }
            ExplainStep::Gateways { targets } => {
                steps.add(["gateways", "-", "see below", "-"]);
                tables.push(gateway_table(targets));
            }
            ExplainStep::Waits { targets } => {
                steps.add(["waits", "-", "see below", "-"]);
                tables.push(wait_table(targets));
            }
            ExplainStep::Admission { targets, effect } => {
                steps.add(["admission", &count(targets.len()), "see below", effect]);
                tables.push(admission_table(targets));
            }
        }
    }
    tables.insert(0, steps.to_string());
    tables
}

fn configuration_row(step: &ConfigurationReport) -> [String; 4] {
    let inputs = format!(
        "reads {}, max staleness {}, priority {}, objective {}, timeout {}",
        or_dash(step.read_rule.as_ref()),
        millis(step.max_staleness_ms),
        or_dash(step.priority),
        millis(step.objective_ms),
        millis(step.statement_timeout_ms)
    );
    let state = step.version.map_or_else(
        || "unknown".to_owned(),
        |version| format!("version {version}"),
    );
    row("configuration", state, inputs, &step.effect)
}

fn rate_row(step: &RateReport) -> [String; 4] {
    let inputs = format!(
        "remaining {}, isolated {}, share {}, response {} old, wait {}, retry {}",
        or_dash(step.remaining),
        if step.is_isolated { "yes" } else { "no" },
        or_dash(step.share.map(|share| format!("{share:.6}"))),
        millis(step.response_age_ms),
        millis(step.wait_ms),
        millis(step.retry_after_ms)
    );
    row("rate", step.state, inputs, &step.effect)
}

fn lease_row(step: &LeaseReport) -> [String; 4] {
    let inputs = format!(
        "epoch {}, primary {}, {} old",
        or_dash(step.epoch),
        or_dash(step.primary.as_ref()),
        millis(step.age_ms)
    );
    row("lease", step.state, inputs, &step.effect)
}

fn floor_row(step: &FloorReport) -> [String; 4] {
    let inputs = format!(
        "position {}, newest {} old, at most {}",
        or_dash(step.position.as_ref()),
        millis(step.newest_age_ms),
        millis(step.max_age_ms)
    );
    row("floor", step.state, inputs, &step.effect)
}

fn row(name: &str, state: impl Display, inputs: String, effect: &str) -> [String; 4] {
    [
        name.to_owned(),
        state.to_string(),
        inputs,
        effect.to_owned(),
    ]
}

fn candidate_table(candidates: &[CandidateReport]) -> String {
    let mut table = TextTable::new([
        "target",
        "zone",
        "primary",
        "failing",
        "excluded",
        "cost ms",
        "free",
        "report ms",
        "probability",
    ]);
    for candidate in candidates {
        table.add([
            candidate.target.to_string(),
            candidate.zone.to_string(),
            yes_or_no(candidate.is_primary),
            yes_or_no(candidate.is_failing),
            or_dash(candidate.exclusion),
            or_dash(candidate.cost_ms.map(|cost| format!("{cost:.1}"))),
            or_dash(candidate.free_capacity.map(|free| format!("{free:.1}"))),
            or_dash(candidate.report_age_ms),
            format!("{:.3}", candidate.probability),
        ]);
    }
    table.to_string()
}

fn gateway_table(gateways: &[GatewayReport]) -> String {
    let mut table = TextTable::new(["target", "path", "first", "state", "second", "state"]);
    for gateway in gateways {
        table.add([
            gateway.target.to_string(),
            gateway.path.to_string(),
            or_dash(gateway.first),
            or_dash(gateway.first_state),
            or_dash(gateway.second),
            or_dash(gateway.second_state),
        ]);
    }
    table.to_string()
}

fn wait_table(waits: &[WaitReport]) -> String {
    let mut table = TextTable::new(["target", "waits by", "age ms", "0 ms", "1 ms", "2 ms"]);
    for report in waits {
        let wait = |priority: usize| or_dash(report.waits_ms.map(|waits| waits[priority]));
        table.add([
            report.target.to_string(),
            report.source.to_string(),
            or_dash(report.age_ms),
            wait(0),
            wait(1),
            wait(2),
        ]);
    }
    table.to_string()
}

fn admission_table(admissions: &[AdmissionReport]) -> String {
    let mut table = TextTable::new([
        "target",
        "admission",
        "wait ms",
        "at most ms",
        "cost ms",
        "retry ms",
    ]);
    for admission in admissions {
        table.add([
            admission.target.to_string(),
            admission.outcome.to_string(),
            or_dash(admission.expected_wait_ms),
            admission.max_wait_ms.to_string(),
            format!("{:.1}", admission.cost_ms),
            or_dash(admission.retry_after_ms),
        ]);
    }
    table.to_string()
}

fn count(targets: usize) -> String {
    format!("{targets} targets")
}

fn yes_or_no(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}

fn millis(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value} ms"))
}

fn or_dash(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
