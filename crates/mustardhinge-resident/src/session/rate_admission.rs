use std::time::Duration;

use mustardhinge_core::overload::OverloadControl;
use mustardhinge_core::prelude::{MonotonicTime, RefusalReason};
use mustardhinge_core::rate_limit::{AllowanceSource, LeaderDelays, LoanTicket, RateRefusal};
use tokio::time::timeout;

use super::{SessionAccess, SessionRequest, StatementResponse};
use crate::adapter::SessionRefusal;
use crate::node::NodeState;

/// How long an operation waits for the leader to grant more; a few round trips.
const ALLOWANCE_TIMEOUT: Duration = Duration::from_millis(30);

/// Counts an operation against its customer's rate, and returns what it was counted against, if
/// the customer has a rate.
///
/// # Errors
///
/// Refuses the operation if the rate is exhausted or the leader grants nothing in time.
pub(super) async fn admit(
    node: &NodeState,
    request: &SessionRequest,
) -> Result<Option<AllowanceSource>, SessionRefusal> {
    if SessionAccess::is_public(&request.customer) {
        return Ok(None);
    }
    let mut waiting_since = None;
    let mut loan = None;
    loop {
        let now = node.clock.now();
        let (admitted, leader) = node.try_admit(&request.customer, now);
        let (wait, retry_after) = match admitted {
            Ok(source) => return Ok(Some(source)),
            Err(refusal) => {
                let conditions = (node.overload_control(), leader);
                let decided = decide_wait(request, refusal, conditions, &mut waiting_since, now);
                if refusal == RateRefusal::RequestMore && decided.0.is_some() {
                    node.allowance_request_due.notify_one();
                }
                match refusal {
                    RateRefusal::Exhausted(_) => {
                        (loan_wait(node, request, &mut loan, now), decided.1)
                    }
                    _ => decided,
                }
            }
        };
        let Some(wait) = wait else {
            return Err(SessionRefusal::NotRun {
                reason: RefusalReason::RateExceeded,
                retry_after: Some(retry_after),
            });
        };
        // A timeout is ignored, because the loop checks again.
        let _ = timeout(wait, node.allowances_changed.notified()).await;
    }
}

/// Decides how long an operation waits that was not admitted, if it waits, and the retry delay if it
/// doesn't.
///
/// `leader` matters only while overload control is in force, and `waiting_since` is set to the start
/// of the wait for a larger allowance.
pub(crate) fn decide_wait(
    request: &SessionRequest,
    refusal: RateRefusal,
    (overload, leader): (OverloadControl, LeaderDelays),
    waiting_since: &mut Option<MonotonicTime>,
    now: MonotonicTime,
) -> (Option<Duration>, Duration) {
    match refusal {
        RateRefusal::Exhausted(retry_after) => (None, retry_after),
        RateRefusal::AwaitFirstGrant(left) => (first_grant_wait(request, left, now), left),
        RateRefusal::RequestMore => {
            // The wait for the first grant doesn't count.
            let is_on = overload.is_on();
            let since = if is_on { now } else { request.received_at };
            let waited = now.saturating_since(*waiting_since.get_or_insert(since));
            let wait = allowance_wait(waited).or_else(|| {
                let wait = isolation_wait(request, leader.until_isolated, now);
                wait.filter(|_| is_on)
            });
            let retry_after = if is_on {
                leader.until_response
            } else {
                ALLOWANCE_TIMEOUT
            };
            (wait, retry_after)
        }
    }
}

/// Returns an operation to its customer's rate if it was refused before it was sent anywhere.
pub(super) fn release_unsent(
    node: &NodeState,
    request: &SessionRequest,
    source: AllowanceSource,
    response: &StatementResponse,
) {
    let is_refused = matches!(
        response,
        StatementResponse::Refused(SessionRefusal::NotRun { .. })
    );
    let is_unsent = request.last_attempt.borrow().is_none();
    if is_refused && is_unsent && node.overload_control().is_on() {
        metrics::counter!("resident_released_operations_total").increment(1);
        node.allowances
            .borrow_mut()
            .release(&request.customer, source);
    }
}

/// Returns how long an operation that has `waited` still waits for a larger allowance.
fn allowance_wait(waited: Duration) -> Option<Duration> {
    let rest = ALLOWANCE_TIMEOUT.checked_sub(waited)?;
    (!rest.is_zero()).then_some(rest)
}

/// Returns how long an operation waits for the first grant, which is expected within `left`:
/// three quarters of the statement timeout, so that the statement can still run.
fn first_grant_wait(
    request: &SessionRequest,
    left: Duration,
    now: MonotonicTime,
) -> Option<Duration> {
    let waited = now.saturating_since(request.received_at);
    let max_wait = request.route.statement_timeout * 3 / 4;
    let rest = max_wait
        .checked_sub(waited)
        .filter(|rest| !rest.is_zero())?;
    Some(rest.min(left))
}

/// Returns how long an operation on an isolated instance waits for a loan of the share pool of the
/// zone, and requests one unless a request is pending. `loan` keeps the request and until when the
/// operation waits.
fn loan_wait(
    node: &NodeState,
    request: &SessionRequest,
    loan: &mut Option<(LoanTicket, MonotonicTime)>,
    now: MonotonicTime,
) -> Option<Duration> {
    if !node.allowances.borrow().uses_shares(now) {
        return None;
    }
    let until = loan.map_or(now + ALLOWANCE_TIMEOUT, |(_, until)| until);
    let rest = until.saturating_since(now);
    if rest.is_zero() {
        return None;
    }
    let mut exchange = node.share_exchange.borrow_mut();
    let pending = loan.filter(|(ticket, _)| exchange.is_pending(*ticket));
    if pending.is_none() {
        let ticket = exchange.request(&request.customer, now)?;
        *loan = Some((ticket, until));
        node.share_loan_due.notify_one();
    }
    Some(rest)
}

/// Returns how long an operation waits until the instance counts as isolated, if it can still
/// meet its objective then.
fn isolation_wait(
    request: &SessionRequest,
    until_isolated: Duration,
    now: MonotonicTime,
) -> Option<Duration> {
    let waited = now.saturating_since(request.received_at);
    let max_wait = request.route.objective * 3 / 4;
    let fits = until_isolated + waited < max_wait;
    // The instance is isolated only after the end of the interval.
    let wait = until_isolated + Duration::from_millis(1);
    fits.then_some(wait)
}
