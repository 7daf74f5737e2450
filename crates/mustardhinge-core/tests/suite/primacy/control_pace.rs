use std::time::Duration;

use mustardhinge_core::primacy::{ControlPace, PrimacySettings};

/// A settled instance rests until its next question; anything open is looked after sooner.
#[test]
fn only_what_is_open_is_looked_after_often() {
    let settings = PrimacySettings::default();
    let settled = ControlPace {
        is_closing: false,
        is_holder: false,
        is_unsettled: false,
        ask_in: settings.ask_every,
    };
    assert_eq!(settled.pause(), settings.ask_every);
    assert!(
        settled.pause() * 2 < settings.lease,
        "a lease outlasts two questions"
    );
    for busy in [
        ControlPace {
            is_holder: true,
            ..settled
        },
        ControlPace {
            is_unsettled: true,
            ..settled
        },
    ] {
        assert_eq!(busy.pause(), Duration::from_millis(100));
    }
    let closing = ControlPace {
        is_closing: true,
        ..settled
    };
    assert_eq!(closing.pause(), Duration::from_millis(20));
}
