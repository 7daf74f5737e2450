use std::collections::BTreeMap;
use std::time::Duration;

use super::{ServiceTimeEstimate, SlotCost, WorkKind};
use crate::units::RoutePriority;

/// Assumed slot time of a statement before the first measurement; a typical value.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(20);
/// Assumed slot time for opening a connection before the first measurement.
const INITIAL_OPENING_TIME: Duration = Duration::from_millis(12);

/// Moving averages of the slot time of statements at one target, by priority and kind.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::prelude::RoutePriority;
/// use mustardhinge_core::queue::{CostEstimates, WorkKind};
///
/// let costs = CostEstimates::default();
/// let read = costs.cost_of(RoutePriority::HIGHEST, WorkKind::Read);
/// assert_eq!(read.as_micros(), 20_000);
/// assert_eq!((read + costs.opening_cost()).as_micros(), 32_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CostEstimates {
    statements: BTreeMap<(RoutePriority, WorkKind), ServiceTimeEstimate>,
    opening: Option<ServiceTimeEstimate>,
}

impl CostEstimates {
    /// Records that a statement of this priority and kind occupied a slot for `slot_time`.
    pub fn record(&mut self, priority: RoutePriority, kind: WorkKind, slot_time: Duration) {
        self.statements
            .entry((priority, kind))
            .or_insert_with(|| ServiceTimeEstimate::new(slot_time))
            .record(1, slot_time);
    }

    /// Records that opening a connection occupied a slot for `slot_time`.
    pub fn record_opening(&mut self, slot_time: Duration) {
        self.opening
            .get_or_insert_with(|| ServiceTimeEstimate::new(slot_time))
            .record(1, slot_time);
    }

    /// Returns the expected cost of a statement on an open connection.
    #[must_use]
    pub fn cost_of(&self, priority: RoutePriority, kind: WorkKind) -> SlotCost {
        let known = self.statements.get(&(priority, kind));
        SlotCost::new(known.map_or(INITIAL_SLOT_TIME, |estimate| estimate.time_for(1)))
    }

    /// Returns the expected additional cost of opening a connection.
    #[must_use]
    pub fn opening_cost(&self) -> SlotCost {
        let known = self.opening.as_ref();
        SlotCost::new(known.map_or(INITIAL_OPENING_TIME, |estimate| estimate.time_for(1)))
    }
}
