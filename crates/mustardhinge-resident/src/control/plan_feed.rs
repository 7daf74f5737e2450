use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::membership::StorePart;
use tokio::time::sleep;

use super::ControlState;
use crate::adapter::{ObjectChange, PlatformClient, PlatformError, WatchResponse};

/// Delay after a change, so that several in quick succession need a single call; short compared to
/// the seconds within which a configuration has to take effect.
const COALESCING_DELAY: Duration = Duration::from_millis(500);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Watches the store for configurations and adopts them, except while another instance watches the
/// store for this one.
pub async fn follow_plan<P: PlatformClient>(control: Rc<ControlState<P>>) {
    control.await_first_grant().await;
    loop {
        control.wait_until_relayed(false).await;
        if let Err(error) = follow_once(&control).await {
            control.record_store_result(Err(&error));
            sleep(RETRY_DELAY).await;
        }
    }
}

async fn follow_once<P: PlatformClient>(control: &ControlState<P>) -> Result<(), PlatformError> {
    let read_at = control.node.clock.now();
    let (plan, mut revision) = tokio::select! {
        read = control.platform.read_plan() => read?,
        () = control.wait_while_slow() => return Ok(()),
    };
    control.record_store_result(Ok(()));
    control.update_store_era();
    let era = revision.era();
    if let Some(plan) = plan {
        control.node.adopt_plan(plan, "store");
    }
    control.confirm_by_store(StorePart::Plan, read_at);
    loop {
        let watched_at = control.node.clock.now();
        let update = tokio::select! {
            update = control.platform.watch_plan(revision) => update?,
            () = control.wait_until_relayed(true) => return Ok(()),
            () = control.wait_for_era_after(era) => return Ok(()),
        };
        control.record_store_result(Ok(()));
        control.update_store_era();
        match update {
            WatchResponse::HistoryGone => return Ok(()),
            WatchResponse::Changes {
                changes,
                revision: newest,
            } => {
                let is_idle = changes.is_empty();
                for change in changes {
                    if let ObjectChange::Put(plan) = change {
                        control.node.adopt_plan(plan, "store");
                    }
                }
                revision = newest;
                control.confirm_by_store(StorePart::Plan, watched_at);
                if !is_idle {
                    sleep(COALESCING_DELAY).await;
                }
            }
        }
    }
}
