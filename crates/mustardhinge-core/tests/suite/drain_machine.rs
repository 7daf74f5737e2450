//! When a planned stop closes the listener and ends the process.

use std::time::Duration;

use mustardhinge_core::membership::{
    DrainAction, DrainMachine, DrainPhase, DrainSchedule, DrainWork, IntakeState,
};
use mustardhinge_core::prelude::MonotonicTime;
use proptest::prelude::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn schedule() -> DrainSchedule {
    DrainSchedule::new(at(0), Duration::from_secs(6))
}

/// The platform still sends callers for two seconds. They are served, although the instance is idle.
#[test]
fn an_idle_instance_accepts_callers_until_it_is_out_of_rotation() {
    let mut machine = DrainMachine::default();
    let idle = DrainWork::default();
    for millis in [0, 1_600, 2_100] {
        let action = machine.step(schedule(), idle, at(millis));
        assert_eq!(action, DrainAction::Continue, "at {millis} ms");
    }
    let action = machine.step(schedule(), idle, at(2_200));
    assert_eq!(action, DrainAction::CloseIntake);
}

/// A zone may have this instance alone. It refuses no caller whom it can serve for seconds.
#[test]
fn a_busy_instance_accepts_callers_until_new_requests_are_refused() {
    let mut machine = DrainMachine::default();
    let busy = DrainWork {
        sessions: 1,
        ..DrainWork::default()
    };
    let action = machine.step(schedule(), busy, at(4_400));
    assert_eq!(action, DrainAction::Continue);
    let action = machine.step(schedule(), busy, at(4_500));
    assert_eq!(action, DrainAction::CloseIntake);
}

/// A step of an instance that stops, or an event at it.
#[derive(Clone, Debug)]
enum DrainEvent {
    Connect,
    TakeForwarded,
    Queue,
    FinishSession,
    FinishForwarded,
    Send,
    Release,
    CloseListener,
    Step { after_ms: u64 },
}

fn drain_event() -> impl Strategy<Value = DrainEvent> {
    prop_oneof![
        Just(DrainEvent::Connect),
        Just(DrainEvent::TakeForwarded),
        Just(DrainEvent::Queue),
        Just(DrainEvent::FinishSession),
        Just(DrainEvent::FinishForwarded),
        Just(DrainEvent::Send),
        Just(DrainEvent::Release),
        Just(DrainEvent::CloseListener),
        (0..700_u64).prop_map(|after_ms| DrainEvent::Step { after_ms }),
        (0..60_u64).prop_map(|after_ms| DrainEvent::Step { after_ms }),
    ]
}

proptest! {
    /// Failure: the process ended with callers whom it had accepted after it was idle once.
    #[test]
    fn a_process_ends_only_if_nothing_is_left_that_it_took(
        events in proptest::collection::vec(drain_event(), 1..120),
    ) {
        let mut machine = DrainMachine::default();
        let mut now = at(0);
        let mut work = DrainWork { is_releasing: true, ..DrainWork::default() };
        // Connections in the queue of the listener, which the instance has not seen.
        let mut queued = 0;
        for event in events {
            match event {
                DrainEvent::Connect => match machine.intake() {
                    IntakeState::Open => work.sessions += 1,
                    IntakeState::Closing => queued += 1,
                    // The connection is refused.
                    IntakeState::Closed => {}
                },
                // Refused at once, or a statement of an open transaction.
                DrainEvent::TakeForwarded => {
                    let phase = schedule().phase(now);
                    if phase < DrainPhase::Closing || work.forwarded > 0 {
                        work.forwarded += 1;
                    }
                }
                DrainEvent::Queue if work.forwarded > 0 => work.unsent += 1,
                DrainEvent::Queue => {}
                DrainEvent::FinishSession => work.sessions = work.sessions.saturating_sub(1),
                DrainEvent::FinishForwarded => work.forwarded = work.forwarded.saturating_sub(1),
                DrainEvent::Send => work.unsent = work.unsent.saturating_sub(1),
                DrainEvent::Release => work.is_releasing = false,
                DrainEvent::CloseListener => {
                    if machine.intake() == IntakeState::Closing {
                        work.sessions += std::mem::take(&mut queued);
                        machine.record_closed_intake();
                    }
                }
                DrainEvent::Step { after_ms } => {
                    now = now + Duration::from_millis(after_ms);
                    if machine.step(schedule(), work, now) == DrainAction::End {
                        let is_finished = work.is_done() && queued == 0;
                        prop_assert!(is_finished || now >= schedule().ends_at(), "{work:?}");
                        prop_assert!(machine.intake() == IntakeState::Closed || now >= schedule().ends_at());
                        return Ok(());
                    }
                }
            }
        }
    }
}
