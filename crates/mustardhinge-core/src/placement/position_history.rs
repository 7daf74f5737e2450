use std::collections::VecDeque;
use std::time::Duration;

use crate::units::{LogPosition, MonotonicTime};

/// Positions that are closer than this in time are merged into one entry.
const MIN_SPACING: Duration = Duration::from_millis(40);
/// Positions older than this are dropped: the maximum staleness that routes allow is a few
/// seconds.
const RETENTION: Duration = Duration::from_secs(10);

/// A history of a primary's log positions, each with the time up to which it covers all
/// acknowledged writes.
///
/// Load pattern: replicas lag far behind. A read with a maximum staleness requires only the
/// oldest position that is recent enough, so that lagging replicas can serve it as long as its
/// route allows.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    positions: VecDeque<(MonotonicTime, LogPosition)>,
}

impl PositionHistory {
    /// Records a position that covers all writes acknowledged before `at`.
    pub fn observe(&mut self, at: MonotonicTime, position: LogPosition) {
        let newest = self.positions.back().copied();
        match newest {
            Some((last, _)) if at <= last => return,
            Some(_) if self.replaces_newest(at) => {
                self.positions.pop_back();
            }
            _ => {}
        }
        self.positions.push_back((at, position));
        while self
            .positions
            .front()
            .is_some_and(|(first, _)| at.saturating_since(*first) > RETENTION)
        {
            self.positions.pop_front();
        }
    }

    /// Returns whether an entry at `at` replaces the newest one, because the entry before that is
    /// less than `MIN_SPACING` older.
    fn replaces_newest(&self, at: MonotonicTime) -> bool {
        let Some(before) = self
            .positions
            .len()
            .checked_sub(2)
            .and_then(|index| self.positions.get(index))
        else {
            return false;
        };
        at.saturating_since(before.0) < MIN_SPACING
    }

    /// Returns the lowest known position that covers all writes acknowledged before `since`.
    #[must_use]
    pub fn floor_since(&self, since: MonotonicTime) -> Option<LogPosition> {
        self.positions
            .iter()
            .find(|(at, _)| *at >= since)
            .map(|(_, position)| *position)
    }

    /// Returns the time up to which `position` covers all acknowledged writes.
    ///
    /// This is `now` if `position` is at or after the newest known position, since no write
    /// beyond it is known.
    #[must_use]
    pub fn covered_until(
        &self,
        position: LogPosition,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let (_, newest) = self.newest()?;
        if position >= newest {
            return Some(now);
        }
        let covered = self
            .positions
            .iter()
            .rev()
            .find(|(_, seen)| *seen <= position);
        covered.or(self.positions.front()).map(|(at, _)| *at)
    }

    /// Returns the newest position and the time up to which it covers all acknowledged writes.
    #[must_use]
    pub fn newest(&self) -> Option<(MonotonicTime, LogPosition)> {
        self.positions.back().copied()
    }

    /// Removes all positions, after the primary was replaced.
    pub fn clear(&mut self) {
        self.positions.clear();
    }
}
