use std::path::{Path, PathBuf};

use super::{ChartLine, ChartPage};
use crate::model::{FigureStep, PolicyFigures, STEP};

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Steps in a second.
const PER_SECOND: f64 = MILLIS_PER_SECOND / STEP as f64;

struct ChartKind {
    name: &'static str,
    unit: &'static str,
    value: fn(&FigureStep) -> f64,
}

const KINDS: [ChartKind; 3] = [
    ChartKind {
        name: "goodput",
        unit: "answers in time a second",
        value: |step| f64::from(step.in_time) * PER_SECOND,
    },
    ChartKind {
        name: "answer-time",
        unit: "mean milliseconds",
        value: |step| step.answer_ms as f64 / f64::from(step.in_time + step.late).max(1.0),
    },
    ChartKind {
        name: "refusals",
        unit: "refusals a second",
        value: |step| f64::from(step.refused) * PER_SECOND,
    },
];

/// Draws goodput, answer times and refusals of several policies over one load into `folder`.
///
/// # Errors
///
/// Fails if the folder can't be made or a file can't be written.
pub fn plot_policies(figures: &[PolicyFigures], folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
    std::fs::create_dir_all(folder)?;
    let Some(first) = figures.first() else {
        return Ok(Vec::new());
    };
    let mut paths = Vec::new();
    for kind in &KINDS {
        let lines = figures.iter().map(|figures| ChartLine {
            name: figures.policy.to_owned(),
            points: points(figures, kind.value),
        });
        let page = ChartPage {
            title: format!("{}: {}", first.pattern, kind.name),
            unit: kind.unit.to_owned(),
            lines: lines.collect(),
            marks: Vec::new(),
        };
        let path = folder.join(format!("{}-{}.svg", first.pattern, kind.name));
        page.write(&path)?;
        paths.push(path);
    }
    Ok(paths)
}

fn points(figures: &PolicyFigures, value: fn(&FigureStep) -> f64) -> Vec<(f64, f64)> {
    let steps = figures.steps.iter().zip(0_u32..);
    let point = |(step, place): (&FigureStep, u32)| {
        let seconds = f64::from(place) * STEP as f64 / MILLIS_PER_SECOND;
        (seconds, value(step))
    };
    steps.map(point).collect()
}
