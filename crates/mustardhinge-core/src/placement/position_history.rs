use std::collections::VecDeque;
use std::time::Duration;

use crate::units::{LogPosition, MonotonicTime};

/// Positions closer than this in time are kept as one.
const MIN_SPACING: Duration = Duration::from_millis(40);
/// Positions older than this serve no route: the greatest allowed age in use is a few
/// seconds.
const RETENTION: Duration = Duration::from_secs(10);

/// Positions of a primary, each with the time up to which it covers all acknowledged
/// writes.
///
/// Load pattern: replicas that are far behind. A read that may be `age` old asks for the
/// oldest position that is young enough, so that such replicas serve it as long as the
/// route allows.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    positions: VecDeque<(MonotonicTime, LogPosition)>,
}

impl PositionHistory {
    /// Takes a position that covers all writes acknowledged before `at`.
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

    /// Returns whether the newest entry is close to the one before it, so that a third
    /// may replace it.
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

    /// Returns the least position that covers all writes acknowledged before `since`.
    #[must_use]
    pub fn floor_since(&self, since: MonotonicTime) -> Option<LogPosition> {
        self.positions
            .iter()
            .find(|(at, _)| *at >= since)
            .map(|(_, position)| *position)
    }

    /// Returns the time before which all that was acknowledged is covered by `position`; a
    /// server that has the newest known position misses nothing that is known.
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

    /// Returns the newest position and the time that it covers.
    #[must_use]
    pub fn newest(&self) -> Option<(MonotonicTime, LogPosition)> {
        self.positions.back().copied()
    }

    /// Forgets all positions, since the primary was replaced.
    pub fn clear(&mut self) {
        self.positions.clear();
    }
}
