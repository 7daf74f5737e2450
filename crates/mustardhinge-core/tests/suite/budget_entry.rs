use std::time::Duration;

use mustardhinge_core::budget::{Admission, EntryAllowance, RequestAmount, ShareLedger};
use mustardhinge_core::prelude::*;

use crate::budget_fixtures::{at, client, full_ledger, limit, req, respond, zone};

fn allowance(now: MonotonicTime) -> EntryAllowance {
    EntryAllowance::new(client(1), zone("a"), [zone("b")], now)
}

#[test]
fn an_entry_does_not_use_a_grant_after_it_lapsed() {
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
fn an_entry_ignores_an_answer_it_gave_up_on() {
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
fn an_entry_refuses_at_once_while_every_ledger_is_dry() {
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
fn an_idle_entry_gives_back_what_it_holds() {
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
fn a_new_ledger_of_the_share_does_not_inherit() {
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

/// Two zones have a part of a request each, which together make one.
#[test]
fn fractions_of_several_ledgers_pay_for_a_request() {
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

/// What does not make a request goes back at once, to be used elsewhere.
#[test]
fn a_fraction_that_nobody_waits_for_goes_back() {
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
fn spent_requests_are_reported_soon_to_a_ledger_that_has_little() {
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
    // Of ten, one is spent, and its room can fill up again.
    assert_eq!(ledger.outstanding(at(2_010)), req(0));
    assert_eq!(ledger.available(at(2_110)), req(10));
}

#[test]
fn the_ledger_with_most_is_asked_once_the_own_one_is_low() {
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

/// What lapsed on its way stays lapsed, since the ledger has written it off.
#[test]
fn a_late_answer_does_not_revive_what_has_lapsed() {
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

/// The entry's clock runs 2.5 % too slow, the ledger's as much too fast.
#[test]
fn clocks_of_different_speed_keep_lent_requests_counted() {
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
