use std::collections::VecDeque;

use crate::units::{LogPosition, MonotonicTime};

/// The maximum number of floors kept.
const MAX_FLOORS: usize = 512;

/// The read floors of a group over time, used to compute the staleness of a
/// replica.
///
/// A floor greater than a later one is dropped, so both times and floors
/// increase from entry to entry.
#[derive(Clone, Debug, Default)]
pub struct FloorHistory {
    floors: VecDeque<FloorSpan>,
}

/// A floor and the first and last time at which it was observed.
#[derive(Clone, Copy, Debug)]
struct FloorSpan {
    floor: LogPosition,
    first_at: MonotonicTime,
    last_at: MonotonicTime,
}

impl FloorHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the floor observed at `at`; a floor not newer than the last one is
    /// ignored.
    pub fn record(&mut self, at: MonotonicTime, floor: LogPosition) {
        if self.floors.back().is_some_and(|last| last.last_at >= at) {
            return;
        }
        while self.floors.back().is_some_and(|last| last.floor > floor) {
            self.floors.pop_back();
        }
        match self.floors.back_mut() {
            Some(last) if last.floor == floor => last.last_at = at,
            _ => self.floors.push_back(FloorSpan {
                floor,
                first_at: at,
                last_at: at,
            }),
        }
        if self.floors.len() > MAX_FLOORS {
            self.floors.pop_front();
        }
    }

    /// Returns the newest known time at which `applied` covered every
    /// acknowledged write.
    ///
    /// The staleness of a server at `applied` is the time since then.
    #[must_use]
    pub fn fresh_at(&self, applied: LogPosition) -> Option<MonotonicTime> {
        let reached = self.count_reached(applied);
        let span = self.floors.get(reached.checked_sub(1)?)?;
        Some(span.last_at)
    }

    /// Returns since when a server at `applied` is known to be stale, or `None`
    /// if it is at or past the newest floor.
    #[must_use]
    pub fn behind_since(&self, applied: LogPosition) -> Option<MonotonicTime> {
        let span = self.floors.get(self.count_reached(applied))?;
        Some(span.first_at)
    }

    /// Returns the smallest position known to cover every write acknowledged
    /// before `since`, or `None` if no floor of that time or later is known.
    #[must_use]
    pub fn floor_since(&self, since: MonotonicTime) -> Option<LogPosition> {
        let index = self.floors.partition_point(|span| span.last_at < since);
        self.floors.get(index).map(|span| span.floor)
    }

    /// Returns the number of floors at or before `applied`.
    fn count_reached(&self, applied: LogPosition) -> usize {
        self.floors.partition_point(|span| span.floor <= applied)
    }
}
