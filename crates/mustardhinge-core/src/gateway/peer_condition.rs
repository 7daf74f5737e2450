use std::time::Duration;

use crate::units::MonotonicTime;

/// A gateway that owes answers and sends nothing for this long is asked for a sign of life: a
/// usual service time and a stall of a tenth of a second, as processors with a quota have.
const PING_AFTER: Duration = Duration::from_millis(200);
/// One that sends nothing for this long is passed over; within it several pings were lost.
const SILENT_AFTER: Duration = Duration::from_millis(450);
/// One that sends nothing for this long is given up, as targets give up dark connections.
const GONE_AFTER: Duration = Duration::from_secs(3);
/// Pause before a gateway that can't be reached is tried again.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause: the leader replaces a dead gateway in about this time.
const MOST_PAUSE: Duration = Duration::from_millis(1_600);

/// What an instance thinks of a gateway that it forwards to.
///
/// Load pattern: a gateway freezes, is cut off one way or loses power, and its connection stays
/// open and silent. Statements go to the second choice as soon as the silence can't be a
/// slow target, and come back with the first sign of life.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerCondition {
    owing_since: Option<MonotonicTime>,
    heard_at: MonotonicTime,
    avoid_until: MonotonicTime,
    failures: u32,
    is_leaving: bool,
}

impl PeerCondition {
    /// Notes that something was sent that has to be answered.
    pub fn sent(&mut self, now: MonotonicTime) {
        self.owing_since.get_or_insert(now);
    }

    /// Notes that something came; `owes` says whether answers are still missing.
    pub fn heard(&mut self, owes: bool, now: MonotonicTime) {
        self.heard_at = now;
        self.failures = 0;
        self.owing_since = owes.then_some(now);
    }

    /// Notes that the gateway could not be reached, or broke the connection off.
    pub fn failed(&mut self, now: MonotonicTime) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(3));
        self.avoid_until = now + pause.min(MOST_PAUSE);
        self.failures += 1;
        self.owing_since = None;
        self.is_leaving = false;
    }

    /// Notes that the gateway is stopping.
    pub const fn left(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether it should say that it lives.
    #[must_use]
    pub fn wants_ping(&self, now: MonotonicTime) -> bool {
        self.silence(now) >= PING_AFTER
    }

    /// Returns whether it owes answers and is silent.
    #[must_use]
    pub fn is_silent(&self, now: MonotonicTime) -> bool {
        self.silence(now) >= SILENT_AFTER
    }

    /// Returns whether its connection should be given up.
    #[must_use]
    pub fn is_gone(&self, now: MonotonicTime) -> bool {
        self.silence(now) >= GONE_AFTER
    }

    /// Returns whether statements may be forwarded to it.
    #[must_use]
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        !self.is_leaving && now >= self.avoid_until && !self.is_silent(now)
    }

    fn silence(&self, now: MonotonicTime) -> Duration {
        self.owing_since.map_or(Duration::ZERO, |since| {
            now.saturating_since(since.max(self.heard_at))
        })
    }
}
