use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, bail};
use pico_args::Arguments;

use crate::run::{FaultName, RunPlan};

/// The greatest length of a run.
const MAX_DURATION: Duration = Duration::from_secs(60);

/// The length of a run if none is asked for.
const DEFAULT_DURATION: Duration = Duration::from_secs(20);

/// The options of `run`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOptions {
    /// What the run does.
    pub plan: RunPlan,
    /// Whether to print one JSON line.
    pub json: bool,
    /// Where to write the history.
    pub history: Option<PathBuf>,
}

impl RunOptions {
    /// Parses the options.
    ///
    /// # Errors
    ///
    /// Fails if the deployment is missing or an option can't be read.
    pub fn parse(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let deployment = arguments
            .value_from_str("--deployment")
            .context("--deployment muscat|taiwan-north is needed")?;
        let duration = arguments.opt_value_from_fn("--duration", parse_duration)?;
        let faults = arguments.opt_value_from_fn("--fault", parse_faults)?;
        let plan = RunPlan {
            deployment,
            seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
            duration: duration.unwrap_or(DEFAULT_DURATION),
            faults: faults.unwrap_or_default(),
            baseline: arguments.opt_value_from_str("--baseline")?,
            priorities: arguments.contains("--priorities"),
        };
        Ok(Self {
            plan,
            json: arguments.contains("--json"),
            history: arguments.opt_value_from_str("--history")?,
        })
    }
}

fn parse_duration(text: &str) -> anyhow::Result<Duration> {
    let seconds = text.strip_suffix('s').unwrap_or(text);
    let seconds: u64 = seconds
        .parse()
        .with_context(|| format!("{text:?} is no duration such as 20s"))?;
    let duration = Duration::from_secs(seconds);
    if duration.is_zero() || duration > MAX_DURATION {
        bail!("a run takes 1s to {}s", MAX_DURATION.as_secs());
    }
    Ok(duration)
}

fn parse_faults(text: &str) -> anyhow::Result<Vec<FaultName>> {
    text.split(',')
        .filter(|name| *name != "none")
        .map(str::parse)
        .collect()
}
