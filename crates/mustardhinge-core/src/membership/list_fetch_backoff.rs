use std::time::Duration;

use crate::units::MonotonicTime;

/// Minimum interval between two fetches: changes arrive one by one, and each fetch returns all
/// of them.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval while fetches return nothing new. It is short relative to the seconds within
/// which a leaving target must stop receiving work.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// Exponential backoff for fetching a list that differs from the leader's.
///
/// Load pattern: hundreds of instances learn at once that the list of thousands of targets has
/// changed, repeatedly while targets are started. An instance that is ahead of the leader, or
/// that fetches from one without newer data, would otherwise fetch without result on every grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListFetchBackoff {
    next_fetch_at: MonotonicTime,
    interval: Duration,
    last_digest: u64,
}

impl ListFetchBackoff {
    /// Returns whether to fetch the list now, and schedules the next fetch if so.
    ///
    /// `digest` identifies the local list. The interval doubles while the digest stays the same
    /// from one fetch to the next, and is reset when it has changed.
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
