use std::time::Duration;

use crate::units::MonotonicTime;

/// A gateway with pending requests gets a ping after this time without a message: a typical
/// service time plus a stall of 100 ms, as occurs on processors with a CPU quota.
const PING_AFTER: Duration = Duration::from_millis(200);
/// A gateway with pending requests is skipped after this time without a message; by then several
/// pings were lost.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(450);
/// The connection to a gateway with pending requests is closed after this time without a message,
/// as targets do with unresponsive connections.
const DISCONNECT_AFTER: Duration = Duration::from_secs(3);
/// Backoff after the first failure to reach a gateway.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff: the leader replaces a dead gateway in about this time.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Tracks the health of a gateway that an instance forwards statements to.
///
/// Load pattern: a gateway freezes, loses power or becomes unreachable in one direction, and its
/// connection stays open without traffic. Statements go to the second gateway as soon as a slow
/// target can no longer explain the missing responses, and return to the first with the next
/// message from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayHealth {
    pending_since: Option<MonotonicTime>,
    last_received_at: MonotonicTime,
    backoff_until: MonotonicTime,
    failures: u32,
    is_stopping: bool,
}

impl GatewayHealth {
    /// Records that a request was sent.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.pending_since.get_or_insert(now);
    }

    /// Records a message from the gateway; `has_pending` states whether responses are outstanding.
    pub fn record_received(&mut self, has_pending: bool, now: MonotonicTime) {
        self.last_received_at = now;
        self.failures = 0;
        self.pending_since = has_pending.then_some(now);
    }

    /// Records that the gateway was unreachable or that its connection ended.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(3));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.failures += 1;
        self.pending_since = None;
        self.is_stopping = false;
    }

    /// Records that the gateway is stopping.
    pub const fn mark_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether a ping should be sent to the gateway.
    #[must_use]
    pub fn needs_ping(&self, now: MonotonicTime) -> bool {
        self.unanswered_time(now) >= PING_AFTER
    }

    /// Returns whether the gateway has pending requests and is unresponsive.
    #[must_use]
    pub fn is_unresponsive(&self, now: MonotonicTime) -> bool {
        self.unanswered_time(now) >= UNRESPONSIVE_AFTER
    }

    /// Returns whether the connection to the gateway should be closed.
    #[must_use]
    pub fn should_disconnect(&self, now: MonotonicTime) -> bool {
        self.unanswered_time(now) >= DISCONNECT_AFTER
    }

    /// Returns whether statements may be forwarded to the gateway.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        !self.is_stopping && now >= self.backoff_until && !self.is_unresponsive(now)
    }

    /// Returns the time since the last message while requests are pending, otherwise zero.
    fn unanswered_time(&self, now: MonotonicTime) -> Duration {
        self.pending_since.map_or(Duration::ZERO, |since| {
            now.saturating_since(since.max(self.last_received_at))
        })
    }
}
