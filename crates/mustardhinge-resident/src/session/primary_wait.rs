use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::primary_lease::{GroupEpoch, WaitDecision};
use tokio::time::timeout;

use super::{SessionRequest, StatementResponse};
use crate::group::GroupState;
use crate::node::{NodeState, record_wait};
use crate::target::TargetHandle;

/// Interval at which a wait checks the primary without a notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

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
        if let Some((epoch, target)) = node.serving_primary(group, now) {
            if now > started_at {
                record_wait("primary", started_at, &node.clock);
            }
            return Ok((epoch, target));
        }
        group.set_usable(false, now);
        let unusable_since = group.unusable_since().unwrap_or(now);
        let changing_since = {
            let leases = node.leases.borrow();
            leases
                .newest(group.service())
                .and_then(|state| state.closing_since)
        };
        let waited = now.saturating_since(request.received_at);
        let time = (waited, request.route.statement_timeout);
        match WaitDecision::decide(unusable_since, changing_since, time, now) {
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
