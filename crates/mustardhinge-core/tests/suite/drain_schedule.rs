//! The phases of a planned stop, and what it still takes.

use std::time::Duration;

use mustardhinge_core::membership::{DrainPhase, DrainSchedule};
use mustardhinge_core::prelude::MonotonicTime;
use proptest::prelude::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn schedule(grace_ms: u64) -> DrainSchedule {
    DrainSchedule::new(at(1_000), Duration::from_millis(grace_ms))
}

#[test]
fn a_stop_passes_through_its_phases_in_order() {
    let schedule = schedule(6_000);
    let expected = [
        (1_000, DrainPhase::Announced),
        (2_499, DrainPhase::Announced),
        (2_500, DrainPhase::Closing),
        (4_000, DrainPhase::Ending),
        (5_500, DrainPhase::Refusing),
        (6_600, DrainPhase::Finishing),
    ];
    for (millis, phase) in expected {
        assert_eq!(schedule.phase(at(millis)), phase, "at {millis} ms");
    }
}

#[test]
fn a_shortened_grace_period_is_in_force_and_a_longer_one_is_not() {
    let schedule = schedule(6_000).with_grace(Duration::from_secs(4));
    assert_eq!(schedule.finishing_at(), at(4_600));
    let longer = schedule.with_grace(Duration::from_secs(9));
    assert_eq!(longer.finishing_at(), at(4_600));
}

proptest! {
    /// A request that is taken in the second half of a stop is answered before its end, however long
    /// it takes, and phases never go back.
    #[test]
    fn a_late_request_is_taken_only_if_it_can_be_answered(
        grace_ms in 0..20_000_u64,
        longest_ms in 0..20_000_u64,
        moments in proptest::collection::vec(1_000..25_000_u64, 2),
    ) {
        let schedule = schedule(grace_ms);
        let now = at(moments[0]);
        let longest = Duration::from_millis(longest_ms);
        if schedule.phase(now) >= DrainPhase::Ending && schedule.may_take(longest, now) {
            prop_assert!(now + longest <= schedule.finishing_at());
        }
        let (first, last) = (moments[0].min(moments[1]), moments[0].max(moments[1]));
        prop_assert!(schedule.phase(at(first)) <= schedule.phase(at(last)));
    }
}
