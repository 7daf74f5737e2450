//! Targets that answer probes and fail statements.

use mustardhinge_core::overload::ProbeTrust;
use mustardhinge_core::prelude::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Counts the statements that are lost in ten seconds, with a statement each 5 ms while the
/// target is in service and a probe 10 ms after each loss and then each 200 ms.
fn count_losses(mut is_lost: impl FnMut(u64) -> bool) -> u32 {
    let mut trust = ProbeTrust::default();
    let (mut is_in_service, mut next_probe, mut losses) = (true, 0, 0);
    for now in (0..10_000).step_by(5) {
        if is_in_service && is_lost(now) {
            losses += 1;
            trust.record_lost_statement(at(now));
            is_in_service = false;
            next_probe = now + 10;
        } else if is_in_service {
            trust.record_served_statement();
        } else if now >= next_probe {
            is_in_service = trust.accept_probe(at(now));
            next_probe = now + 200;
        }
    }
    losses
}

/// Guards against a target that loses a statement after every probe: callers may lose one a
/// second at most.
#[test]
fn a_target_that_serves_nothing_loses_few_statements() {
    let losses = count_losses(|_| true);
    assert!(losses <= 10, "{losses}");
}

/// Guards against leaving out a target for good once its health check tells the truth again.
#[test]
fn a_target_that_recovers_is_used_again_within_five_seconds() {
    let mut served_at = None;
    count_losses(|now| {
        let is_lost = now < 3_000;
        if !is_lost && served_at.is_none() {
            served_at = Some(now);
        }
        is_lost
    });
    assert!(served_at.is_some_and(|at| at < 8_000), "{served_at:?}");
}

/// All connections of a healthy target are reset at once, and statements sent before fail after
/// the probe. Guards against distrust of a target that works.
#[test]
fn a_reset_of_all_connections_causes_no_distrust() {
    let mut trust = ProbeTrust::default();
    for sent_at in [100, 110, 120, 130] {
        trust.record_lost_statement(at(sent_at));
    }
    assert!(trust.accept_probe(at(140)));
    for sent_at in [105, 125, 139] {
        assert!(!trust.record_lost_statement(at(sent_at)));
    }
    assert!(trust.accept_probe(at(150)));
    assert!(!trust.is_distrusted());
}

/// Guards against distrust of a target that loses only some of its statements.
#[test]
fn a_served_statement_restores_the_trust() {
    let mut trust = ProbeTrust::default();
    for round in 0..20_u64 {
        trust.record_lost_statement(at(round * 100));
        assert!(trust.accept_probe(at(round * 100 + 10)));
        trust.record_served_statement();
    }
    assert!(!trust.is_distrusted());
}
