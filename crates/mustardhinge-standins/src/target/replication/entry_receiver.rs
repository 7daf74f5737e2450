use std::time::Instant;

use tokio::sync::mpsc::UnboundedReceiver;

use super::replication_message::ReplicationMessage;
use crate::fault::LinkGate;
use crate::target::member::PrimaryLink;
use crate::target::session::LinkError;
use crate::target::target_shared::TargetShared;

/// Takes in the messages of a primary, each after the replication lag.
pub(super) async fn receive_entries(
    shared: &TargetShared,
    primary: &PrimaryLink,
    mut gate: LinkGate,
    mut messages: UnboundedReceiver<(Instant, ReplicationMessage)>,
) -> Result<(), LinkError> {
    while let Some((sent_at, message)) = messages.recv().await {
        wait_for_lag(shared, sent_at).await;
        gate.pass().await?;
        let is_taken = shared.change(|member| match message {
            ReplicationMessage::Common(count) => member.truncate_to(primary, count),
            ReplicationMessage::Entry(entry) => member.append(primary, entry, Instant::now()),
        });
        if !is_taken {
            break;
        }
    }
    Err(LinkError::Closed)
}

/// Waits until what was sent at `sent_at` arrives, as the fault switches have it.
async fn wait_for_lag(shared: &TargetShared, sent_at: Instant) {
    let mut faults = shared.faults.subscribe();
    loop {
        let (is_cut, lag) = {
            let faults = faults.borrow_and_update();
            (faults.replication_cut, faults.replication_lag())
        };
        let due = sent_at + lag;
        if !is_cut && due <= Instant::now() {
            return;
        }
        let arrival = tokio::time::sleep_until(due.into());
        tokio::select! {
            () = arrival, if !is_cut => {}
            _ = faults.changed() => {}
        }
    }
}
