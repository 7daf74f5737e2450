use std::fmt;

use super::model_run::CUSTOMERS;
use super::{QueueCase, QueuePolicy};

/// The names of the columns of [`QueueFigures`].
pub const QUEUE_HEAD: &str = "load          queue           offered  answered in time by priority    refused  late  worst\n                                            0       1       2       late            customer";

/// Operations of one customer and priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueCount {
    /// Operations that were offered.
    pub offered: u32,
    /// Operations that were answered within their objective.
    pub in_time: u32,
}

/// What a queue came to under a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueFigures {
    /// The load.
    pub case: QueueCase,
    /// The queue.
    pub policy: QueuePolicy,
    /// Operations by customer and priority.
    pub counts: [[QueueCount; 3]; CUSTOMERS],
    /// Attempts that were refused after a quarter of their objective.
    pub refused_late: u32,
    /// Operations that were answered after their objective.
    pub late: u32,
}

impl QueueFigures {
    pub(super) fn new(case: QueueCase, policy: QueuePolicy) -> Self {
        Self {
            case,
            policy,
            counts: Default::default(),
            refused_late: 0,
            late: 0,
        }
    }

    /// Returns the number of operations that were offered.
    #[must_use]
    pub fn offered(&self) -> u32 {
        self.counts
            .iter()
            .flatten()
            .map(|count| count.offered)
            .sum()
    }

    /// Returns the part of a priority's operations that was answered in time.
    #[must_use]
    pub fn in_time(&self, priority: usize) -> f64 {
        part(self.counts.iter().map(|counts| counts[priority]))
    }

    /// Returns the part that the worst-served customer got answered in time; one that sends many
    /// times its usual load is left out.
    #[must_use]
    pub fn worst_customer(&self) -> f64 {
        let customers = self.counts.iter().enumerate();
        let customers = customers.filter(|(customer, _)| !self.case.is_flood(*customer));
        let parts = customers.map(|(_, counts)| part(counts.iter().copied()));
        parts.fold(1.0, f64::min)
    }
}

fn part(counts: impl Iterator<Item = QueueCount>) -> f64 {
    let (offered, in_time) = counts.fold((0, 0), |(offered, in_time), count| {
        (offered + count.offered, in_time + count.in_time)
    });
    f64::from(in_time) / f64::from(offered.max(1))
}

impl fmt::Display for QueueFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<13} {:<15} {:>7}   {:>7.3} {:>7.3} {:>7.3} {:>9} {:>5} {:>9.3}",
            self.case,
            self.policy,
            self.offered(),
            self.in_time(0),
            self.in_time(1),
            self.in_time(2),
            self.refused_late,
            self.late,
            self.worst_customer()
        )
    }
}
