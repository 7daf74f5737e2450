use std::time::Duration;

use super::{RuleName, RuleViolation};
use crate::history::{KeyWithdrawal, OperationRecord, RunHistory};

/// The time within which a withdrawn key stops everywhere.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(3);

/// Finds operations that ran for a key after its withdrawal was due everywhere.
#[must_use]
pub fn check_key_withdrawal(history: &RunHistory) -> Vec<RuleViolation> {
    history
        .withdrawals
        .iter()
        .flat_map(|withdrawal| {
            history
                .operations
                .iter()
                .filter(move |operation| ran_too_late(withdrawal, operation))
        })
        .map(|operation| {
            let evidence = format!(
                "operation {} of customer {} ran at {} though it was sent at {}",
                operation.number,
                operation.customer.as_ref().map_or("", |id| id.as_str()),
                operation.instance,
                operation.started,
            );
            RuleViolation::new(RuleName::KeyWithdrawal, evidence)
        })
        .collect()
}

fn ran_too_late(withdrawal: &KeyWithdrawal, operation: &OperationRecord) -> bool {
    operation.service == withdrawal.service
        && operation.customer.as_ref() == Some(&withdrawal.customer)
        && operation.result.is_completed()
        && operation.started > withdrawal.at + WITHDRAWAL_BOUND
}
