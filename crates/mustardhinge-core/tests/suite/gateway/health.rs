//! Gateway health, and the delay of forwarded statements.

use std::time::Duration;

use mustardhinge_core::gateway::{DelayEstimator, GatewayHealth};
use mustardhinge_core::prelude::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_micros(millis * 1_000)
}

/// Guards against skipping a healthy gateway: its target runs long statements, so responses are
/// late, but the gateway responds to pings.
#[test]
fn a_gateway_with_a_slow_target_stays_usable() {
    let mut health = GatewayHealth::default();
    health.record_request(at(1_000));
    assert!(!health.needs_ping(at(1_100)));
    assert!(health.needs_ping(at(1_250)));
    health.record_received(true, at(1_252));
    assert!(health.is_usable(at(1_600)));
}

/// A frozen gateway is skipped within half a second and used again after its next message.
#[test]
fn a_frozen_gateway_is_skipped_within_half_a_second() {
    let mut health = GatewayHealth::default();
    health.record_request(at(1_000));
    assert!(health.is_usable(at(1_400)));
    assert!(!health.is_usable(at(1_500)));
    assert!(!health.should_disconnect(at(3_000)));
    health.record_received(true, at(3_100));
    assert!(health.is_usable(at(3_200)));
    assert!(health.should_disconnect(at(6_200)));
}

/// A gateway without pending requests stays usable however long it sends nothing.
#[test]
fn an_idle_gateway_is_not_unresponsive() {
    let mut health = GatewayHealth::default();
    health.record_request(at(1_000));
    health.record_received(false, at(1_010));
    assert!(health.is_usable(at(60_000)));
    assert!(!health.should_disconnect(at(60_000)));
}

/// The backoff for an unreachable gateway starts at 200 ms, doubles up to 1.6 s and is reset by
/// a message from it.
#[test]
fn the_backoff_for_a_dead_gateway_grows() {
    let mut health = GatewayHealth::default();
    let mut now = 1_000;
    let mut pauses = Vec::new();
    for _ in 0..5 {
        health.record_failure(at(now));
        let free = (now..).find(|time| health.is_usable(at(*time))).unwrap();
        pauses.push(free - now);
        now = free;
    }
    assert_eq!(pauses, [200, 400, 800, 1_600, 1_600]);
    health.record_received(false, at(now));
    health.record_failure(at(now));
    assert!(health.is_usable(at(now + 200)));
}

/// A stopping gateway gets no new statements until its connection has ended and the backoff is
/// over.
#[test]
fn a_stopping_gateway_is_skipped_until_it_has_restarted() {
    let mut health = GatewayHealth::default();
    health.mark_stopping();
    assert!(!health.is_usable(at(60_000)));
    health.record_failure(at(60_000));
    assert!(health.is_usable(at(60_200)));
}

/// Guards against running outdated statements after a freeze. The clocks of the two instances
/// differ by hours, so delay is measured relative to the fastest message.
#[test]
fn a_message_read_after_a_freeze_is_delayed() {
    let mut clock = DelayEstimator::default();
    let offset = 7_200_000;
    assert_eq!(clock.delay(at(1_000), at(1_003 + offset)), Duration::ZERO);
    assert_eq!(clock.delay(at(1_010), at(1_011 + offset)), Duration::ZERO);
    let frozen = clock.delay(at(1_020), at(4_021 + offset));
    assert_eq!(frozen, Duration::from_secs(3));
    let next = clock.delay(at(4_030), at(4_032 + offset));
    assert_eq!(next, Duration::from_millis(1));
}
