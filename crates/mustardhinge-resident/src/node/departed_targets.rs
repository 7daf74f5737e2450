use std::collections::HashMap;
use std::time::Duration;

use mustardhinge_core::prelude::{MonotonicTime, TargetId};
use mustardhinge_core::primary_lease::StoreEra;

use crate::plan::TargetEntry;

/// How long a departure is remembered. A restored store is some seconds old when it returns.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(600);

/// The last entry of a target that was seen leaving or removed.
#[derive(Clone, Copy, Debug)]
struct Departure {
    born_ms: u64,
    sequence: u64,
    era: StoreEra,
    at: MonotonicTime,
}

/// The targets that were seen leaving or removed, so that an older list doesn't bring them back
/// after a restore of the store.
#[derive(Debug, Default)]
pub(super) struct DepartedTargets {
    targets: HashMap<TargetId, Departure>,
}

impl DepartedTargets {
    /// Records that the target of `entry` was seen leaving or removed in `era`.
    pub(super) fn record(&mut self, entry: &TargetEntry, era: StoreEra, now: MonotonicTime) {
        let is_recent =
            |departure: &Departure| now.saturating_since(departure.at) < DEPARTURE_MEMORY;
        self.targets.retain(|_, departure| is_recent(departure));
        let departure = Departure {
            born_ms: entry.born_ms,
            sequence: entry.sequence,
            era,
            at: now,
        };
        self.targets.insert(entry.target.clone(), departure);
    }

    /// Returns whether `entry`, found in `era`, is older than the departure of its target.
    ///
    /// An entry that was written again has a higher sequence, and a new process another start time.
    pub(super) fn is_older(&self, entry: &TargetEntry, era: StoreEra) -> bool {
        self.targets.get(&entry.target).is_some_and(|departure| {
            departure.era < era
                && departure.born_ms == entry.born_ms
                && entry.sequence <= departure.sequence
                && !entry.is_leaving
        })
    }

    /// Returns whether the target was seen leaving or removed.
    pub(super) fn contains(&self, target: &TargetId) -> bool {
        self.targets.contains_key(target)
    }

    /// Forgets the departure of a target that is in use again.
    pub(super) fn remove(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }
}
