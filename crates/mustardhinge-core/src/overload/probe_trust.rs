use std::time::Duration;

use crate::units::MonotonicTime;

/// Number of relapses after which probes are no longer trusted. A reset of all connections to a
/// healthy target causes one at most, and a target that loses a fifth of its responses seldom has
/// four losses in a row.
const MAX_RELAPSES: u32 = 4;
/// Time until a distrusted target is tried again, doubled with each further relapse. Each trial
/// loses the statements of a few milliseconds. Longer than the time after which a leader counts a
/// primary as failed.
const MIN_TRIAL_DELAY: Duration = Duration::from_millis(600);
/// Number of doublings of that time.
const MAX_DOUBLINGS: u32 = 3;

/// Whether a successful probe shows that a target serves statements again.
///
/// Failure: a target accepts connections and answers probes, but breaks off every statement. Each
/// probe would put it back into service, and each time the statements that are sent to it would
/// be lost. A relapse is a statement that is lost although the target had answered a probe or
/// accepted a connection before it was sent, and that has no served statement before it.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::overload::ProbeTrust;
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let mut trust = ProbeTrust::default();
/// for at in [0, 100, 200, 300, 400] {
///     trust.record_lost_statement(MonotonicTime::from_millis(at));
///     trust.accept_probe(MonotonicTime::from_millis(at + 10));
/// }
/// assert!(trust.is_distrusted());
/// assert!(!trust.accept_probe(MonotonicTime::from_millis(500)));
/// assert!(trust.accept_probe(MonotonicTime::from_millis(1_000)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeTrust {
    relapses: u32,
    alive_since: Option<MonotonicTime>,
    next_trial_at: MonotonicTime,
}

impl ProbeTrust {
    /// Records a response to a caller's statement.
    pub const fn record_served_statement(&mut self) {
        self.relapses = 0;
        self.alive_since = None;
    }

    /// Records that the target accepted a connection or answered a probe at `now`.
    pub fn record_sign_of_life(&mut self, now: MonotonicTime) {
        self.alive_since.get_or_insert(now);
    }

    /// Records that a statement sent at `sent_at` got no response. Returns whether probes are
    /// distrusted from now on.
    pub fn record_lost_statement(&mut self, sent_at: MonotonicTime) -> bool {
        // A statement from before the sign of life shows nothing new.
        if self.alive_since.is_none_or(|since| sent_at < since) {
            return false;
        }
        self.alive_since = None;
        self.relapses = self.relapses.saturating_add(1);
        if !self.is_distrusted() {
            return false;
        }
        let doublings = (self.relapses - MAX_RELAPSES).min(MAX_DOUBLINGS);
        self.next_trial_at = sent_at + MIN_TRIAL_DELAY * 2_u32.pow(doublings);
        self.relapses == MAX_RELAPSES
    }

    /// Returns whether a probe that succeeded at `now` puts the target back into service.
    pub fn accept_probe(&mut self, now: MonotonicTime) -> bool {
        let is_accepted = !self.is_distrusted() || now >= self.next_trial_at;
        if is_accepted {
            self.record_sign_of_life(now);
        }
        is_accepted
    }

    /// Returns whether only a served statement shows that the target works.
    #[must_use]
    pub const fn is_distrusted(&self) -> bool {
        self.relapses >= MAX_RELAPSES
    }
}
