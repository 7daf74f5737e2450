use std::time::Duration;

use mustardhinge_core::budget::{Admission, EntryAllowance, RequestAmount, ShareLedger};
use mustardhinge_core::prelude::*;

use crate::budget_fixtures::{at, client, full_ledger, limit, req, respond, zone};

fn allowance(now: MonotonicTime) -> EntryAllowance {
    EntryAllowance::new(client(1), zone("a"), [zone("b")], now)
}

#[test]
fn an_entry_does_not_use_an_expired_grant() {
    let mut ledger = full_ledger();
    let mut allowance = allowance(at(2_000));
    assert_eq!(allowance.try_admit(at(2_000)), Admission::NeedsGrant);
    let (_, request) = allowance.next_request(1, at(2_000)).unwrap();
    let response = respond(&mut ledger, &request, 2_900);
    allowance.on_response(&zone("a"), &response, at(2_950));
    assert_eq!(allowance.usable(at(2_999)), req(1));
    assert_eq!(allowance.usable(at(3_000)), req(0));
}

#[test]
fn an_entry_ignores_a_response_after_a_timeout() {
    let mut ledger = full_ledger();
    let mut allowance = allowance(at(2_000));
    let (_, request) = allowance.next_request(1, at(2_000)).unwrap();
    let response = respond(&mut ledger, &request, 2_000);
    allowance.on_failure(&zone("a"), request.sequence, at(2_100));
    allowance.on_response(&zone("a"), &response, at(2_101));
    assert_eq!(allowance.usable(at(2_101)), req(0));
}

#[test]
fn an_entry_asks_the_other_zones_before_it_refuses() {
    let mut empty = ShareLedger::empty(1, limit(10, 10), at(2_000));
    let mut full = full_ledger();
    let mut allowance = allowance(at(2_000));
    let (first_zone, first_request) = allowance.next_request(1, at(2_000)).unwrap();
    assert_eq!(first_zone, zone("a"));
    let first = respond(&mut empty, &first_request, 2_000);
    allowance.on_response(&first_zone, &first, at(2_001));
    assert_eq!(allowance.retry_admit(at(2_001)), Admission::NeedsGrant);
    let (second_zone, second_request) = allowance.next_request(1, at(2_001)).unwrap();
    assert_eq!(second_zone, zone("b"));
    let second = respond(&mut full, &second_request, 2_002);
    allowance.on_response(&second_zone, &second, at(2_003));
    assert_eq!(allowance.retry_admit(at(2_003)), Admission::Admitted);
}

#[test]
fn an_entry_refuses_at_once_while_every_ledger_is_empty() {
    let mut allowance = allowance(at(2_000));
    for name in ["a", "b"] {
        let mut empty = ShareLedger::empty(1, limit(10, 10), at(2_000));
        let (chosen, request) = allowance.next_request(1, at(2_000)).unwrap();
        assert_eq!(chosen, zone(name));
        let response = respond(&mut empty, &request, 2_000);
        allowance.on_response(&chosen, &response, at(2_000));
    }
    let refused = Admission::Refused {
        retry_after: RetryDelay::new(Duration::from_millis(20)),
    };
    assert_eq!(allowance.try_admit(at(2_005)), refused);
    assert_eq!(allowance.try_admit(at(2_100)), Admission::NeedsGrant);
}

#[test]
fn an_idle_entry_returns_what_it_holds() {
    let mut ledger = full_ledger();
    let mut allowance = allowance(at(2_000));
    allowance.try_admit(at(2_000));
    let (_, request) = allowance.next_request(6, at(2_000)).unwrap();
    let granted = respond(&mut ledger, &request, 2_000);
    allowance.on_response(&zone("a"), &granted, at(2_001));
    assert_eq!(allowance.retry_admit(at(2_001)), Admission::Admitted);
    let (_, back) = allowance.next_request(0, at(2_060)).unwrap();
    respond(&mut ledger, &back, 2_060);
    assert_eq!(
        (allowance.usable(at(2_060)), ledger.outstanding(at(2_060))),
        (req(0), req(0))
    );
    assert_eq!(ledger.available(at(2_060)), req(9));
}

#[test]
fn grants_of_an_earlier_ledger_are_void() {
    let mut allowance = allowance(at(2_000));
    let (_, request) = allowance.next_request(5, at(2_000)).unwrap();
    let granted = respond(&mut full_ledger(), &request, 2_000);
    allowance.on_response(&zone("a"), &granted, at(2_000));
    assert_eq!(allowance.usable(at(2_000)), req(5));
    let mut successor = ShareLedger::empty(2, limit(10, 10), at(1_000));
    let (_, request) = allowance.next_request(7, at(2_100)).unwrap();
    let granted = respond(&mut successor, &request, 2_100);
    allowance.on_response(&zone("a"), &granted, at(2_100));
    assert_eq!(allowance.usable(at(2_100)), granted.granted);
}

