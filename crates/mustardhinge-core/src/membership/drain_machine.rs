use super::{DrainAction, DrainPhase, DrainSchedule, DrainWork, IntakeState};
use crate::units::MonotonicTime;

/// Decides when a planned stop closes the listener and when the process ends.
///
/// The process ends when nothing is left that it has taken. That is checked only after the listener
/// is closed, because a caller can be accepted at any time before.
///
/// Failure: an instance that found itself without work ended a moment later, while it served the
/// callers that it had accepted in between.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mustardhinge_core::membership::{DrainAction, DrainMachine, DrainSchedule, DrainWork};
/// use mustardhinge_core::prelude::MonotonicTime;
///
/// let at = MonotonicTime::from_millis;
/// let schedule = DrainSchedule::new(at(0), Duration::from_secs(6));
/// let mut machine = DrainMachine::default();
/// let idle = DrainWork::default();
/// assert_eq!(machine.step(schedule, idle, at(3_000)), DrainAction::CloseIntake);
/// assert_eq!(machine.step(schedule, idle, at(3_010)), DrainAction::Continue);
/// machine.record_closed_intake();
/// assert_eq!(machine.step(schedule, idle, at(3_020)), DrainAction::End);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DrainMachine {
    intake: IntakeState,
}

impl DrainMachine {
    /// Returns whether the listener is open.
    #[must_use]
    pub const fn intake(&self) -> IntakeState {
        self.intake
    }

    /// Records that the listener is closed. The connections that were taken before have to be part of
    /// the work of the next step.
    pub fn record_closed_intake(&mut self) {
        self.intake = IntakeState::Closed;
    }

    /// Returns what to do at `now`, with `work` that was counted after the last recorded change of
    /// the listener.
    pub fn step(
        &mut self,
        schedule: DrainSchedule,
        work: DrainWork,
        now: MonotonicTime,
    ) -> DrainAction {
        if now >= schedule.ends_at() {
            return DrainAction::End;
        }
        match self.intake {
            IntakeState::Open => {
                let is_idle = work.is_done() && now >= schedule.intake_until();
                if !is_idle && schedule.phase(now) < DrainPhase::Refusing {
                    return DrainAction::Continue;
                }
                self.intake = IntakeState::Closing;
                DrainAction::CloseIntake
            }
            IntakeState::Closed if work.is_done() => DrainAction::End,
            IntakeState::Closing | IntakeState::Closed => DrainAction::Continue,
        }
    }
}
