use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::rate_limit::RateRefusal;
use tokio::time::timeout;

use super::{SessionAccess, SessionRequest};
use crate::adapter::SessionRefusal;
use crate::node::NodeState;

/// How long an operation waits for the holder to allow more: a few round trips.
const ASK_WAIT: Duration = Duration::from_millis(30);

/// Counts an operation against its customer's rate.
pub(super) async fn admit(
    node: &NodeState,
    request: &SessionRequest,
) -> Result<(), SessionRefusal> {
    if SessionAccess::is_public(&request.customer) {
        return Ok(());
    }
    loop {
        let now = node.clock.now();
        let instances = node.instances();
        let admitted = {
            let mut spending = node.allowances.borrow_mut();
            spending.admit(&request.customer, instances, now)
        };
        let wait = match admitted {
            Ok(()) => return Ok(()),
            Err(RateRefusal::Exhausted(wait)) => wait,
            Err(RateRefusal::RequestMore) => ASK_WAIT,
        };
        let waited = now.saturating_since(request.came_at);
        if admitted != Err(RateRefusal::RequestMore) || waited >= ASK_WAIT {
            return Err(SessionRefusal::NotRun {
                reason: RefusalReason::RateExceeded,
                retry_after: Some(wait),
            });
        }
        node.allowance_request_due.notify_one();
        // The time being out only means that it is looked at again.
        let _ = timeout(ASK_WAIT - waited, node.allowances_changed.notified()).await;
    }
}
