use std::fmt;

use super::{PlacementCase, PlacementPolicy};

/// The names of the columns of [`PlacementFigures`].
pub const PLACEMENT_HEAD: &str =
    "case          instances  age ms  policy            idle  spread  in time  busiest  other zone";

/// What a placement policy came to.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementFigures {
    /// The policy.
    pub policy: PlacementPolicy,
    /// Demand and targets.
    pub case: PlacementCase,
    /// Number of instances.
    pub instances: usize,
    /// Time between the reports of the targets, in milliseconds.
    pub report_ms: u64,
    /// Reads that came.
    pub came: u32,
    /// Reads answered within their objective.
    pub in_time: u32,
    /// Reads sent to each target.
    pub sent: Vec<u32>,
    /// Reads sent to another zone.
    pub other_zone: u32,
    /// Milliseconds in which a slot idled at one target while work waited at another.
    pub idle_ms: u32,
    /// Sum over the milliseconds of the standard deviation of the targets' queue lengths.
    pub deviations: f64,
    /// Length of the run, in milliseconds.
    pub duration_ms: u32,
}

impl PlacementFigures {
    /// Returns the part of the time in which a slot idled while work waited elsewhere.
    #[must_use]
    pub fn idle(&self) -> f64 {
        f64::from(self.idle_ms) / f64::from(self.duration_ms)
    }

    /// Returns the mean standard deviation of the targets' queue lengths.
    #[must_use]
    pub fn spread(&self) -> f64 {
        self.deviations / f64::from(self.duration_ms)
    }

    /// Returns the part of the reads answered within their objective.
    #[must_use]
    pub fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.came.max(1))
    }

    /// Returns the reads of the busiest target relative to the mean.
    #[must_use]
    pub fn busiest(&self) -> f64 {
        let most = self.sent.iter().max().copied().unwrap_or(0);
        f64::from(most) * self.sent.len() as f64 / f64::from(self.came.max(1))
    }
}

impl fmt::Display for PlacementFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<13} {:>9} {:>7}  {:<14} {:>7.3} {:>7.2} {:>8.3} {:>8.2} {:>11.2}",
            self.case,
            self.instances,
            self.report_ms,
            self.policy,
            self.idle(),
            self.spread(),
            self.in_time(),
            self.busiest(),
            f64::from(self.other_zone) / f64::from(self.came.max(1)),
        )
    }
}
