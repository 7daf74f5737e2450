use mustardhinge_core::explain::{RateReport, RateState};
use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::rate_limit::{AllowanceSource, RateRefusal};

use super::explain_context::ExplainContext;
use super::millis::millis;
use super::step_decision::StepDecision;
use crate::session::{SessionAccess, decide_wait};

/// Returns the check of the customer's rate.
pub(super) fn rate_step(context: &ExplainContext<'_>) -> (RateReport, StepDecision) {
    let ExplainContext {
        node, request, now, ..
    } = context;
    let conditions = (context.overload, node.instances());
    let allowances = node.allowances.borrow();
    let preview = allowances.preview(&request.customer, conditions, *now);
    let mut report = RateReport {
        state: RateState::Unlimited,
        remaining: preview.remaining,
        is_isolated: preview.is_isolated,
        share: preview.share,
        response_age_ms: preview.response_age.map(millis),
        wait_ms: None,
        retry_after_ms: None,
        effect: String::new(),
    };
    if SessionAccess::is_public(&request.customer) {
        report.effect = "callers without a key have no rate limit".to_owned();
        return (report, StepDecision::Pass);
    }
    let refusal = match preview.admitted {
        Ok(source) => {
            report.state = match source {
                AllowanceSource::Grant => RateState::Granted,
                AllowanceSource::IsolatedShare { .. } => RateState::Isolated,
            };
            report.effect = "admitted; one operation is used".to_owned();
            return (report, StepDecision::Pass);
        }
        Err(refusal) => refusal,
    };
    let conditions = (context.overload, preview.leader);
    let (wait, retry_after) = decide_wait(request, refusal, conditions, &mut None, *now);
    report.state = match refusal {
        RateRefusal::RequestMore => RateState::RequestMore,
        RateRefusal::AwaitFirstGrant(_) => RateState::AwaitFirstGrant,
        RateRefusal::Exhausted(_) => RateState::Exhausted,
    };
    report.wait_ms = wait.map(millis);
    report.retry_after_ms = Some(millis(retry_after));
    if wait.is_some() {
        report.effect = "waits for a grant of the leader, then checks again".to_owned();
        (report, StepDecision::Wait)
    } else {
        report.effect = "refused".to_owned();
        let refused = StepDecision::Refuse(RefusalReason::RateExceeded, retry_after);
        (report, refused)
    }
}
