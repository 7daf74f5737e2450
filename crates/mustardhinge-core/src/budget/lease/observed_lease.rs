use std::time::Duration;

use super::LeaseRecord;
use crate::units::{DocumentVersion, MonotonicTime};

/// The newest lease record received, and when it was first observed.
#[derive(Clone, Debug)]
pub(crate) struct ObservedLease {
    pub(crate) version: DocumentVersion,
    pub(crate) record: LeaseRecord,
    /// When this renewal was first observed.
    observed_at: MonotonicTime,
    /// When the last renewal by the holder of the floor, or a later one, was first
    /// observed.
    floor_observed_at: MonotonicTime,
}

impl ObservedLease {
    pub(crate) fn new(version: DocumentVersion, record: LeaseRecord, now: MonotonicTime) -> Self {
        Self {
            version,
            observed_at: now,
            floor_observed_at: now,
            record,
        }
    }

    /// Returns the state after a newer record is observed.
    ///
    /// The holder of the floor may have renewed in a record that was not observed. The
    /// term of the floor therefore restarts, unless its holder could no longer renew
    /// before.
    pub(crate) fn updated(
        &self,
        version: DocumentVersion,
        record: LeaseRecord,
        now: MonotonicTime,
    ) -> Self {
        let mut next = Self::new(version, record, now);
        let floor_moved = next.record.floor_epoch != self.record.floor_epoch;
        if !self.record.has_floor() && !floor_moved {
            next.floor_observed_at = self.floor_observed_at;
        }
        next
    }

    /// Returns for how long the flexible part has been free to take over.
    pub(crate) fn flexible_free_for(&self, now: MonotonicTime) -> Option<Duration> {
        if self.record.holder.is_none() {
            return Some(now.saturating_since(self.observed_at));
        }
        let elapsed = now.saturating_since(self.observed_at);
        elapsed.checked_sub(self.record.terms.flexible)
    }

    /// Returns whether no agent may use the floor any more.
    pub(crate) fn is_floor_free(&self, now: MonotonicTime) -> bool {
        let was_released = self.record.holder.is_none() && self.record.has_floor();
        was_released || now.saturating_since(self.floor_observed_at) >= self.record.floor_term
    }
}
