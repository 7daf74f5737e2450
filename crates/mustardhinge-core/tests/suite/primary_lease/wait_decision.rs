use std::time::Duration;

use mustardhinge_core::primary_lease::WaitDecision;

use super::at;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Simulates writes that arrive every 20 ms while a primary is unusable for `outage`.
///
/// Returns the numbers of served and refused writes and the longest wait of a refused one.
fn replay(outage: u64, timeout: u64, changing_after: u64) -> (u32, u32, u64) {
    let (mut served, mut refused, mut longest) = (0, 0, 0);
    for arrival in (0..outage).step_by(20) {
        let mut now = arrival;
        loop {
            if now >= outage {
                served += 1;
                break;
            }
            let time = (millis(now - arrival), millis(timeout));
            match WaitDecision::decide(
                at(0),
                (now >= changing_after).then(|| at(changing_after)),
                time,
                at(now),
            ) {
                WaitDecision::Wait(_) => now += 10,
                WaitDecision::Refuse(_) => {
                    refused += 1;
                    longest = longest.max(now - arrival);
                    break;
                }
            }
        }
    }
    (served, refused, longest)
}

#[test]
fn writes_wait_for_a_planned_change() {
    let (served, refused, _) = replay(900, 1_500, 0);
    assert_eq!((served, refused), (45, 0));
}

/// Writes that arrive early in an unplanned outage can't be served in time and must be refused
/// without using up their whole timeout.
#[test]
fn writes_that_cant_be_served_in_time_are_refused_early() {
    let (served, refused, longest) = replay(1_700, 800, 600);
    // All writes for which three quarters of their timeout last until the end of the outage.
    assert!(served >= 30, "{served} served");
    assert!(refused > 10, "{refused} refused");
    assert!(longest <= 600, "a refused write waited {longest} ms");
    assert!(matches!(
        WaitDecision::decide(at(0), None, (millis(0), millis(800)), at(10)),
        WaitDecision::Refuse(retry_after) if retry_after > millis(1_500)
    ));
}

#[test]
fn writes_are_refused_immediately_in_an_overdue_outage() {
    let refuse = WaitDecision::decide(at(0), Some(at(0)), (millis(0), millis(1_000)), at(5_000));
    assert!(matches!(refuse, WaitDecision::Refuse(_)));
}

#[test]
fn a_statement_keeps_time_for_its_execution() {
    let wait = WaitDecision::decide(at(0), Some(at(0)), (millis(0), millis(800)), at(900));
    assert_eq!(wait, WaitDecision::Wait(millis(600)));
}
