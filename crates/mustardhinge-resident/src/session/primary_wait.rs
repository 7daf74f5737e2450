use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{MonotonicTime, RefusalReason};
use mustardhinge_core::primary_lease::{GroupEpoch, WaitDecision};
use tokio::time::timeout;

use super::read_path::BUSY_RETRY_AFTER;
use super::{PrimaryDecision, SessionRequest, StatementResponse};
use crate::group::GroupState;
use crate::node::{NodeState, record_outside_home, record_wait};
use crate::target::TargetHandle;

/// Interval at which a wait checks the primary without a notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Retry delay if the targets that could run a statement are in evacuated zones: an operator or a
/// returning target ends this, within seconds at best.
pub(crate) const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay if the targets that could run a statement are outside its home regions: a change of
/// the primary or of the configuration ends this, within seconds at best.
pub(crate) const OUTSIDE_HOME_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the refusal of a statement for which the group has no target.
pub(crate) fn refuse_without_target(
    node: &NodeState,
    group: &GroupState,
    request: &SessionRequest,
    now: MonotonicTime,
) -> StatementResponse {
    let (reason, retry_after) = refusal_without_target(node, group, request, now);
    StatementResponse::not_run(reason, retry_after)
}

/// Returns the reason and the retry delay of a statement for which the group has no target.
pub(crate) fn refusal_without_target(
    node: &NodeState,
    group: &GroupState,
    request: &SessionRequest,
    now: MonotonicTime,
) -> (RefusalReason, Duration) {
    let mut targets = group.targets();
    let has_targets = !targets.is_empty();
    targets.retain(|target| node.allows_target(request.homes.as_deref(), target));
    let is_evacuated = |target: &Rc<TargetHandle>| target.target_use(now).is_evacuated();
    if has_targets && targets.is_empty() {
        (RefusalReason::OutsideHome, OUTSIDE_HOME_RETRY_AFTER)
    } else if has_targets && targets.iter().all(is_evacuated) {
        (RefusalReason::NoTarget, EVACUATED_RETRY_AFTER)
    } else {
        (RefusalReason::NoTarget, BUSY_RETRY_AFTER)
    }
}

/// Returns whether the request must not reach the group's primary, or none of the targets that could
/// become it, since their regions are not its homes.
fn is_outside_home(
    node: &NodeState,
    group: &GroupState,
    request: &SessionRequest,
    now: MonotonicTime,
) -> bool {
    let Some(homes) = request.homes.as_deref() else {
        return false;
    };
    match node.usable_primary(group, now) {
        Some((_, primary)) => !node.allows_target(Some(homes), &primary),
        None => {
            let (reason, _) = refusal_without_target(node, group, request, now);
            reason == RefusalReason::OutsideHome
        }
    }
}

/// Returns whether the group has a primary that is not used only because its zone is evacuated.
fn is_evacuated(node: &NodeState, group: &GroupState, now: MonotonicTime) -> bool {
    let primary = node.usable_primary(group, now);
    primary.is_some_and(|(_, target)| target.target_use(now).is_evacuated())
}

/// Decides whether a statement that needs the primary can use it at `now`.
pub(crate) fn decide_primary(
    node: &NodeState,
    group: &GroupState,
    request: &SessionRequest,
    now: MonotonicTime,
) -> PrimaryDecision {
    if is_outside_home(node, group, request, now) {
        return PrimaryDecision::OutsideHome;
    }
    if let Some((epoch, target)) = node.serving_primary(group, now) {
        return PrimaryDecision::Serve(epoch, target);
    }
    if is_evacuated(node, group, now) {
        return PrimaryDecision::Evacuated;
    }
    let unusable_since = group.unusable_since().unwrap_or(now);
    let changing_since = {
        let leases = node.leases.borrow();
        leases
            .newest(group.service())
            .and_then(|state| state.closing_since)
    };
    let waited = now.saturating_since(request.received_at);
    let time = (waited, request.route.statement_timeout);
    PrimaryDecision::Unusable(WaitDecision::decide(
        unusable_since,
        changing_since,
        time,
        now,
    ))
}

/// Waits until the group's primary can be used.
///
/// # Errors
///
/// Returns the refusal for the caller if [`WaitDecision`] decides not to wait any longer.
pub(super) async fn await_primary(
    node: &Rc<NodeState>,
    group: &GroupState,
    request: &SessionRequest,
) -> Result<(GroupEpoch, Rc<TargetHandle>), StatementResponse> {
    let started_at = node.clock.now();
    loop {
        let now = node.clock.now();
        let decision = match decide_primary(node, group, request, now) {
            PrimaryDecision::Serve(epoch, target) => {
                if now > started_at {
                    record_wait("primary", started_at, &node.clock);
                }
                return Ok((epoch, target));
            }
            PrimaryDecision::Evacuated => {
                return Err(StatementResponse::not_run(
                    RefusalReason::NoPrimary,
                    EVACUATED_RETRY_AFTER,
                ));
            }
            PrimaryDecision::OutsideHome => {
                record_outside_home("primary");
                return Err(StatementResponse::outside_home());
            }
            PrimaryDecision::Unusable(decision) => decision,
        };
        group.set_usable(false, now);
        match decision {
            WaitDecision::Refuse(retry_after) => {
                return Err(StatementResponse::not_run(
                    RefusalReason::NoPrimary,
                    retry_after,
                ));
            }
            WaitDecision::Wait(max_wait) => {
                // A timeout is ignored, because the loop checks again.
                let _ = timeout(max_wait.min(RECHECK_INTERVAL), group.primary_changed()).await;
            }
        }
    }
}