/// Each of two ledgers grants a fraction of a request. Without their sum, no entry
/// could spend either fraction.
#[test]
fn fractions_of_several_ledgers_admit_a_request() {
    let mut allowance = allowance(at(2_000));
    for (name, rate) in [("a", 6), ("b", 4)] {
        let mut ledger = ShareLedger::empty(1, limit(rate, 10), at(1_900));
        let (chosen, request) = allowance.next_request(1, at(2_000)).unwrap();
        assert_eq!(chosen, zone(name));
        let granted = respond(&mut ledger, &request, 2_000);
        assert_eq!(granted.granted, RequestAmount::from_millis(100 * rate));
        allowance.on_response(&chosen, &granted, at(2_000));
    }
    assert_eq!(allowance.retry_admit(at(2_000)), Admission::Admitted);
    assert_eq!(allowance.usable(at(2_000)), req(0));
}

/// A fraction that no request waits for is returned at once. If the entry kept it, no
/// other entry could use it.
#[test]
fn a_fraction_is_returned_if_no_request_waits_for_it() {
    let mut allowance = allowance(at(2_000));
    let mut ledger = ShareLedger::empty(1, limit(6, 10), at(1_900));
    allowance.try_admit(at(2_000));
    let (_, first) = allowance.next_request(1, at(2_000)).unwrap();
    let granted = respond(&mut ledger, &first, 2_000);
    allowance.on_response(&zone("a"), &granted, at(2_001));
    let (chosen, back) = allowance.next_request(0, at(2_002)).unwrap();
    assert_eq!(
        (chosen, back.held, back.waiting),
        (zone("a"), req(0), req(0))
    );
    respond(&mut ledger, &back, 2_002);
    assert_eq!(ledger.outstanding(at(2_002)), req(0));
}

#[test]
fn spent_requests_are_reported_promptly_to_a_low_ledger() {
    let mut allowance = allowance(at(2_000));
    let mut ledger = full_ledger();
    allowance.try_admit(at(2_000));
    let (_, first) = allowance.next_request(1, at(2_000)).unwrap();
    let granted = respond(&mut ledger, &first, 2_000);
    allowance.on_response(&zone("a"), &granted, at(2_000));
    assert_eq!(allowance.retry_admit(at(2_000)), Admission::Admitted);
    assert!(allowance.next_request(0, at(2_005)).is_none());
    let (_, report) = allowance.next_request(0, at(2_010)).unwrap();
    respond(&mut ledger, &report, 2_010);
    // One of ten requests is spent, and its capacity can refill.
    assert_eq!(ledger.outstanding(at(2_010)), req(0));
    assert_eq!(ledger.available(at(2_110)), req(10));
}

#[test]
fn the_ledger_with_most_available_is_used_once_the_own_one_is_low() {
    let mut allowance = allowance(at(2_000));
    let mut own = ShareLedger::empty(1, limit(10, 10), at(1_800));
    allowance.try_admit(at(2_000));
    let (chosen, first) = allowance.next_request(1, at(2_000)).unwrap();
    let granted = respond(&mut own, &first, 2_000);
    assert_eq!((granted.granted, granted.available), (req(1), req(1)));
    allowance.on_response(&chosen, &granted, at(2_000));
    assert_eq!(allowance.retry_admit(at(2_000)), Admission::Admitted);
    let (chosen, _) = allowance.next_request(1, at(2_001)).unwrap();
    assert_eq!(chosen, zone("b"));
}

/// A grant that expires while a response is in flight stays expired, since the ledger
/// has already counted it as spent.
#[test]
fn a_late_response_does_not_extend_an_expired_grant() {
    let mut allowance = allowance(at(2_000));
    let mut ledger = full_ledger();
    let (_, first) = allowance.next_request(6, at(2_000)).unwrap();
    let granted = respond(&mut ledger, &first, 2_000);
    allowance.on_response(&zone("a"), &granted, at(2_000));
    assert_eq!(allowance.try_admit(at(2_900)), Admission::Admitted);
    let (_, second) = allowance.next_request(8, at(2_900)).unwrap();
    assert_eq!((second.held, second.waiting), (req(5), req(3)));
    let late = respond(&mut ledger, &second, 3_500);
    allowance.on_response(&zone("a"), &late, at(3_600));
    assert_eq!(
        (late.granted, allowance.usable(at(3_600))),
        (req(3), req(3))
    );
    assert_eq!(ledger.outstanding(at(3_600)), req(3));
}

/// The entry's clock runs 2.5 % slow and the ledger's 2.5 % fast. The ledger must not
/// expire a grant that the entry can still use.
#[test]
fn outstanding_grants_stay_counted_despite_clock_skew() {
    let mut allowance = allowance(at(0));
    let mut ledger = full_ledger();
    let (_, request) = allowance.next_request(5, at(0)).unwrap();
    let granted = respond(&mut ledger, &request, 2_000);
    allowance.on_response(&zone("a"), &granted, at(0));
    let (slow, fast) = (at(1_020 * 975 / 1_000), at(2_000 + 1_020 * 1_025 / 1_000));
    assert_eq!(
        (allowance.usable(slow), ledger.outstanding(fast)),
        (req(5), req(5))
    );
}
