use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::ControlState;
use crate::seam::{FeedChange, FeedNews, PlatformClient, PlatformError};

/// Pause after a change, so that several in quick succession make one call; short against
/// the seconds within which a configuration is to be in force.
const COALESCING_DELAY: Duration = Duration::from_millis(500);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Adopts each configuration that the store brings, while no other instance watches it for this
/// one.
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
    let (plan, mut revision) = control.platform.read_plan().await?;
    control.record_store_result(Ok(()));
    if let Some(plan) = plan {
        control.node.adopt_plan(plan, "store");
    }
    loop {
        let update = tokio::select! {
            update = control.platform.watch_plan(revision) => update?,
            () = control.wait_until_relayed(true) => return Ok(()),
        };
        control.record_store_result(Ok(()));
        match update {
            FeedNews::Forgotten => return Ok(()),
            FeedNews::Changes {
                changes,
                revision: newest,
            } => {
                let is_idle = changes.is_empty();
                for change in changes {
                    if let FeedChange::Put(plan) = change {
                        control.node.adopt_plan(plan, "store");
                    }
                }
                revision = newest;
                if !is_idle {
                    sleep(COALESCING_DELAY).await;
                }
            }
        }
    }
}
