use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::{MonotonicTime, TargetId};
use tokio::time::sleep;

use super::ControlState;
use crate::adapter::{ObjectChange, PlatformClient, PlatformError, WatchResponse};
use crate::plan::TargetEntry;

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a change, so that several make one call; short against the seconds within
/// which a leaving target gets no more work.
const GATHER_PAUSE: Duration = Duration::from_millis(500);
/// A target that is no longer listed is kept for this long: entries that lapsed while the
/// store was out come back within two seconds of its return.
const MISSING_FOR: Duration = Duration::from_millis(2_500);

/// Follows the list of targets, while no other instance watches it for this one.
pub async fn follow_targets<P: PlatformClient>(control: Rc<ControlState<P>>) {
    let mut missing = HashMap::new();
    control.await_first_grant().await;
    loop {
        control.until_relayed(false).await;
        if let Err(error) = follow_once(&control, &mut missing).await {
            control.note_store(Err(&error));
            sleep(RETRY_PAUSE).await;
            // What is missing after an outage gets its time anew.
            let now = control.node.clock.now();
            missing.values_mut().for_each(|since| *since = now);
        }
    }
}

async fn follow_once<P: PlatformClient>(
    control: &ControlState<P>,
    missing: &mut HashMap<TargetId, MonotonicTime>,
) -> Result<(), PlatformError> {
    let (entries, mut revision) = control.platform.list_targets().await?;
    control.note_store(Ok(()));
    let now = control.node.clock.now();
    let listed: HashSet<_> = entries.iter().map(|entry| entry.target.clone()).collect();
    for known in control.node.target_list().0 {
        if !listed.contains(&known.target) {
            missing.entry(known.target).or_insert(now);
        }
    }
    for entry in entries {
        missing.remove(&entry.target);
        control.node.upsert_target(entry);
    }
    control.node.advance_targets_revision(revision);
    loop {
        drop_missing(control, missing);
        let watch = control.platform.watch_targets(revision);
        let patience = if missing.is_empty() {
            None
        } else {
            Some(MISSING_FOR)
        };
        let news = tokio::select! {
            news = watch => news?,
            () = pass(patience) => continue,
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
                let before = control.node.targets_digest();
                take_changes(control, changes, missing);
                revision = newest;
                // Entries change often in what doesn't matter here.
                if control.node.targets_digest() != before {
                    control.node.advance_targets_revision(newest);
                }
                if !is_idle {
                    sleep(GATHER_PAUSE).await;
                }
            }
        }
    }
}

/// Lets a time pass; without one, for ever.
async fn pass(time: Option<Duration>) {
    match time {
        Some(time) => sleep(time).await,
        None => std::future::pending().await,
    }
}

fn take_changes<P>(
    control: &ControlState<P>,
    changes: Vec<ObjectChange<TargetEntry>>,
    missing: &mut HashMap<TargetId, MonotonicTime>,
) {
    let now = control.node.clock.now();
    for change in changes {
        match change {
            ObjectChange::Put(entry) => {
                missing.remove(&entry.target);
                control.node.upsert_target(entry);
            }
            ObjectChange::Removed(name) => {
                if let Ok(target) = name.parse() {
                    missing.insert(target, now);
                }
            }
        }
    }
}

fn drop_missing<P>(control: &ControlState<P>, missing: &mut HashMap<TargetId, MonotonicTime>) {
    let now = control.node.clock.now();
    missing.retain(|target, since| {
        let keep = now.saturating_since(*since) < MISSING_FOR;
        if !keep {
            control.node.remove_target(target);
        }
        keep
    });
}
