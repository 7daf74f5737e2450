use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::prelude::*;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::group_event::GroupEvent;
use crate::state::SharedState;
use crate::target::TargetLink;

/// How a target is probed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeTiming {
    /// The time between two probes.
    pub(crate) interval: Duration,
    /// The time after which the target counts as silent.
    pub(crate) bound: Duration,
}

/// Probes a target for as long as it is polled.
pub(super) async fn probe_target(
    target: TargetId,
    link: Arc<TargetLink>,
    timing: ProbeTiming,
    state: Arc<SharedState>,
    events: mpsc::Sender<GroupEvent>,
) {
    let mut ticks = interval(timing.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let requested_at = state.now();
        let event = match link.report(timing.bound).await {
            Ok(report) => GroupEvent::Report {
                report,
                requested_at,
            },
            Err(_) => GroupEvent::Silence {
                target: target.clone(),
            },
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}
