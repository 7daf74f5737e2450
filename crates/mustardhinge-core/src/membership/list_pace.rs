use std::time::Duration;

use crate::units::MonotonicTime;

/// Least pause between two fetches of a list: changes come one by one, and each fetch brings all.
const LEAST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause while fetches bring nothing new; short against the seconds within which a
/// leaving target gets no more work.
const MOST_PAUSE: Duration = Duration::from_secs(2);

/// When a list that differs from the leader's is fetched.
///
/// Load pattern: hundreds of instances learn at once that the list of thousands of targets has
/// changed, again and again while targets are started. One that is ahead of the leader, or that
/// fetches from somebody who knows no more, would ask in vain with every grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListPace {
    next_at: MonotonicTime,
    pause: Duration,
    known: u64,
}

impl ListPace {
    /// Returns whether a list is to be fetched now; `known` stands for the present one.
    pub fn wants(&mut self, known: u64, now: MonotonicTime) -> bool {
        if now < self.next_at {
            return false;
        }
        self.pause = if known == self.known {
            (self.pause * 2).clamp(LEAST_PAUSE, MOST_PAUSE)
        } else {
            LEAST_PAUSE
        };
        self.known = known;
        self.next_at = now + self.pause;
        true
    }
}
