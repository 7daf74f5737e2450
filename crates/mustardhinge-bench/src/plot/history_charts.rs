use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use super::{ChartLine, ChartPage};
use crate::history::{OperationRecord, RunHistory};

/// The width of the steps of a chart, in seconds.
const STEP_SECONDS: f64 = 0.25;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Draws the latency over time and the goodput of each customer into `folder`.
///
/// # Errors
///
/// Fails if the folder can't be made or a file can't be written.
pub fn plot_history(history: &RunHistory, folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
    std::fs::create_dir_all(folder)?;
    let marks: Vec<f64> = history
        .faults
        .iter()
        .map(|fault| seconds(fault.at.as_micros()))
        .collect();
    let pages = [
        ("latency.svg", draw_latency(history, &marks)),
        ("goodput.svg", draw_goodput(history, &marks)),
    ];
    let mut paths = Vec::new();
    for (name, page) in pages {
        let path = folder.join(name);
        page.write(&path)?;
        paths.push(path);
    }
    Ok(paths)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of a run are far below 2^52 microseconds"
)]
fn seconds(micros: u64) -> f64 {
    micros as f64 / 1_000_000.0
}

#[expect(clippy::cast_possible_truncation, reason = "a run has few steps")]
fn step_of(operation: &OperationRecord) -> i64 {
    (seconds(operation.due.as_micros()) / STEP_SECONDS).floor() as i64
}

#[expect(clippy::cast_precision_loss, reason = "a run has few steps")]
fn step_start(step: i64) -> f64 {
    step as f64 * STEP_SECONDS
}

fn draw_latency(history: &RunHistory, marks: &[f64]) -> ChartPage {
    let mut reads: BTreeMap<i64, f64> = BTreeMap::new();
    let mut writes: BTreeMap<i64, f64> = BTreeMap::new();
    for operation in &history.operations {
        let steps = if operation.kind.is_read() {
            &mut reads
        } else {
            &mut writes
        };
        let latency = operation.latency().as_secs_f64() * MILLIS_PER_SECOND;
        let greatest = steps.entry(step_of(operation)).or_insert(0.0);
        *greatest = greatest.max(latency);
    }
    let line = |name: &str, steps: BTreeMap<i64, f64>| ChartLine {
        name: name.to_owned(),
        points: steps
            .into_iter()
            .map(|(step, ms)| (step_start(step), ms))
            .collect(),
    };
    ChartPage {
        title: "Greatest latency by due time".to_owned(),
        unit: "ms".to_owned(),
        lines: vec![line("reads", reads), line("writes", writes)],
        marks: marks.to_vec(),
    }
}

fn draw_goodput(history: &RunHistory, marks: &[f64]) -> ChartPage {
    let mut customers: BTreeMap<String, BTreeMap<i64, f64>> = BTreeMap::new();
    for operation in &history.operations {
        let Some(customer) = &operation.customer else {
            continue;
        };
        if operation.result.is_completed() {
            let steps = customers.entry(customer.to_string()).or_default();
            *steps.entry(step_of(operation)).or_insert(0.0) += 1.0 / STEP_SECONDS;
        }
    }
    let lines = customers.into_iter().map(|(name, steps)| ChartLine {
        name,
        points: steps
            .into_iter()
            .map(|(step, rate)| (step_start(step), rate))
            .collect(),
    });
    ChartPage {
        title: "Confirmed requests of each customer".to_owned(),
        unit: "requests/s".to_owned(),
        lines: lines.collect(),
        marks: marks.to_vec(),
    }
}
