use std::time::Duration;

use mustardhinge_core::prelude::RefusalReason;
use mustardhinge_core::rate_limit::RateRefusal;
use tokio::time::timeout;

use super::{SessionAccess, SessionRequest};
use crate::adapter::SessionRefusal;
use crate::node::NodeState;

/// How long an operation waits for the leader to grant more; a few round trips.
const ALLOWANCE_TIMEOUT: Duration = Duration::from_millis(30);

/// Counts an operation against its customer's rate.
///
/// # Errors
///
/// Refuses the operation if the rate is exhausted or the leader grants nothing in time.
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
        let retry_after = match admitted {
            Ok(()) => return Ok(()),
            Err(RateRefusal::Exhausted(retry_after)) => retry_after,
            Err(RateRefusal::RequestMore) => ALLOWANCE_TIMEOUT,
        };
        let waited = now.saturating_since(request.received_at);
        if admitted != Err(RateRefusal::RequestMore) || waited >= ALLOWANCE_TIMEOUT {
            return Err(SessionRefusal::NotRun {
                reason: RefusalReason::RateExceeded,
                retry_after: Some(retry_after),
            });
        }
        node.allowance_request_due.notify_one();
        // A timeout is ignored, because the loop checks again.
        let _ = timeout(
            ALLOWANCE_TIMEOUT - waited,
            node.allowances_changed.notified(),
        )
        .await;
    }
}
