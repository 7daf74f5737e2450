use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::target_probe::request_status;
use crate::group::GroupState;
use crate::node::{NodeState, note_wait};
use crate::seam::{OwnStatement, SessionWire};

/// How long a read waits for a position; a few round trips.
const FLOOR_TIMEOUT: Duration = Duration::from_millis(120);

/// Returns a position that covers all writes acknowledged before `since`.
///
/// If none is known, one request to the primary serves all waiting reads. Returns `None` if
/// no primary can be used or the position does not arrive in time.
pub(crate) async fn await_floor<W: SessionWire>(
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
        if group.begin_floor_ask() {
            spawn_local(request_position::<W>(Rc::clone(node), Rc::clone(group)));
        }
        // A timeout is ignored, because the loop checks again.
        let _ = timeout(FLOOR_TIMEOUT, group.floor_came()).await;
        if let Some(floor) = group.floor_since(since) {
            note_wait("position", started_at, &node.clock);
            return Some(floor);
        }
    }
    None
}

async fn request_position<W: SessionWire>(node: Rc<NodeState>, group: Rc<GroupState>) {
    let sent_at = node.clock.now();
    if let Some((epoch, target)) = node.usable_primary(&group, sent_at) {
        let result = request_status::<W>(&target, &OwnStatement::Status).await;
        let now = node.clock.now();
        if let Ok((_, reply)) = result
            && let Some(position) = reply.position
            && node.is_lease_good(group.service(), epoch, now)
        {
            group.observe(epoch, sent_at, position);
        }
    }
    group.end_floor_ask();
}
