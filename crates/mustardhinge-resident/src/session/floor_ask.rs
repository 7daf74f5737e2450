use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{LogPosition, MonotonicTime};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::target_probe::ask_status;
use crate::adapter::{ProxyStatement, SessionCodec};
use crate::group::GroupState;
use crate::node::{NodeState, record_wait};

/// How long a read waits for a position: a few round trips.
const FLOOR_WAIT: Duration = Duration::from_millis(120);

/// Returns a position that covers all writes acknowledged before `since`; if none is
/// known, the primary is asked once for all who wait.
pub(crate) async fn await_floor<W: SessionCodec>(
    node: &Rc<NodeState>,
    group: &Rc<GroupState>,
    since: MonotonicTime,
) -> Option<LogPosition> {
    if let Some(floor) = group.floor_since(since) {
        return Some(floor);
    }
    let began = node.clock.now();
    while node.clock.now().saturating_since(began) < FLOOR_WAIT {
        node.usable_primary(group, node.clock.now())?;
        if group.begin_position_request() {
            spawn_local(ask_primary::<W>(Rc::clone(node), Rc::clone(group)));
        }
        // The time being out only means that it is looked at again.
        let _ = timeout(FLOOR_WAIT, group.position_received()).await;
        if let Some(floor) = group.floor_since(since) {
            record_wait("position", began, &node.clock);
            return Some(floor);
        }
    }
    None
}

async fn ask_primary<W: SessionCodec>(node: Rc<NodeState>, group: Rc<GroupState>) {
    let sent_at = node.clock.now();
    if let Some((epoch, target)) = node.usable_primary(&group, sent_at) {
        let asked = ask_status::<W>(&target, &ProxyStatement::Status).await;
        let now = node.clock.now();
        if let Ok((_, reply)) = asked
            && let Some(position) = reply.position
            && node.is_lease_valid(group.service(), epoch, now)
        {
            group.observe(epoch, sent_at, position);
        }
    }
    group.end_position_request();
}
