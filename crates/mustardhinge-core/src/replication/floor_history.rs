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
    floors: VecDeque<FloorSpan>,
}

/// A floor, and the first and the last time at which it was found.
#[derive(Clone, Copy, Debug)]
struct FloorSpan {
    floor: LogPosition,
    first_at: MonotonicTime,
    last_at: MonotonicTime,
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

    /// Returns the newest time known at which `applied` held every
    /// acknowledged write; the age of a server there is the time since.
    #[must_use]
    pub fn fresh_at(&self, applied: LogPosition) -> Option<MonotonicTime> {
        let reached = self.count_reached(applied);
        let span = self.floors.get(reached.checked_sub(1)?)?;
        Some(span.last_at)
    }

    /// Returns since when a server at `applied` is known to be behind, or `None`
    /// if it is at or past the newest floor.
    #[must_use]
    pub fn behind_since(&self, applied: LogPosition) -> Option<MonotonicTime> {
        let span = self.floors.get(self.count_reached(applied))?;
        Some(span.first_at)
    }

    /// Returns the least position known to hold every write acknowledged
    /// before `since`, or `None` if no floor of that time or later is known.
    #[must_use]
    pub fn floor_since(&self, since: MonotonicTime) -> Option<LogPosition> {
        let index = self.floors.partition_point(|span| span.last_at < since);
        self.floors.get(index).map(|span| span.floor)
    }

    /// Returns how many floors are at or before `applied`.
    fn count_reached(&self, applied: LogPosition) -> usize {
        self.floors.partition_point(|span| span.floor <= applied)
    }
}
