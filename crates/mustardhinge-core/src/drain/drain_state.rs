use std::collections::BTreeMap;
use std::time::Duration;

use super::{DrainCause, DrainStep};
use crate::units::MonotonicTime;

/// Whether an instance drains, since when and why.
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
    /// Makes the state of an instance that serves; a stop takes at most `bound`.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self {
            bound,
            causes: BTreeMap::new(),
        }
    }

    /// Starts to drain for `cause`; a cause that stands already changes nothing.
    pub fn start(&mut self, cause: DrainCause, now: MonotonicTime) {
        self.causes.entry(cause).or_insert(now);
    }

    /// Takes `cause` back; the stop signal is final.
    pub fn cancel(&mut self, cause: DrainCause) {
        if cause != DrainCause::StopSignal {
            self.causes.remove(&cause);
        }
    }

    /// Returns whether the instance drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        !self.causes.is_empty()
    }

    /// Returns the strongest cause of the drain.
    #[must_use]
    pub fn get_cause(&self) -> Option<DrainCause> {
        self.causes.keys().next_back().copied()
    }

    /// Decides what to do while `open_sessions` sessions are open.
    ///
    /// Only the stop signal ends the process; the other causes keep it draining,
    /// so that an operator can look at it or take it back.
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
