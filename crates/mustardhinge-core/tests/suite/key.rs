use std::time::Duration;

use mustardhinge_core::key::{KeyDigest, KeyStanding, KeyTable, OutageEvidence, ProofClock};
use mustardhinge_core::prelude::*;
use proptest::prelude::*;

const BOUND: Duration = Duration::from_millis(2_500);
const ZONES: usize = 3;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

fn outage(asked_at: u64, known_revision: u64) -> OutageEvidence {
    OutageEvidence {
        asked_at: at(asked_at),
        known_revision,
    }
}

#[test]
fn the_digest_is_sha_256() {
    let digest = KeyDigest::of(b"abc").to_string();
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(digest, expected);
}

#[test]
fn a_key_finds_its_own_customer_only() {
    let customers = ["sohar", "nizwa", "sur"];
    let keys = customers.map(|name| (name.parse().unwrap(), KeyDigest::of(name.as_bytes())));
    let table = KeyTable::new(keys);
    for name in customers {
        let found = table.find_customer(&KeyDigest::of(name.as_bytes()));
        assert_eq!(found.map(CustomerId::as_str), Some(name));
    }
    assert_eq!(table.find_customer(&KeyDigest::of(b"ibri")), None);
    assert_eq!(
        KeyTable::default().find_customer(&KeyDigest::of(b"sur")),
        None
    );
}

#[test]
fn proof_lapses_at_the_bound() {
    let mut clock = ProofClock::new(ZONES);
    assert_eq!(clock.key_standing(0, BOUND, at(0)), KeyStanding::Unproven);
    clock.record_proof(at(1_000));
    assert_eq!(clock.key_standing(0, BOUND, at(3_499)), KeyStanding::Fresh);
    assert_eq!(
        clock.key_standing(0, BOUND, at(3_500)),
        KeyStanding::Unproven
    );
}

#[test]
fn an_older_proof_takes_nothing_away() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_proof(at(1_000));
    clock.record_proof(at(500));
    assert_eq!(
        clock.get_proof_age(at(1_100)),
        Some(Duration::from_millis(100))
    );
}

#[test]
fn a_relayed_proof_counts_from_the_question() {
    let mut clock = ProofClock::new(ZONES);
    // Asked at 4 s, answered by a process whose proof was 1 s old, and read only
    // at 9 s because this process was paused.
    clock.record_relayed_proof(at(4_000), Duration::from_secs(1));
    assert_eq!(
        clock.key_standing(0, BOUND, at(9_000)),
        KeyStanding::Unproven
    );
    assert_eq!(clock.key_standing(0, BOUND, at(5_499)), KeyStanding::Fresh);
    assert_eq!(
        clock.key_standing(0, BOUND, at(5_500)),
        KeyStanding::Unproven
    );
}

#[test]
fn a_majority_of_zones_without_store_keeps_keys_valid() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_outage(zone("a"), outage(1_000, 7));
    assert_eq!(
        clock.key_standing(7, BOUND, at(1_100)),
        KeyStanding::Unproven
    );
    clock.record_outage(zone("a"), outage(1_050, 7));
    assert_eq!(
        clock.key_standing(7, BOUND, at(1_100)),
        KeyStanding::Unproven
    );
    clock.record_outage(zone("b"), outage(1_000, 7));
    assert_eq!(clock.key_standing(7, BOUND, at(1_100)), KeyStanding::Fresh);
}

#[test]
fn evidence_of_an_outage_grows_old() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_outage(zone("a"), outage(1_000, 7));
    clock.record_outage(zone("b"), outage(3_000, 7));
    assert_eq!(
        clock.key_standing(7, BOUND, at(3_600)),
        KeyStanding::Unproven
    );
}

#[test]
fn an_instance_that_missed_a_change_has_no_proof() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_outage(zone("a"), outage(1_000, 7));
    clock.record_outage(zone("b"), outage(1_000, 8));
    assert_eq!(
        clock.key_standing(7, BOUND, at(1_100)),
        KeyStanding::Unproven
    );
    assert_eq!(clock.key_standing(8, BOUND, at(1_100)), KeyStanding::Fresh);
}

#[test]
fn a_zone_that_reaches_the_store_again_is_no_evidence() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_outage(zone("a"), outage(1_000, 7));
    clock.record_outage(zone("b"), outage(1_000, 7));
    clock.clear_outage(&zone("b"));
    assert_eq!(
        clock.key_standing(7, BOUND, at(1_100)),
        KeyStanding::Unproven
    );
}

proptest! {
    /// A question sent after the withdrawal brings it along; so the key must be
    /// dead within the bound, whatever questions were answered before.
    #[test]
    fn a_withdrawn_key_is_dead_within_the_bound(
        questions in prop::collection::vec((0_u64..20_000, 0_u64..5_000), 0..40),
        withdrawn_at in 0_u64..20_000,
        checks in prop::collection::vec(0_u64..30_000, 1..40),
    ) {
        let mut clock = ProofClock::new(ZONES);
        for (asked_at, age) in questions {
            let proven_at = asked_at.saturating_sub(age);
            if proven_at <= withdrawn_at {
                clock.record_relayed_proof(at(asked_at), Duration::from_millis(age));
            }
        }
        for now in checks {
            let standing = clock.key_standing(0, BOUND, at(now));
            let is_alive = standing == KeyStanding::Fresh;
            prop_assert!(!is_alive || now < withdrawn_at + 2_500);
        }
    }
}
