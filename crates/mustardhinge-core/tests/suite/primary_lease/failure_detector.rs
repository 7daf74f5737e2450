use mustardhinge_core::primary_lease::{FailureDetector, PrimaryEvidence};

use super::{at, id};

fn detector(evidence: &[PrimaryEvidence]) -> FailureDetector {
    let mut detector = FailureDetector::default();
    for (index, evidence) in evidence.iter().enumerate() {
        detector.report(id(&format!("i{index}")), *evidence, at(10_000));
    }
    detector
}

#[test]
fn a_crash_seen_by_all_instances_is_detected_soon() {
    let fails = detector(&[PrimaryEvidence::Fails(500); 5]);
    assert!(fails.is_failed(at(10_000)));
    let refuses = detector(&[PrimaryEvidence::Refuses(200); 5]);
    assert!(refuses.is_failed(at(10_000)));
}

#[test]
fn one_slow_response_is_no_failure() {
    let mut evidence = [PrimaryEvidence::Answers; 7];
    evidence[0] = PrimaryEvidence::Fails(3_000);
    assert!(!detector(&evidence).is_failed(at(10_000)));
}

/// Three of seven instances can't reach the primary.
#[test]
fn a_partial_partition_is_a_failure_after_a_longer_time() {
    let mut evidence = [PrimaryEvidence::Answers; 7];
    evidence[..3].fill(PrimaryEvidence::Fails(700));
    assert!(!detector(&evidence).is_failed(at(10_000)));
    evidence[..3].fill(PrimaryEvidence::Fails(1_600));
    assert!(detector(&evidence).is_failed(at(10_000)));
}

#[test]
fn instances_without_traffic_are_ignored() {
    let mut evidence = [PrimaryEvidence::Silent; 7];
    evidence[0] = PrimaryEvidence::Fails(600);
    assert!(detector(&evidence).is_failed(at(10_000)));
}

#[test]
fn old_evidence_is_ignored() {
    let fails = detector(&[PrimaryEvidence::Fails(500); 5]);
    assert!(!fails.is_failed(at(20_000)));
}
