use std::time::Duration;

use mustardhinge_core::drain::{DrainCause, DrainState, DrainStep};
use mustardhinge_core::prelude::MonotonicTime;

const BOUND: Duration = Duration::from_secs(30);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn each_cause_drains() {
    for cause in [
        DrainCause::Operator,
        DrainCause::InstanceList,
        DrainCause::StopSignal,
    ] {
        let mut state = DrainState::new(BOUND);
        assert_eq!(state.step(2, at(0)), DrainStep::Serve);
        state.start(cause, at(1));
        assert!(state.is_draining());
        assert_eq!(state.step(2, at(2)), DrainStep::MoveSessions);
    }
}

#[test]
fn a_stop_waits_for_sessions_up_to_the_bound() {
    let mut state = DrainState::new(BOUND);
    state.start(DrainCause::StopSignal, at(1_000));
    // A second signal must not extend the bound.
    state.start(DrainCause::StopSignal, at(20_000));
    assert_eq!(state.step(1, at(30_999)), DrainStep::MoveSessions);
    assert_eq!(state.step(1, at(31_000)), DrainStep::ExitAtBound);
    assert_eq!(state.step(0, at(1_001)), DrainStep::Exit);
}

#[test]
fn cancelling_a_cause_keeps_the_others() {
    let mut state = DrainState::new(BOUND);
    state.start(DrainCause::Operator, at(1));
    state.start(DrainCause::InstanceList, at(2));
    state.cancel(DrainCause::Operator);
    assert_eq!(state.get_cause(), Some(DrainCause::InstanceList));
    state.cancel(DrainCause::InstanceList);
    assert_eq!(state.step(5, at(3)), DrainStep::Serve);
}

#[test]
fn the_stop_signal_is_final() {
    let mut state = DrainState::new(BOUND);
    state.start(DrainCause::StopSignal, at(1));
    state.cancel(DrainCause::StopSignal);
    assert!(state.is_draining());
}
