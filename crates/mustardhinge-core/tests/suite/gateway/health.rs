//! When a gateway is passed over, and how old a forwarded statement is.

use std::time::Duration;

use mustardhinge_core::gateway::{DelayEstimator, GatewayHealth};
use mustardhinge_core::prelude::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_micros(millis * 1_000)
}

/// A gateway whose target works on long statements answers pings, and stays in use.
#[test]
fn a_gateway_with_a_slow_target_stays() {
    let mut health = GatewayHealth::default();
    health.record_request(at(1_000));
    assert!(!health.needs_ping(at(1_100)));
    assert!(health.needs_ping(at(1_250)));
    health.record_received(true, at(1_252));
    assert!(health.is_usable(at(1_600)));
}

/// A frozen gateway is passed over within half a second, and used again with its first word.
#[test]
fn a_frozen_gateway_is_left_within_half_a_second() {
    let mut health = GatewayHealth::default();
    health.record_request(at(1_000));
    assert!(health.is_usable(at(1_400)));
    assert!(!health.is_usable(at(1_500)));
    assert!(!health.should_disconnect(at(3_000)));
    health.record_received(true, at(3_100));
    assert!(health.is_usable(at(3_200)));
    assert!(health.should_disconnect(at(6_200)));
}

/// A gateway that owes nothing may be quiet for as long as it likes.
#[test]
fn quiet_is_not_silent() {
    let mut health = GatewayHealth::default();
    health.record_request(at(1_000));
    health.record_received(false, at(1_010));
    assert!(health.is_usable(at(60_000)));
    assert!(!health.should_disconnect(at(60_000)));
}

/// One that can't be reached is tried again soon, and ever more seldom.
#[test]
fn a_dead_gateway_is_tried_ever_more_seldom() {
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

/// A gateway that is stopping takes nothing new until it was started again.
#[test]
fn a_stopping_gateway_is_left_until_it_is_back() {
    let mut health = GatewayHealth::default();
    health.mark_stopping();
    assert!(!health.is_usable(at(60_000)));
    health.record_failure(at(60_000));
    assert!(health.is_usable(at(60_200)));
}

/// The two clocks differ by hours; what counts is how much longer than the fastest message
/// another one took.
#[test]
fn a_message_found_after_a_freeze_is_old() {
    let mut clock = DelayEstimator::default();
    let offset = 7_200_000;
    assert_eq!(clock.delay(at(1_000), at(1_003 + offset)), Duration::ZERO);
    assert_eq!(clock.delay(at(1_010), at(1_011 + offset)), Duration::ZERO);
    let frozen = clock.delay(at(1_020), at(4_021 + offset));
    assert_eq!(frozen, Duration::from_secs(3));
    let next = clock.delay(at(4_030), at(4_032 + offset));
    assert_eq!(next, Duration::from_millis(1));
}
