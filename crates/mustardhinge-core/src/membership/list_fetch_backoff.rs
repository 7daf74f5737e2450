use std::time::Duration;

use crate::units::MonotonicTime;

/// Least pause between two fetches of a list: changes come one by one, and each fetch brings all.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Longest pause while fetches bring nothing new; short against the seconds within which a
/// leaving target gets no more work.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// When a list that differs from the leader's is fetched.
///
/// Load pattern: hundreds of instances learn at once that the list of thousands of targets has
/// changed, again and again while targets are started. One that is ahead of the leader, or that
/// fetches from somebody who knows no more, would ask in vain with every grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListFetchBackoff {
    next_fetch_at: MonotonicTime,
    interval: Duration,
    last_digest: u64,
}

impl ListFetchBackoff {
    /// Returns whether a list is to be fetched now; `known` stands for the present one.
    pub fn should_fetch(&mut self, digest: u64, now: MonotonicTime) -> bool {
        if now < self.next_fetch_at {
            return false;
        }
        self.interval = if digest == self.last_digest {
            (self.interval * 2).clamp(MIN_INTERVAL, MAX_INTERVAL)
        } else {
            MIN_INTERVAL
        };
        self.last_digest = digest;
        self.next_fetch_at = now + self.interval;
        true
    }
}
