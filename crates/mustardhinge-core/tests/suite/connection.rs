//! Connection health, pool limits and pool sizing.

use std::time::Duration;

use mustardhinge_core::connection::{
    ConnectionHealth, HealthSettings, LimitError, PoolAction, PoolDemand, PoolLimit, ReuseVerdict,
    TimeoutAction,
};
use mustardhinge_core::prelude::*;
use proptest::prelude::*;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Returns a connection that finished opening at 10 ms.
fn open() -> ConnectionHealth {
    let mut health = ConnectionHealth::new(HealthSettings::new(), at(0));
    assert!(health.complete(at(10)));
    health
}

#[test]
fn an_overdue_answer_closes_its_connection() {
    let mut health = open();
    assert!(health.start_request(at(100), at(20)));
    assert_eq!(
        health.check_timeout(at(99)),
        TimeoutAction::WaitUntil(at(100))
    );
    assert_eq!(health.check_timeout(at(100)), TimeoutAction::Close);
    assert!(!health.complete(at(101)));
    assert_eq!(health.check_reuse(at(101)), ReuseVerdict::Unusable);
}

#[test]
fn a_late_response_closes_the_connection_without_a_timeout_check() {
    let mut health = open();
    assert!(health.start_request(at(100), at(20)));
    assert!(!health.complete(at(100)));
    assert!(!health.start_request(at(300), at(101)));
}

#[test]
fn a_connection_carries_one_request_at_a_time() {
    let mut health = open();
    assert!(health.start_request(at(100), at(20)));
    assert!(!health.start_request(at(100), at(21)));
    assert_eq!(health.check_reuse(at(21)), ReuseVerdict::Unusable);
    assert!(health.complete(at(30)));
    assert_eq!(health.check_reuse(at(30)), ReuseVerdict::Ready);
}

#[test]
fn an_unsolicited_response_closes_the_connection() {
    let mut health = open();
    assert!(!health.complete(at(20)));
    assert_eq!(health.check_reuse(at(20)), ReuseVerdict::Unusable);
}

#[test]
fn an_idle_connection_is_validated_within_a_timeout() {
    let mut health = open();
    assert_eq!(health.check_reuse(at(509)), ReuseVerdict::Ready);
    assert_eq!(health.check_reuse(at(510)), ReuseVerdict::ValidateFirst);
    assert!(health.start_validation(at(510)));
    assert_eq!(
        health.check_timeout(at(609)),
        TimeoutAction::WaitUntil(at(610))
    );
    assert_eq!(health.check_timeout(at(610)), TimeoutAction::Close);
}

#[test]
fn opening_a_connection_times_out() {
    let mut health = ConnectionHealth::new(HealthSettings::new(), at(0));
    assert_eq!(health.check_reuse(at(1)), ReuseVerdict::Unusable);
    assert_eq!(health.check_timeout(at(250)), TimeoutAction::Close);
}

#[test]
fn limits_that_cannot_be_shared_are_errors() {
    assert_eq!(PoolLimit::new(30, 5, 0), Err(LimitError::NoInstances));
    let error = PoolLimit::new(10, 5, 8).unwrap_err();
    assert!(matches!(
        error,
        LimitError::TooFewConnections { connections: 6, .. }
    ));
}

#[test]
fn a_spare_connection_is_opened_in_advance_and_idle_ones_are_closed() {
    let limit = PoolLimit::new(30, 5, 7).unwrap();
    assert_eq!(limit.connections(), 3);
    let window = Duration::from_millis(100);
    let mut demand = PoolDemand::new(limit, window, at(0));
    assert_eq!(demand.action(0), PoolAction::Open(1));
    demand.observe(1, at(10));
    assert_eq!(demand.action(1), PoolAction::Open(1));
    demand.observe(7, at(20));
    assert_eq!(demand.action(2), PoolAction::Open(1));
    demand.observe(0, at(100));
    assert_eq!(demand.action(3), PoolAction::Keep);
    demand.observe(0, at(200));
    assert_eq!(demand.action(3), PoolAction::CloseIdle(2));
}

proptest! {
    #[test]
    fn the_instances_together_stay_within_the_targets_limit(
        connections in 1..200_u32,
        slots in 1..40_u32,
        instances in 1..60_u32,
    ) {
        if let Ok(limit) = PoolLimit::new(connections, slots, instances) {
            let all = limit.connections() * instances + PoolLimit::CONTROL_CONNECTIONS;
            prop_assert!(all <= connections);
            prop_assert!(limit.slots() >= 1 && limit.slots() <= limit.connections());
        }
    }
}
