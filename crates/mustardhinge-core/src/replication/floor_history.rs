use std::collections::VecDeque;

use crate::units::{LogPosition, MonotonicTime};

/// The greatest number of floors that are kept.
const MAX_FLOORS: usize = 512;

/// The floors of a group over time, from which the age of a replica follows.
///
/// A floor that a later one undercuts is dropped, so that times and floors both
/// grow from entry to entry.
#[derive(Clone, Debug, Default)]
pub struct FloorHistory {
    floors: VecDeque<(MonotonicTime, LogPosition)>,
}

impl FloorHistory {
    /// Makes an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the floor of a time; one that is not newer than the last is
    /// dropped.
    pub fn record(&mut self, at: MonotonicTime, floor: LogPosition) {
        if self.floors.back().is_some_and(|(last, _)| *last >= at) {
            return;
        }
        while self.floors.back().is_some_and(|(_, last)| *last >= floor) {
            self.floors.pop_back();
        }
        self.floors.push_back((at, floor));
        if self.floors.len() > MAX_FLOORS {
            self.floors.pop_front();
        }
    }

    /// Returns the newest time known at which `applied` held every
    /// acknowledged write; the age of a server there is the time since.
    #[must_use]
    pub fn fresh_at(&self, applied: LogPosition) -> Option<MonotonicTime> {
        let reached = self.floors.partition_point(|(_, floor)| *floor <= applied);
        let (at, _) = self.floors.get(reached.checked_sub(1)?)?;
        Some(*at)
    }

    /// Returns the least position known to hold every write acknowledged
    /// before `since`, or `None` if no floor of that time or later is known.
    #[must_use]
    pub fn floor_since(&self, since: MonotonicTime) -> Option<LogPosition> {
        let index = self.floors.partition_point(|(at, _)| *at < since);
        self.floors.get(index).map(|(_, floor)| *floor)
    }
}
