use std::fmt::Write;
use std::path::Path;

use anyhow::{Context, bail};
use mustardhinge_core::prelude::*;

use super::{
    AckDecision, AdoptionDecision, FailoverDecision, FloorDecision, ProofDecision, QueueDecision,
    ReplayStep, TraceDecision, TraceHeader, TraceInput,
};

/// Replays a trace into the decision that its header names.
///
/// # Errors
///
/// Fails if the file can't be read, or a line makes no sense; the message
/// names the line.
pub fn replay_trace(path: &Path) -> anyhow::Result<Vec<ReplayStep>> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    replay_text(&text).with_context(|| path.display().to_string())
}

fn replay_text(text: &str) -> anyhow::Result<Vec<ReplayStep>> {
    let (first, inputs) = text.split_once('\n').context("the trace has no inputs")?;
    let header: TraceHeader = serde_json::from_str(first).context("line 1: no header")?;
    header.check()?;
    match header.decision.as_str() {
        AckDecision::NAME => replay_inputs::<AckDecision>(header, inputs),
        AdoptionDecision::NAME => replay_inputs::<AdoptionDecision>(header, inputs),
        FailoverDecision::NAME => replay_inputs::<FailoverDecision>(header, inputs),
        ProofDecision::NAME => replay_inputs::<ProofDecision>(header, inputs),
        QueueDecision::NAME => replay_inputs::<QueueDecision>(header, inputs),
        FloorDecision::NAME => replay_inputs::<FloorDecision>(header, inputs),
        name => bail!("unknown decision {name:?}"),
    }
}

fn replay_inputs<D: TraceDecision>(
    header: TraceHeader,
    inputs: &str,
) -> anyhow::Result<Vec<ReplayStep>> {
    let setup = serde_json::from_value(header.setup).context("line 1: setup")?;
    let mut decision = D::start(setup)?;
    let mut steps = Vec::new();
    let mut last_us = 0;
    for (index, line) in inputs.lines().enumerate() {
        let place = || format!("line {}", index + 2);
        let input: TraceInput<D::Input> = serde_json::from_str(line).with_context(place)?;
        if input.at_us < last_us {
            bail!("{}: the time goes back", place());
        }
        last_us = input.at_us;
        let now = MonotonicTime::from_micros(input.at_us);
        let actions = decision.apply(input.input, now).with_context(place)?;
        steps.push(ReplayStep {
            at_us: input.at_us,
            actions,
        });
    }
    Ok(steps)
}

/// Reads expected outcomes.
///
/// # Errors
///
/// Fails if the file can't be read or a line is no outcome.
pub fn read_steps(path: &Path) -> anyhow::Result<Vec<ReplayStep>> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    text.lines()
        .enumerate()
        .map(|(index, line)| {
            serde_json::from_str(line)
                .with_context(|| format!("{}:{}: no outcome", path.display(), index + 1))
        })
        .collect()
}

/// Writes outcomes to a file.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn write_steps(steps: &[ReplayStep], path: &Path) -> anyhow::Result<()> {
    let mut text = String::new();
    for step in steps {
        writeln!(text, "{}", serde_json::to_string(step)?)?;
    }
    std::fs::write(path, text).with_context(|| path.display().to_string())
}
