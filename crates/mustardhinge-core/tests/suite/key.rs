use std::time::Duration;

use mustardhinge_core::key::{KeyDigest, KeyTable, KeyValidity, OutageEvidence, ProofClock};
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

fn outage(requested_at: u64, known_revision: u64) -> OutageEvidence {
    OutageEvidence {
        requested_at: at(requested_at),
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
fn a_key_matches_only_its_own_customer() {
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
fn proof_expires_at_the_bound() {
    let mut clock = ProofClock::new(ZONES);
    assert_eq!(clock.key_validity(0, BOUND, at(0)), KeyValidity::Unproven);
    clock.record_proof(at(1_000));
    assert_eq!(clock.key_validity(0, BOUND, at(3_499)), KeyValidity::Fresh);
    assert_eq!(
        clock.key_validity(0, BOUND, at(3_500)),
        KeyValidity::Unproven
    );
}

#[test]
fn an_older_proof_does_not_replace_a_newer_one() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_proof(at(1_000));
    clock.record_proof(at(500));
    assert_eq!(
        clock.get_proof_age(at(1_100)),
        Some(Duration::from_millis(100))
    );
}

#[test]
fn a_relayed_proof_counts_from_the_request() {
    let mut clock = ProofClock::new(ZONES);
    // The request was sent at 4 s to a process whose proof was 1 s old. Its response was
    // read only at 9 s, because this process was paused.
    clock.record_relayed_proof(at(4_000), Duration::from_secs(1));
    assert_eq!(
        clock.key_validity(0, BOUND, at(9_000)),
        KeyValidity::Unproven
    );
    assert_eq!(clock.key_validity(0, BOUND, at(5_499)), KeyValidity::Fresh);
    assert_eq!(
        clock.key_validity(0, BOUND, at(5_500)),
        KeyValidity::Unproven
    );
}

#[test]
fn a_majority_of_zones_without_store_keeps_keys_valid() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_outage(zone("a"), outage(1_000, 7));
    assert_eq!(
        clock.key_validity(7, BOUND, at(1_100)),
        KeyValidity::Unproven
    );
    clock.record_outage(zone("a"), outage(1_050, 7));
    assert_eq!(
        clock.key_validity(7, BOUND, at(1_100)),
        KeyValidity::Unproven
    );
    clock.record_outage(zone("b"), outage(1_000, 7));
    assert_eq!(clock.key_validity(7, BOUND, at(1_100)), KeyValidity::Fresh);
}

#[test]
fn outage_evidence_expires() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_outage(zone("a"), outage(1_000, 7));
    clock.record_outage(zone("b"), outage(3_000, 7));
    assert_eq!(
        clock.key_validity(7, BOUND, at(3_600)),
        KeyValidity::Unproven
    );
}

#[test]
fn an_instance_that_missed_a_change_has_no_proof() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_outage(zone("a"), outage(1_000, 7));
    clock.record_outage(zone("b"), outage(1_000, 8));
    assert_eq!(
        clock.key_validity(7, BOUND, at(1_100)),
        KeyValidity::Unproven
    );
    assert_eq!(clock.key_validity(8, BOUND, at(1_100)), KeyValidity::Fresh);
}

#[test]
fn a_zone_that_reaches_the_store_again_is_no_evidence() {
    let mut clock = ProofClock::new(ZONES);
    clock.record_outage(zone("a"), outage(1_000, 7));
    clock.record_outage(zone("b"), outage(1_000, 7));
    clock.clear_outage(&zone("b"));
    assert_eq!(
        clock.key_validity(7, BOUND, at(1_100)),
        KeyValidity::Unproven
    );
}

proptest! {
    /// A response to a request sent after the withdrawal contains the withdrawal. The key
    /// must therefore be rejected within the bound, whatever earlier requests were answered.
    #[test]
    fn a_withdrawn_key_is_rejected_within_the_bound(
        requests in prop::collection::vec((0_u64..20_000, 0_u64..5_000), 0..40),
        withdrawn_at in 0_u64..20_000,
        checks in prop::collection::vec(0_u64..30_000, 1..40),
    ) {
        let mut clock = ProofClock::new(ZONES);
        for (requested_at, age) in requests {
            let proven_at = requested_at.saturating_sub(age);
            if proven_at <= withdrawn_at {
                clock.record_relayed_proof(at(requested_at), Duration::from_millis(age));
            }
        }
        for now in checks {
            let validity = clock.key_validity(0, BOUND, at(now));
            let is_valid = validity == KeyValidity::Fresh;
            prop_assert!(!is_valid || now < withdrawn_at + 2_500);
        }
    }
}
