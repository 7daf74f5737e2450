use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::ControlState;
use crate::adapter::{ObjectChange, PlatformClient, PlatformError, WatchResponse};

/// Pause after a change, so that several in quick succession make one call; short against
/// the seconds within which a configuration is to be in force.
const GATHER_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Adopts each configuration that the store brings, while no other instance watches it for this
/// one.
pub async fn follow_plan<P: PlatformClient>(control: Rc<ControlState<P>>) {
    control.await_first_grant().await;
    loop {
        control.until_relayed(false).await;
        if let Err(error) = follow_once(&control).await {
            control.note_store(Err(&error));
            sleep(RETRY_PAUSE).await;
        }
    }
}

async fn follow_once<P: PlatformClient>(control: &ControlState<P>) -> Result<(), PlatformError> {
    let (plan, mut revision) = control.platform.read_plan().await?;
    control.note_store(Ok(()));
    if let Some(plan) = plan {
        control.node.adopt_plan(plan, "store");
    }
    loop {
        let news = tokio::select! {
            news = control.platform.watch_plan(revision) => news?,
            () = control.until_relayed(true) => return Ok(()),
        };
        control.note_store(Ok(()));
        match news {
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
                if !is_idle {
                    sleep(GATHER_PAUSE).await;
                }
            }
        }
    }
}
