use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::evacuation::EvacuatedZones;
use mustardhinge_core::membership::{FeedRetry, StorePart, WatchPacing};
use mustardhinge_core::prelude::{MonotonicTime, ZoneId};
use mustardhinge_core::primary_lease::RecordRevision;
use tokio::time::sleep;

use super::ControlState;
use crate::adapter::{ObjectChange, PlatformClient, PlatformError, WatchResponse};

/// The part of the store that is followed here.
const PART: StorePart = StorePart::Evacuations;
/// Delay after a change, so that several in quick succession need a single call. The changes
/// themselves are applied before it.
const COALESCING_DELAY: Duration = Duration::from_millis(500);

/// Watches the store for evacuated zones, except while another instance watches the store for this
/// one. Returns at once if the settings don't allow evacuations.
pub async fn follow_evacuations<P: PlatformClient>(control: Rc<ControlState<P>>) {
    if !control.node.settings.follows_evacuations {
        return;
    }
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
                control.node.update_evacuations(|zones, now| {
                    zones.restart_missing(now);
                    false
                });
            }
        }
    }
}

async fn follow_once<P: PlatformClient>(control: &ControlState<P>) -> Result<(), PlatformError> {
    let read_at = control.node.clock.now();
    let (zones, mut revision) = control.platform.list_evacuations().await?;
    control.record_store_result(Ok(()));
    control.update_store_era();
    let era = revision.era();
    let now = control.node.clock.now();
    let zones = zones.into_iter().map(|zone| (zone, now)).collect();
    control.node.adopt_evacuations(zones, revision, "store");
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
            update = control.platform.watch_evacuations(revision, wait) => update?,
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
                control
                    .node
                    .update_evacuations(|zones, now| apply(zones, changes, newest, now));
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

/// Applies changes up to `revision`. Returns whether a zone was added or removed.
fn apply(
    zones: &mut EvacuatedZones,
    changes: Vec<ObjectChange<ZoneId>>,
    revision: RecordRevision,
    now: MonotonicTime,
) -> bool {
    let mut has_changed = false;
    for change in changes {
        has_changed |= match change {
            ObjectChange::Put(zone) => zones.put(zone, now),
            ObjectChange::Removed(name) => name.parse().is_ok_and(|zone| zones.remove(&zone)),
        };
    }
    zones.advance(revision);
    has_changed
}
