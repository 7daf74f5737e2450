use std::time::Duration;

use super::ConfirmationSource;
use crate::units::MonotonicTime;

/// When a copy of a part of the store's content was last shown to be current.
///
/// Every change that the store acknowledged before that time is in the copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyConfirmation {
    /// When the copy was adopted that has to be confirmed, or the time of its last confirmation.
    since: Option<MonotonicTime>,
    source: ConfirmationSource,
    /// The last time up to which the leader has confirmed the copy.
    leader_since: Option<MonotonicTime>,
    /// Whether it was expired when last checked.
    was_expired: bool,
}

impl CopyConfirmation {
    /// Begins the time within which the first copy has to be confirmed.
    pub fn begin(&mut self, now: MonotonicTime) {
        self.since.get_or_insert(now);
    }

    /// Records that the copy was current at `at`. Ignores a time before the last confirmation.
    pub fn confirm(&mut self, at: MonotonicTime, source: ConfirmationSource) {
        if source == ConfirmationSource::Leader {
            self.leader_since = self.leader_since.max(Some(at));
        }
        let is_first = self.source == ConfirmationSource::None;
        if is_first || self.since.is_none_or(|since| at > since) {
            self.since = Some(at);
            self.source = source;
        }
    }

    /// Returns the age of the last confirmation, or `None` if there was none yet.
    #[must_use]
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        let is_confirmed = self.source != ConfirmationSource::None;
        let since = self.since.filter(|_| is_confirmed)?;
        Some(now.saturating_since(since))
    }

    /// Returns when the copy must be read from the store unless it is confirmed before; never for a
    /// copy that was not adopted yet.
    #[must_use]
    pub fn expires_at(&self, max_unconfirmed: Duration) -> Option<MonotonicTime> {
        self.since.map(|since| since + max_unconfirmed)
    }

    /// Returns when the last confirmation by the leader is older than `max_age`; none without one.
    #[must_use]
    pub fn leader_expires_at(&self, max_age: Duration) -> Option<MonotonicTime> {
        self.leader_since.map(|since| since + max_age)
    }

    /// Returns whether the copy has to be read from the store.
    #[must_use]
    pub fn is_expired(&self, max_unconfirmed: Duration, now: MonotonicTime) -> bool {
        let expires_at = self.expires_at(max_unconfirmed);
        expires_at.is_some_and(|at| at <= now)
    }

    /// Returns whether the copy is expired if that has changed since the last call.
    pub fn check_expiry(&mut self, max_unconfirmed: Duration, now: MonotonicTime) -> Option<bool> {
        let is_expired = self.is_expired(max_unconfirmed, now);
        let before = std::mem::replace(&mut self.was_expired, is_expired);
        (before != is_expired).then_some(is_expired)
    }

    /// Returns what confirmed the copy last.
    #[must_use]
    pub const fn source(&self) -> ConfirmationSource {
        self.source
    }
}
