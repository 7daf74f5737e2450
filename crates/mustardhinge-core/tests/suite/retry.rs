//! Request outcomes and retries.

use std::time::Duration;

use bytes::Bytes;
use mustardhinge_core::prelude::*;
use mustardhinge_core::request::{NotRunProof, RecordDecision, RecordedRequest, UnsentRequest};
use mustardhinge_core::retry::{
    FailedAttempt, RetryBackoff, RetryBudget, RetryDecision, RetryPolicy, RetryReason, RetryRefusal,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const KEPT_FOR: Duration = Duration::from_secs(3_600);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn failure(reason: RetryReason, is_repeatable: bool) -> FailedAttempt {
    FailedAttempt {
        attempt: 1,
        reason,
        is_repeatable,
        deadline: at(5_000),
    }
}

fn decide(failure: &FailedAttempt, budget: &mut RetryBudget) -> RetryDecision {
    let mut rng = SmallRng::seed_from_u64(1);
    RetryPolicy::default().decide(failure, budget, at(1_000), &mut rng)
}

fn read_only() -> NotRunProof {
    NotRunProof::from_sqlstate("25006").unwrap()
}

#[test]
fn a_sent_request_is_refused_only_by_proof() {
    let sent = UnsentRequest::new().send(at(1));
    assert_eq!(sent.abandon(), StatementOutcome::Unknown);
    let sent = UnsentRequest::new().send(at(1));
    let outcome = sent.refuse(read_only(), None);
    let reason = RefusalReason::NoPrimary;
    let retry_after = None;
    assert_eq!(
        outcome,
        StatementOutcome::NotRun {
            reason,
            retry_after
        }
    );
    let sent = UnsentRequest::new().send(at(1));
    let unsent = sent.into_unsent(read_only());
    let outcome = unsent.refuse(RefusalReason::NoTarget, None);
    assert!(matches!(outcome, StatementOutcome::NotRun { .. }));
}

#[test]
fn only_certain_sqlstates_prove_that_nothing_ran() {
    for code in ["25006", "53300", "40001", "40P01", "57P03"] {
        assert!(NotRunProof::from_sqlstate(code).is_some(), "{code}");
    }
    for code in ["57P01", "08006", "XX000", "23505", "57014", ""] {
        assert_eq!(NotRunProof::from_sqlstate(code), None, "{code}");
    }
}

#[test]
fn a_statement_that_may_have_run_is_not_repeated() {
    let budget = &mut RetryBudget::default();
    let lost = RetryReason::ConnectionLost;
    let refused = RetryDecision::GiveUp(RetryRefusal::NotRepeatable);
    assert_eq!(decide(&failure(lost, false), budget), refused);
    assert!(matches!(
        decide(&failure(lost, true), budget),
        RetryDecision::RetryAt { .. }
    ));
    let proven = failure(RetryReason::NotRun(read_only()), false);
    assert!(matches!(
        decide(&proven, budget),
        RetryDecision::RetryAt { .. }
    ));
}

#[test]
fn retries_end_by_attempts_deadline_and_budget() {
    let budget = &mut RetryBudget::new(1, 500);
    let lost = failure(RetryReason::ConnectionLost, true);
    let third = FailedAttempt { attempt: 3, ..lost };
    assert_eq!(
        decide(&third, budget),
        RetryDecision::GiveUp(RetryRefusal::AttemptsUsed)
    );
    let late = FailedAttempt {
        deadline: at(1_000),
        ..lost
    };
    assert_eq!(
        decide(&late, budget),
        RetryDecision::GiveUp(RetryRefusal::DeadlineNear)
    );
    assert_eq!(budget.retries_left(), 1);
    assert!(matches!(
        decide(&lost, budget),
        RetryDecision::RetryAt { .. }
    ));
    assert_eq!(
        decide(&lost, budget),
        RetryDecision::GiveUp(RetryRefusal::BudgetUsed)
    );
    budget.deposit();
    assert_eq!(
        decide(&lost, budget),
        RetryDecision::GiveUp(RetryRefusal::BudgetUsed)
    );
    budget.deposit();
    assert!(matches!(
        decide(&lost, budget),
        RetryDecision::RetryAt { .. }
    ));
}

#[test]
fn a_budget_holds_no_more_than_its_limit() {
    let mut budget = RetryBudget::new(2, 900);
    for _ in 0..10 {
        budget.deposit();
    }
    assert_eq!(budget.retries_left(), 2);
}

#[test]
fn a_recorded_request_gets_its_answer_again() {
    let record = RecordedRequest {
        customer: "sohar".parse().unwrap(),
        request: "r-1".parse().unwrap(),
        statement_digest: 7,
        response: Bytes::from_static(b"INSERT 0 1"),
        position: None,
    };
    let decide = |found, digest, age| RecordedRequest::decide(found, digest, age, KEPT_FOR);
    let replay = RecordDecision::Replay(record.response.clone());
    assert_eq!(decide(Some(&record), 7, None), replay);
    assert_eq!(decide(Some(&record), 8, None), RecordDecision::RefuseReuse);
    assert_eq!(decide(None, 7, None), RecordDecision::Run);
    assert_eq!(
        decide(None, 7, Some(KEPT_FOR)),
        RecordDecision::RefuseExpired
    );
}

proptest! {
    #[test]
    fn retries_stay_within_their_share(
        max in 0..20_u64,
        ratio in 0..1_000_u64,
        steps in proptest::collection::vec(any::<bool>(), 0..400),
    ) {
        let mut budget = RetryBudget::new(max, ratio);
        let (mut first, mut retries) = (0, 0);
        for is_retry in steps {
            if is_retry {
                retries += u64::from(budget.withdraw());
            } else {
                budget.deposit();
                first += 1;
            }
            prop_assert!(retries * 1_000 <= max * 1_000 + first * ratio);
        }
    }

    #[test]
    fn waits_stay_below_their_ceiling(retry in 0..40_u32, seed in any::<u64>()) {
        let backoff = RetryBackoff::default();
        let wait = backoff.wait(retry, &mut SmallRng::seed_from_u64(seed));
        prop_assert!(wait <= backoff.ceiling(retry));
        prop_assert!(backoff.ceiling(retry) <= backoff.ceiling(retry + 1));
        prop_assert!(backoff.ceiling(retry) <= Duration::from_millis(200));
    }
}
