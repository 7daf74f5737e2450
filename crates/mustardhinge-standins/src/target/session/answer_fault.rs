use std::time::Duration;

use tokio::sync::watch;

use super::LinkError;
use super::statement_reply::StatementReply;
use crate::target::TargetFaults;

/// Delays or loses an answer if a fault switch asks for it.
pub(super) async fn hold_up_answer(
    faults: &watch::Sender<TargetFaults>,
    reply: &StatementReply,
) -> Result<(), LinkError> {
    let late_ms = faults.borrow().late_ms;
    if late_ms > 0 {
        tokio::time::sleep(Duration::from_millis(late_ms.into())).await;
    }
    let is_lost = faults.send_if_modified(|faults| count_lost_answer(faults, reply));
    if is_lost {
        return Err(LinkError::AnswerLost);
    }
    Ok(())
}

/// Tells whether this answer is one of those to be lost, and counts it.
const fn count_lost_answer(faults: &mut TargetFaults, reply: &StatementReply) -> bool {
    let left = if reply.is_group_change {
        &mut faults.lose_group_answers
    } else if reply.position.is_some() {
        &mut faults.lose_commit_answers
    } else {
        return false;
    };
    let is_lost = *left > 0;
    *left = left.saturating_sub(1);
    is_lost
}
