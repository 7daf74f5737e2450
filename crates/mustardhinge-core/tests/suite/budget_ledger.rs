use std::time::Duration;

use mustardhinge_core::budget::{LedgerError, LedgerRequest, ShareLedger};

use crate::budget_fixtures::{at, client, full_ledger, limit, req, respond, zone};

fn request(sequence: u64, spent_total: u64, held: u64, waiting: u64) -> LedgerRequest {
    LedgerRequest {
        client: client(1),
        zone: zone("a"),
        ledger_epoch: 1,
        sequence,
        spent_total: req(spent_total),
        held: req(held),
        waiting: req(waiting),
        wanted: req(waiting),
    }
}

#[test]
fn a_new_ledger_is_empty() {
    let mut ledger = full_ledger();
    assert_eq!(
        respond(&mut ledger, &request(1, 0, 0, 5), 0).granted,
        req(0)
    );
}

#[test]
fn a_duplicate_request_is_granted_once() {
    let mut ledger = full_ledger();
    let first = respond(&mut ledger, &request(1, 0, 0, 4), 2_000);
    let second = respond(&mut ledger, &request(1, 0, 0, 4), 2_100);
    assert_eq!((first.granted, second), (req(4), first));
    assert_eq!(ledger.outstanding(at(2_100)), req(4));
}

#[test]
fn a_stale_request_is_rejected() {
    let mut ledger = full_ledger();
    respond(&mut ledger, &request(2, 0, 0, 1), 2_000);
    let stale = ledger.handle_request(&request(1, 0, 0, 1), at(2_001));
    let expected = LedgerError::StaleSequence {
        sequence: 1,
        newest: 2,
    };
    assert_eq!(stale, Err(expected));
}

#[test]
fn a_grant_whose_response_was_lost_is_returned() {
    let mut ledger = full_ledger();
    assert_eq!(
        respond(&mut ledger, &request(1, 0, 0, 10), 2_000).granted,
        req(10)
    );
    let again = respond(&mut ledger, &request(2, 0, 0, 10), 2_000);
    assert_eq!(again.granted, req(10));
}

#[test]
fn outstanding_grants_count_against_the_burst_until_reported_spent() {
    let mut ledger = full_ledger();
    respond(&mut ledger, &request(1, 0, 0, 10), 2_000);
    // The rate gives 5 requests in half a second, but the whole burst is outstanding.
    assert_eq!(
        respond(&mut ledger, &request(2, 0, 10, 5), 2_500).granted,
        req(0)
    );
    assert_eq!(
        respond(&mut ledger, &request(3, 10, 0, 5), 2_500).granted,
        req(0)
    );
    assert_eq!(
        respond(&mut ledger, &request(4, 10, 0, 5), 3_000).granted,
        req(5)
    );
}

#[test]
fn expired_grants_are_not_granted_again() {
    let mut ledger = full_ledger();
    respond(&mut ledger, &request(1, 0, 0, 10), 2_000);
    let expiry = at(2_000) + ShareLedger::max_grant_lifetime();
    assert_eq!(
        ledger.outstanding(expiry - Duration::from_micros(1)),
        req(10)
    );
    assert_eq!(ledger.outstanding(expiry), req(0));
    assert_eq!(ledger.available(expiry), req(0));
}

#[test]
fn a_lower_limit_caps_the_available_amount() {
    let mut ledger = full_ledger();
    ledger.set_limit(limit(10, 3), at(5_000));
    assert_eq!(ledger.available(at(5_000)), req(3));
    ledger.set_limit(limit(10, 10), at(5_000));
    assert_eq!(ledger.available(at(5_000)), req(3));
}

#[test]
fn a_refusal_has_the_time_until_budget_is_available() {
    let mut ledger = full_ledger();
    let first = respond(&mut ledger, &request(1, 0, 0, 10), 2_000);
    assert_eq!(first.granted, req(10));
    let refused = respond(&mut ledger, &request(2, 10, 0, 1), 2_030);
    assert_eq!((refused.granted, refused.retry_after_ms), (req(0), 25));
    let granted = respond(&mut ledger, &request(3, 10, 0, 1), 2_130);
    assert_eq!(granted.granted, req(1));
}

#[test]
fn grants_are_not_extended_after_the_limit_was_lowered() {
    let mut ledger = full_ledger();
    assert_eq!(
        respond(&mut ledger, &request(1, 0, 0, 10), 2_000).granted,
        req(10)
    );
    ledger.set_limit(limit(10, 3), at(2_500));
    let kept = respond(&mut ledger, &request(2, 0, 10, 0), 2_900);
    assert_eq!((kept.granted, kept.valid_ms), (req(0), 0));
    assert_eq!(ledger.outstanding(at(3_063)), req(0));
}

#[test]
fn time_before_a_change_counts_at_the_smaller_rate() {
    let mut raised = ShareLedger::empty(1, limit(1, 50), at(0));
    raised.set_limit(limit(10, 50), at(5_000));
    assert_eq!(raised.available(at(5_000)), req(5));
    let mut lowered = ShareLedger::empty(1, limit(10, 50), at(0));
    lowered.set_limit(limit(1, 50), at(5_000));
    assert_eq!(lowered.available(at(5_000)), req(5));
}

/// An entry counts spent requests per ledger. If the total of an earlier ledger were
/// kept, requests spent from this ledger would not be counted.
#[test]
fn totals_of_an_earlier_ledger_are_ignored() {
    let mut ledger = ShareLedger::empty(2, limit(1, 10), at(0));
    let first = respond(&mut ledger, &request(1, 100, 3, 10), 10_000);
    assert_eq!(first.granted, req(10));
    let mut report = request(2, 10, 0, 10);
    report.ledger_epoch = 2;
    assert_eq!(respond(&mut ledger, &report, 10_000).granted, req(0));
}
