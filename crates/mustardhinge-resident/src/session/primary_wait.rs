use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::primary_lease::{GroupEpoch, WaitDecision};
use tokio::time::timeout;

use super::{SessionRequest, StatementAnswer};
use crate::group::GroupState;
use crate::node::{NodeState, record_wait};
use crate::target::TargetHandle;

/// How often a wait looks again by itself.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Waits until the group's primary can be used, as long as [`WaitDecision`] says.
pub(super) async fn await_primary(
    node: &Rc<NodeState>,
    group: &GroupState,
    request: &SessionRequest,
) -> Result<(GroupEpoch, Rc<TargetHandle>), StatementAnswer> {
    let began = node.clock.now();
    loop {
        let now = node.clock.now();
        if let Some((epoch, target)) = node.serving_primary(group, now) {
            if now > began {
                record_wait("primary", began, &node.clock);
            }
            return Ok((epoch, target));
        }
        group.set_usable(false, now);
        let since = group.unusable_since().unwrap_or(now);
        let changing_since = {
            let leases = node.leases.borrow();
            leases
                .newest(group.service())
                .and_then(|state| state.closing_since)
        };
        let waited = now.saturating_since(request.came_at);
        let time = (waited, request.route.statement_timeout);
        match WaitDecision::decide(since, changing_since, time, now) {
            WaitDecision::Refuse(retry_after) => {
                return Err(StatementAnswer::not_run(
                    RefusalReason::NoPrimary,
                    retry_after,
                ));
            }
            WaitDecision::Wait(most) => {
                // The time being out only means that it is looked at again.
                let _ = timeout(most.min(LOOK_EVERY), group.primary_changed()).await;
            }
        }
    }
}
