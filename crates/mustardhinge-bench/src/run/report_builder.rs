use std::time::Duration;

use hdrhistogram::Histogram;

use super::RunPlan;
use super::direct_probe::AddedLatency;
use crate::check::{check_history, check_linearizable_rows};
use crate::history::{OperationRecord, OperationResult, RunHistory};
use crate::report::{RunFigures, RunReport, divide_counts, find_failover_gap};

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Figures that the history does not hold.
#[derive(Clone, Debug, Default)]
pub(super) struct MeasuredFigures {
    pub(super) replica_reads: u64,
    pub(super) reads: u64,
    pub(super) platform_calls: u64,
    pub(super) load_time: Duration,
    pub(super) agent_cpu: Duration,
    pub(super) agents: u32,
    pub(super) added: Option<AddedLatency>,
}

/// Makes the report of a run.
pub(super) fn build_report(
    plan: &RunPlan,
    history: &RunHistory,
    measured: &MeasuredFigures,
) -> RunReport {
    let figures = RunFigures::of(history);
    let rows = check_linearizable_rows(history);
    let mut report = RunReport {
        deployment: plan.deployment.to_string(),
        seed: plan.seed,
        faults: plan.faults.iter().map(ToString::to_string).collect(),
        baseline: plan.baseline.map(|baseline| baseline.to_string()),
        duration_s: plan.duration.as_secs_f64(),
        violations: check_history(history),
        rows_left_unchecked: rows.left_out as u64,
        replica_read_share: divide_counts(measured.replica_reads, measured.reads),
        failover_gap_ms: measure_failover_gap(plan, history),
        worst_customer_goodput_ratio: figures.get_worst_goodput_ratio(),
        worst_customer_p99_ratio: figures.get_worst_p99_ratio(),
        wrongful_refusals: Some(figures.wrongful_refusals),
        added_latency_p50_us: measured.added.map(|added| added.p50_us),
        added_latency_p99_us: measured.added.map(|added| added.p99_us),
        ..RunReport::default()
    };
    count_results(&mut report, history);
    report.wrongful_refusal_share = divide_counts(figures.wrongful_refusals, report.requests);
    add_latencies(&mut report, history);
    add_control_cost(&mut report, measured);
    report
}

/// The operations of the load; the first rows were written before it.
fn load_operations(history: &RunHistory) -> impl Iterator<Item = &OperationRecord> {
    history
        .operations
        .iter()
        .filter(|operation| operation.number > 0)
}

fn count_results(report: &mut RunReport, history: &RunHistory) {
    for operation in load_operations(history) {
        report.requests += 1;
        match &operation.result {
            OperationResult::Completed { .. } => report.completed += 1,
            OperationResult::NotRun { reason, .. } => {
                *report.refused_by_reason.entry(reason.clone()).or_default() += 1;
            }
            OperationResult::Unknown => report.unknown += 1,
            OperationResult::Broken { .. } => {
                report.unknown += 1;
                report.broken += 1;
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "latencies are far below 2^52")]
fn add_latencies(report: &mut RunReport, history: &RunHistory) {
    let Ok(mut latencies) = Histogram::<u64>::new(3) else {
        return;
    };
    let confirmed = load_operations(history).filter(|operation| operation.result.is_completed());
    for operation in confirmed {
        let micros = u64::try_from(operation.latency().as_micros()).unwrap_or(u64::MAX);
        // A histogram that resizes itself takes any time of a run.
        let _ = latencies.record(micros);
    }
    if !latencies.is_empty() {
        report.latency_p50_us = Some(latencies.value_at_quantile(0.5) as f64);
        report.latency_p99_us = Some(latencies.value_at_quantile(0.99) as f64);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "calls of a run are far below 2^52"
)]
fn add_control_cost(report: &mut RunReport, measured: &MeasuredFigures) {
    let seconds = measured.load_time.as_secs_f64();
    if seconds > 0.0 && measured.agents > 0 {
        report.platform_calls_per_s = Some(measured.platform_calls as f64 / seconds);
        let cpu = measured.agent_cpu.as_secs_f64() / seconds;
        report.control_cpu_share = Some(cpu / f64::from(measured.agents));
    }
}

/// Returns the gap after the primary was taken away; none if no fault did so.
fn measure_failover_gap(plan: &RunPlan, history: &RunHistory) -> Option<f64> {
    if !plan.faults.iter().any(|fault| fault.is_primary_fault()) {
        return None;
    }
    let begin = history.faults.iter().find(|fault| fault.began)?.at;
    let gap = find_failover_gap(history, begin)?;
    Some(gap.as_secs_f64() * MILLIS_PER_SECOND)
}
