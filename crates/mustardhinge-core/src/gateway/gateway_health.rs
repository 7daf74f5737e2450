use std::time::Duration;

use crate::units::MonotonicTime;

/// A gateway that owes answers and sends nothing for this long is asked for a sign of life: a
/// usual service time and a stall of a tenth of a second, as processors with a quota have.
const PING_AFTER: Duration = Duration::from_millis(200);
/// One that sends nothing for this long is passed over; within it several pings were lost.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(450);
/// One that sends nothing for this long is given up, as targets give up dark connections.
const DISCONNECT_AFTER: Duration = Duration::from_secs(3);
/// Pause before a gateway that can't be reached is tried again.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest such pause: the leader replaces a dead gateway in about this time.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// What an instance thinks of a gateway that it forwards to.
///
/// Load pattern: a gateway freezes, is cut off one way or loses power, and its connection stays
/// open and silent. Statements go to the second choice as soon as the silence can't be a
/// slow target, and come back with the first sign of life.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayHealth {
    pending_since: Option<MonotonicTime>,
    last_received_at: MonotonicTime,
    backoff_until: MonotonicTime,
    failures: u32,
    is_stopping: bool,
}

impl GatewayHealth {
    /// Notes that something was sent that has to be answered.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.pending_since.get_or_insert(now);
    }

    /// Notes that something came; `owes` says whether answers are still missing.
    pub fn record_received(&mut self, has_pending: bool, now: MonotonicTime) {
        self.last_received_at = now;
        self.failures = 0;
        self.pending_since = has_pending.then_some(now);
    }

    /// Notes that the gateway could not be reached, or broke the connection off.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(3));
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
        self.failures += 1;
        self.pending_since = None;
        self.is_stopping = false;
    }

    /// Notes that the gateway is stopping.
    pub const fn mark_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether it should say that it lives.
    #[must_use]
    pub fn needs_ping(&self, now: MonotonicTime) -> bool {
        self.unanswered_time(now) >= PING_AFTER
    }

    /// Returns whether it owes answers and is silent.
    #[must_use]
    pub fn is_unresponsive(&self, now: MonotonicTime) -> bool {
        self.unanswered_time(now) >= UNRESPONSIVE_AFTER
    }

    /// Returns whether its connection should be given up.
    #[must_use]
    pub fn should_disconnect(&self, now: MonotonicTime) -> bool {
        self.unanswered_time(now) >= DISCONNECT_AFTER
    }

    /// Returns whether statements may be forwarded to it.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        !self.is_stopping && now >= self.backoff_until && !self.is_unresponsive(now)
    }

    fn unanswered_time(&self, now: MonotonicTime) -> Duration {
        self.pending_since.map_or(Duration::ZERO, |since| {
            now.saturating_since(since.max(self.last_received_at))
        })
    }
}
