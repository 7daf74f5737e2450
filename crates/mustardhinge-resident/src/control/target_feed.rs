use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::membership::{FeedRetry, StorePart, WatchPacing};
use mustardhinge_core::prelude::{MonotonicTime, TargetId};
use mustardhinge_core::primary_lease::{RecordRevision, StoreEra};
use tokio::time::sleep;

use super::ControlState;
use crate::adapter::{ObjectChange, PlatformClient, PlatformError, WatchResponse};
use crate::plan::TargetEntry;

/// The part of the store that is followed here.
const PART: StorePart = StorePart::Targets;
/// Delay after a change, so that several need a single call; short compared to the seconds within
/// which a leaving target stops receiving work.
const COALESCING_DELAY: Duration = Duration::from_millis(500);
/// Time for which a target that is no longer listed is kept: entries that expired during an outage
/// of the store reappear within two seconds of its recovery.
const MISSING_GRACE_PERIOD: Duration = Duration::from_millis(2_500);

/// Watches the store for the list of targets, except while another instance watches the store for
/// this one.
pub async fn follow_targets<P: PlatformClient>(control: Rc<ControlState<P>>) {
    let mut missing = HashMap::new();
    control.await_first_grant().await;
    let mut retry = FeedRetry::default();
    loop {
        control.wait_until_relayed(PART, false).await;
        match follow_once(&control, &mut missing).await {
            Ok(()) => retry.reset(),
            Err(error) => {
                control.record_store_result(Err(&error));
                let is_watcher = control.relay.get().is_none();
                sleep(retry.next_delay(is_watcher, &mut rand::rng())).await;
                // After an outage, the grace period of missing targets starts again.
                let now = control.node.clock.now();
                missing.values_mut().for_each(|since| *since = now);
            }
        }
    }
}

async fn follow_once<P: PlatformClient>(
    control: &ControlState<P>,
    missing: &mut HashMap<TargetId, MonotonicTime>,
) -> Result<(), PlatformError> {
    let read_at = control.node.clock.now();
    let (entries, mut revision) = tokio::select! {
        listed = control.platform.list_targets() => listed?,
        () = control.wait_while_slow(PART) => return Ok(()),
    };
    control.record_store_result(Ok(()));
    control.update_store_era();
    let era = revision.era();
    apply_list(control, entries, revision, missing);
    control.confirm_by_store(PART, read_at);
    let mut pacing = WatchPacing::new(PART);
    loop {
        drop_expired(control, missing);
        let watched_at = control.node.clock.now();
        if control.is_relayed(PART, watched_at) {
            return Ok(());
        }
        let is_confirmed = control.is_confirmed_by_leader(PART, watched_at);
        let wait = pacing.begin(is_confirmed);
        let watch = control.platform.watch_targets(revision, wait);
        let max_wait = (!missing.is_empty()).then_some(MISSING_GRACE_PERIOD);
        let update = tokio::select! {
            update = watch => update?,
            () = sleep_or_pend(max_wait) => continue,
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
                let before = control.node.targets_digest();
                apply_changes(control, changes, era, missing);
                revision = newest;
                let now = control.node.clock.now();
                let shown_until = pacing.record_response(is_idle, watched_at, now);
                control.confirm_by_store(PART, shown_until);
                // Most changes of entries don't affect the fields that the digest covers.
                if control.node.targets_digest() != before {
                    control.node.advance_targets_revision(newest);
                }
                if !is_idle {
                    sleep(COALESCING_DELAY).await;
                }
            }
        }
    }
}

/// Applies the whole list at `revision`.
fn apply_list<P>(
    control: &ControlState<P>,
    entries: Vec<TargetEntry>,
    revision: RecordRevision,
    missing: &mut HashMap<TargetId, MonotonicTime>,
) {
    let era = revision.era();
    let now = control.node.clock.now();
    let listed: HashSet<_> = entries.iter().map(|entry| entry.target.clone()).collect();
    for known in control.node.target_list().0 {
        if !listed.contains(&known.target) {
            control.node.record_missing(&known.target, era);
            missing.entry(known.target).or_insert(now);
        }
    }
    for entry in entries {
        upsert(control, entry, era, missing);
    }
    control.node.advance_targets_revision(revision);
}

/// Sleeps for `time`, or never returns if there is none.
async fn sleep_or_pend(time: Option<Duration>) {
    match time {
        Some(time) => sleep(time).await,
        None => std::future::pending().await,
    }
}

fn apply_changes<P>(
    control: &ControlState<P>,
    changes: Vec<ObjectChange<TargetEntry>>,
    era: StoreEra,
    missing: &mut HashMap<TargetId, MonotonicTime>,
) {
    let now = control.node.clock.now();
    for change in changes {
        match change {
            ObjectChange::Put(entry) => {
                upsert(control, entry, era, missing);
            }
            ObjectChange::Removed(name) => {
                if let Ok(target) = name.parse() {
                    control.node.record_departure(&target, era);
                    missing.insert(target, now);
                }
            }
        }
    }
}

/// Applies an entry that was found in `era`, unless its target was seen departing later.
fn upsert<P>(
    control: &ControlState<P>,
    entry: TargetEntry,
    era: StoreEra,
    missing: &mut HashMap<TargetId, MonotonicTime>,
) {
    let target = entry.target.clone();
    if control.node.upsert_target(entry, era) {
        missing.remove(&target);
    }
}

fn drop_expired<P>(control: &ControlState<P>, missing: &mut HashMap<TargetId, MonotonicTime>) {
    let now = control.node.clock.now();
    missing.retain(|target, since| {
        let keep = now.saturating_since(*since) < MISSING_GRACE_PERIOD;
        if !keep {
            control.node.remove_target(target);
        }
        keep
    });
}
