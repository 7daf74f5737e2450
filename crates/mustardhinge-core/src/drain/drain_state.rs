use std::collections::BTreeMap;
use std::time::Duration;

use super::{DrainCause, DrainStep};
use crate::units::MonotonicTime;

/// Tracks whether an instance drains, since when and why.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use mustardhinge_core::drain::{DrainCause, DrainState, DrainStep};
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let mut state = DrainState::new(Duration::from_secs(30));
/// state.start(DrainCause::StopSignal, MonotonicTime::from_millis(5));
/// assert_eq!(state.step(1, MonotonicTime::from_millis(6)), DrainStep::MoveSessions);
/// assert_eq!(state.step(0, MonotonicTime::from_millis(7)), DrainStep::Exit);
/// ```
#[derive(Clone, Debug)]
pub struct DrainState {
    bound: Duration,
    causes: BTreeMap<DrainCause, MonotonicTime>,
}

impl DrainState {
    /// Creates the state of an instance that does not drain.
    ///
    /// After a stop signal, the drain takes at most `bound`.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self {
            bound,
            causes: BTreeMap::new(),
        }
    }

    /// Starts a drain for `cause`; has no effect if the cause is already active.
    pub fn start(&mut self, cause: DrainCause, now: MonotonicTime) {
        self.causes.entry(cause).or_insert(now);
    }

    /// Cancels `cause`; has no effect on the stop signal.
    pub fn cancel(&mut self, cause: DrainCause) {
        if cause != DrainCause::StopSignal {
            self.causes.remove(&cause);
        }
    }

    /// Returns whether the instance is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        !self.causes.is_empty()
    }

    /// Returns the active cause of the highest precedence.
    #[must_use]
    pub fn get_cause(&self) -> Option<DrainCause> {
        self.causes.keys().next_back().copied()
    }

    /// Decides the next step while `open_sessions` sessions are open.
    ///
    /// Only the stop signal ends the process. The other causes keep it draining, so that an
    /// operator can inspect it or cancel the drain.
    #[must_use]
    pub fn step(&self, open_sessions: usize, now: MonotonicTime) -> DrainStep {
        let Some(signalled_at) = self.causes.get(&DrainCause::StopSignal) else {
            return self.step_without_signal();
        };
        if open_sessions == 0 {
            return DrainStep::Exit;
        }
        if now.saturating_since(*signalled_at) >= self.bound {
            return DrainStep::ExitAtBound;
        }
        DrainStep::MoveSessions
    }

    fn step_without_signal(&self) -> DrainStep {
        if self.is_draining() {
            DrainStep::MoveSessions
        } else {
            DrainStep::Serve
        }
    }
}
