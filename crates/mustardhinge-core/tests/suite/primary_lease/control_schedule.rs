use std::time::Duration;

use mustardhinge_core::primary_lease::{ControlSchedule, LeaseSettings};

/// An idle instance waits until its next request; the leader and instances with pending work run
/// the control loop more often.
#[test]
fn only_pending_work_shortens_the_delay() {
    let settings = LeaseSettings::default();
    let idle = ControlSchedule {
        is_closing: false,
        is_leader: false,
        has_pending: false,
        next_request_in: settings.request_interval,
    };
    assert_eq!(idle.delay(), settings.request_interval);
    assert!(
        idle.delay() * 2 < settings.lease,
        "a lease outlasts two request intervals"
    );
    for busy in [
        ControlSchedule {
            is_leader: true,
            ..idle
        },
        ControlSchedule {
            has_pending: true,
            ..idle
        },
    ] {
        assert_eq!(busy.delay(), Duration::from_millis(100));
    }
    let closing = ControlSchedule {
        is_closing: true,
        ..idle
    };
    assert_eq!(closing.delay(), Duration::from_millis(20));
}
