use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::membership::{FeedRetry, StorePart, WatchPacing};
use tokio::time::sleep;

use super::ControlState;
use crate::adapter::{ObjectChange, PlatformClient, PlatformError, WatchResponse};

/// The part of the store that is followed here.
const PART: StorePart = StorePart::Plan;
/// Delay after a change, so that several in quick succession need a single call; short compared to
/// the seconds within which a configuration has to take effect.
const COALESCING_DELAY: Duration = Duration::from_millis(500);

/// Watches the store for configurations and adopts them, except while another instance watches the
/// store for this one.
pub async fn follow_plan<P: PlatformClient>(control: Rc<ControlState<P>>) {
    control.await_first_grant().await;
    let mut retry = FeedRetry::default();
    loop {
        control.wait_until_relayed(PART, false).await;
        match follow_once(&control).await {
            Ok(()) => retry.reset(),
            Err(error) => {
                control.record_store_result(Err(&error));
                let is_watcher = control.relay.get().is_none();
                sleep(retry.next_delay(is_watcher, &mut rand::rng())).await;
            }
        }
    }
}

async fn follow_once<P: PlatformClient>(control: &ControlState<P>) -> Result<(), PlatformError> {
    let read_at = control.node.clock.now();
    let (plan, mut revision) = tokio::select! {
        read = control.platform.read_plan() => read?,
        () = control.wait_while_slow(PART) => return Ok(()),
    };
    control.record_store_result(Ok(()));
    control.update_store_era();
    let era = revision.era();
    if let Some(plan) = plan {
        control.node.adopt_plan(plan, "store");
    }
    control.confirm_by_store(PART, read_at);
    let mut pacing = WatchPacing::new(PART);
    loop {
        let watched_at = control.node.clock.now();
        if control.is_relayed(PART, watched_at) {
            return Ok(());
        }
        let is_confirmed = control.is_confirmed_by_leader(PART, watched_at);
        let wait = pacing.begin(is_confirmed);
        let update = tokio::select! {
            update = control.platform.watch_plan(revision, wait) => update?,
            () = control.wait_until_relayed(PART, true) => return Ok(()),
            () = control.wait_until_unconfirmed(PART), if is_confirmed => {
                pacing.poll_next();
                continue;
            }
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
                let now = control.node.clock.now();
                let shown_until = pacing.record_response(is_idle, watched_at, now);
                control.confirm_by_store(PART, shown_until);
                if !is_idle {
                    sleep(COALESCING_DELAY).await;
                }
            }
        }
    }
}
