use std::time::Duration;

use super::ConfirmationTable;
use crate::units::MonotonicTime;

/// Interval between the queries of an instance whose copies are not confirmed; a response takes a
/// round trip.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Determines when an instance asks another one for a confirmation of its copies.
///
/// Load pattern: the leader has lost the store, and hundreds of instances need a confirmation that
/// does not come from it. Reads of the store by all of them would displace other messages on slow
/// links.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::membership::{ConfirmationSource, ConfirmationTable, QueryPacing, StorePart};
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let at = MonotonicTime::from_millis;
/// let mut table = ConfirmationTable::default();
/// let mut pacing = QueryPacing::default();
/// assert_eq!(pacing.next_at(&table), None);
/// table.confirm(StorePart::Plan, at(1_000), ConfirmationSource::Leader);
/// assert_eq!(pacing.next_at(&table), Some(at(3_000)));
/// pacing.record_sent(at(3_000));
/// assert_eq!(pacing.next_at(&table), Some(at(3_200)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryPacing {
    sent_at: Option<MonotonicTime>,
}

impl QueryPacing {
    /// Returns when the next query is due, unless the copies are confirmed before; none without a
    /// copy.
    #[must_use]
    pub fn next_at(&self, table: &ConfirmationTable) -> Option<MonotonicTime> {
        let due_at = table.query_due_at()?;
        let earliest = self.sent_at.map(|sent_at| sent_at + QUERY_INTERVAL);
        Some(earliest.map_or(due_at, |earliest| earliest.max(due_at)))
    }

    /// Records that a query was sent.
    pub const fn record_sent(&mut self, now: MonotonicTime) {
        self.sent_at = Some(now);
    }
}
