//! The planned stop of an instance.

use std::time::Duration;

use mustardhinge_core::membership::{DrainPhase, DrainSchedule, DrainWork, IntakeState};
use mustardhinge_core::prelude::MonotonicTime;
use tokio::sync::watch;

use super::NodeState;

impl NodeState {
    /// Begins a planned stop.
    pub fn begin_drain(&self, schedule: DrainSchedule) {
        self.drain_schedule.set(Some(schedule));
        self.set_drain_phase(DrainPhase::Announced);
    }

    /// Enters the phase of the planned stop that is due at `now`, and returns its schedule, if there
    /// is one. A grace period that was shortened in the meantime applies at once.
    pub fn advance_drain(&self, now: MonotonicTime) -> Option<DrainSchedule> {
        let schedule = self.drain_schedule.get()?;
        let schedule = schedule.with_grace(self.limits.get().stop_grace);
        self.drain_schedule.set(Some(schedule));
        let phase = schedule.phase(now);
        if phase > self.drain_phase() {
            self.set_drain_phase(phase);
        }
        Some(schedule)
    }

    /// Returns the work that a planned stop has to finish. `is_releasing` says whether the leadership
    /// is still being released.
    #[must_use]
    pub fn drain_work(&self, is_releasing: bool) -> DrainWork {
        DrainWork {
            sessions: self.open_sessions.get(),
            forwarded: self.forwarded_work.get(),
            unsent: self.unsent_frames.get(),
            is_releasing,
        }
    }

    /// Returns whether a request that may take up to `longest` can be answered before a planned stop
    /// ends the process.
    #[must_use]
    pub fn may_take(&self, longest: Duration, now: MonotonicTime) -> bool {
        let schedule = self.drain_schedule.get();
        schedule.is_none_or(|schedule| schedule.may_take(longest, now))
    }

    /// Sets the phase of a planned stop.
    pub fn set_drain_phase(&self, phase: DrainPhase) {
        self.drain_phase.send_replace(phase);
    }

    /// Returns the phase of a planned stop.
    #[must_use]
    pub fn drain_phase(&self) -> DrainPhase {
        *self.drain_phase.borrow()
    }

    /// Returns a receiver of the phases of a planned stop.
    #[must_use]
    pub fn subscribe_drain(&self) -> watch::Receiver<DrainPhase> {
        self.drain_phase.subscribe()
    }

    /// Returns whether callers are accepted.
    #[must_use]
    pub fn intake(&self) -> IntakeState {
        *self.intake.borrow()
    }

    /// Sets whether callers are accepted.
    pub fn set_intake(&self, state: IntakeState) {
        self.intake.send_replace(state);
    }

    /// Waits until no more callers may be accepted.
    pub async fn wait_for_closed_intake(&self) {
        let mut intake = self.intake.subscribe();
        // The sender is a part of this state, so the wait can't fail.
        let _ = intake.wait_for(|state| *state != IntakeState::Open).await;
    }
}
