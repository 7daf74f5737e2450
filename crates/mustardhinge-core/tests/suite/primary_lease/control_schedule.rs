use std::time::Duration;

use mustardhinge_core::primary_lease::{ControlSchedule, LeaseSettings};

/// A settled instance rests until its next question; anything open is looked after sooner.
#[test]
fn only_what_is_open_is_looked_after_often() {
    let settings = LeaseSettings::default();
    let settled = ControlSchedule {
        is_closing: false,
        is_leader: false,
        has_pending: false,
        next_request_in: settings.request_interval,
    };
    assert_eq!(settled.delay(), settings.request_interval);
    assert!(
        settled.delay() * 2 < settings.lease,
        "a lease outlasts two questions"
    );
    for busy in [
        ControlSchedule {
            is_leader: true,
            ..settled
        },
        ControlSchedule {
            has_pending: true,
            ..settled
        },
    ] {
        assert_eq!(busy.delay(), Duration::from_millis(100));
    }
    let closing = ControlSchedule {
        is_closing: true,
        ..settled
    };
    assert_eq!(closing.delay(), Duration::from_millis(20));
}
