use std::fmt;

use super::LoadPattern;
use super::model_run::CUSTOMERS;
use super::model_server::{OPENING, SERVICE};

/// The names of the columns of [`PolicyFigures`].
pub const FIGURES_HEAD: &str = "load             policy        came  in time   late  refused  refused  opened  of bound     worst\n                                                     at once     late                    customer";

/// What happened in one step of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FigureStep {
    /// Statements answered within their objective, by when they came.
    pub in_time: u32,
    /// Statements answered later.
    pub late: u32,
    /// Statements refused.
    pub refused: u32,
    /// The sum of the answer times, in milliseconds.
    pub answer_ms: u64,
}

/// What a policy came to under a load.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyFigures {
    /// The policy.
    pub policy: &'static str,
    /// The load.
    pub pattern: LoadPattern,
    /// Statements that came.
    pub came: u32,
    /// Statements answered within their objective.
    pub in_time: u32,
    /// Statements answered later.
    pub late: u32,
    /// Statements refused within a quarter of their objective.
    pub refused_early: u32,
    /// Statements refused later.
    pub refused_late: u32,
    /// The most that the servers could have answered in time, whatever the policy.
    pub bound: f64,
    /// Connections opened; each took a slot's time from statements.
    pub opened: u32,
    /// Statements that came and that were answered in time, of each customer.
    pub customers: [(u32, u32); CUSTOMERS],
    /// The steps of the run.
    pub steps: Vec<FigureStep>,
}

impl PolicyFigures {
    /// Returns what was answered in time, of the most that could be.
    #[must_use]
    pub fn part_of_bound(&self) -> f64 {
        f64::from(self.in_time) / self.bound.max(1.0)
    }

    /// Returns the same, if the time that connections took had not been there.
    #[must_use]
    pub fn part_without_opening(&self) -> f64 {
        let lost = f64::from(self.opened) * OPENING as f64 / SERVICE as f64;
        f64::from(self.in_time) / (self.bound - lost).max(1.0)
    }

    /// Returns what the worst-served customer got in time of what it asked for; one that sends
    /// many times its usual load is left out.
    #[must_use]
    pub fn worst_customer(&self) -> f64 {
        let parts = self.customers.iter().enumerate();
        let parts = parts.filter(|(customer, _)| !self.pattern.is_flood(*customer));
        let parts = parts.map(|(_, part)| part);
        let parts = parts.map(|(came, in_time)| f64::from(*in_time) / f64::from(*came).max(1.0));
        parts.fold(1.0, f64::min)
    }
}

impl fmt::Display for PolicyFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<16} {:<11} {:>6} {:>8} {:>6} {:>8} {:>8} {:>7} {:>9.2} {:>9.2}",
            self.pattern,
            self.policy,
            self.came,
            self.in_time,
            self.late,
            self.refused_early,
            self.refused_late,
            self.opened,
            self.part_of_bound(),
            self.worst_customer()
        )
    }
}
