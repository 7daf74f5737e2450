use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::target_probe::request_status;
use crate::adapter::{ProxyStatement, SessionCodec};
use crate::group::GroupState;
use crate::node::{NodeState, record_wait};

/// How long a read waits for a position; a few round trips.
const FLOOR_TIMEOUT: Duration = Duration::from_millis(120);

/// Returns a position that covers all writes acknowledged before `since`.
///
/// If none is known, one request to the primary serves all waiting reads. Returns `None` if
/// no primary can be used or the position does not arrive in time.
pub(crate) async fn await_floor<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    since: MonotonicTime,
) -> Option<LogPosition> {
    if let Some(floor) = group.floor_since(since) {
        return Some(floor);
    }
    let started_at = node.clock.now();
    while node.clock.now().saturating_since(started_at) < FLOOR_TIMEOUT {
        node.usable_primary(group, node.clock.now())?;
        if group.begin_position_request() {
            spawn_local(request_position::<W>(Rc::clone(node), Rc::clone(group)));
        }
        // A timeout is ignored, because the loop checks again.
        let _ = timeout(FLOOR_TIMEOUT, group.position_received()).await;
        if let Some(floor) = group.floor_since(since) {
            record_wait("position", started_at, &node.clock);
            return Some(floor);
        }
    }
    None
}

async fn request_position<W: SessionCodec>(node: Rc<NodeState>, group: Rc<GroupState>) {
    let sent_at = node.clock.now();
    if let Some((epoch, target)) = node.usable_primary(&group, sent_at) {
        let result = request_status::<W>(&target, &ProxyStatement::Status).await;
        let now = node.clock.now();
        if let Ok((_, reply)) = result
            && let Some(position) = reply.position
            && node.is_lease_valid(group.service(), epoch, now)
        {
            group.observe(epoch, sent_at, position);
        }
    }
    group.end_position_request();
}
