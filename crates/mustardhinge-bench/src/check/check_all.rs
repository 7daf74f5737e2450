use super::{
    RuleViolation, check_configuration_order, check_customer_rate, check_exactly_once,
    check_key_withdrawal, check_leaving_target, check_linearizable_rows, check_not_run_truth,
    check_own_answer, check_planned_stop, check_replaced_primary, check_session_order,
    check_transaction_isolation,
};
use crate::history::RunHistory;

/// Checks a history against every rule that it can show.
#[must_use]
pub fn check_history(history: &RunHistory) -> Vec<RuleViolation> {
    let mut violations = check_session_order(history);
    violations.extend(check_linearizable_rows(history).violations);
    violations.extend(check_replaced_primary(history));
    violations.extend(check_transaction_isolation(history));
    violations.extend(check_key_withdrawal(history));
    violations.extend(check_customer_rate(history));
    violations.extend(check_own_answer(history));
    violations.extend(check_not_run_truth(history));
    violations.extend(check_exactly_once(history));
    violations.extend(check_leaving_target(history));
    violations.extend(check_planned_stop(history));
    violations.extend(check_configuration_order(history));
    violations
}
