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
fn a_crash_that_all_see_is_trusted_soon() {
    let fails = detector(&[PrimaryEvidence::Fails(500); 5]);
    assert!(fails.is_failed(at(10_000)));
    let refuses = detector(&[PrimaryEvidence::Refuses(200); 5]);
    assert!(refuses.is_failed(at(10_000)));
}

#[test]
fn one_slow_answer_replaces_nobody() {
    let mut evidence = [PrimaryEvidence::Answers; 7];
    evidence[0] = PrimaryEvidence::Fails(3_000);
    assert!(!detector(&evidence).is_failed(at(10_000)));
}

/// Three of seven instances can't reach the primary for longer.
#[test]
fn a_partial_cut_replaces_after_a_while() {
    let mut evidence = [PrimaryEvidence::Answers; 7];
    evidence[..3].fill(PrimaryEvidence::Fails(700));
    assert!(!detector(&evidence).is_failed(at(10_000)));
    evidence[..3].fill(PrimaryEvidence::Fails(1_600));
    assert!(detector(&evidence).is_failed(at(10_000)));
}

#[test]
fn instances_without_traffic_have_no_say() {
    let mut evidence = [PrimaryEvidence::Silent; 7];
    evidence[0] = PrimaryEvidence::Fails(600);
    assert!(detector(&evidence).is_failed(at(10_000)));
}

#[test]
fn old_evidence_says_nothing() {
    let fails = detector(&[PrimaryEvidence::Fails(500); 5]);
    assert!(!fails.is_failed(at(20_000)));
}
