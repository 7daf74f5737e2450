use std::sync::Arc;
use std::time::Instant;

use crate::target::target_shared::TargetShared;

/// Applies the log entries that came in, each after the apply lag.
pub(in crate::target) async fn apply_entries(shared: Arc<TargetShared>) {
    let mut progress = shared.progress();
    let mut faults = shared.faults.subscribe();
    loop {
        shared.wait_thawed().await;
        progress.mark_unchanged();
        let lag = faults.borrow_and_update().apply_lag();
        let now = Instant::now();
        let mut due = shared.read(|member| member.next_due(lag));
        if due.is_some_and(|due| due <= now) {
            shared.change(|member| member.apply_due(lag, now));
            due = shared.read(|member| member.next_due(lag));
        }
        tokio::select! {
            () = sleep_until(due) => {}
            _ = progress.changed() => {}
            _ = faults.changed() => {}
        }
    }
}

/// Sleeps until `due`, or for ever if there is no such time.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}
