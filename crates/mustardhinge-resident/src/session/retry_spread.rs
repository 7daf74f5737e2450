use mustardhinge_core::prelude::{RefusalReason, RetryDelay};
use mustardhinge_core::queue::RetryJitter;
use rand::RngExt;

use super::SessionRequest;
use crate::adapter::SessionRefusal;
use crate::node::NodeState;

/// Spreads the retry delay of a request that a queue refused, under overload control.
pub(super) fn spread_retry(
    node: &NodeState,
    request: &SessionRequest,
    refusal: SessionRefusal,
) -> SessionRefusal {
    match refusal {
        SessionRefusal::NotRun {
            reason: RefusalReason::QueueFull,
            retry_after: Some(delay),
        } if node.overload_control().is_on() => {
            let priority = request.route.priority;
            let draw = rand::rng().random();
            let spread = RetryJitter::spread(RetryDelay::new(delay), priority, draw);
            SessionRefusal::NotRun {
                reason: RefusalReason::QueueFull,
                retry_after: Some(spread.get()),
            }
        }
        refusal => refusal,
    }
}
