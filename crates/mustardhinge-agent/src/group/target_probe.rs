use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::failover::FailoverEvent;
use mustardhinge_core::prelude::*;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::WatchEvent;
use crate::state::SharedState;
use crate::target::{TargetClient, TargetError};

/// Minimum interval between two probes, regardless of the number of hints.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// Interval and timeout of target probes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeTiming {
    /// Interval between two probes.
    pub(crate) interval: Duration,
    /// Timeout of a call to a target.
    pub(crate) timeout: Duration,
}

/// Probes a target at a fixed interval and at each hint, until the event channel
/// closes.
pub(super) async fn probe_target(
    target: TargetId,
    client: Arc<TargetClient>,
    timing: ProbeTiming,
    state: Arc<SharedState>,
    events: mpsc::Sender<WatchEvent>,
) {
    let mut ticks = interval(timing.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = client.wait_for_hint() => tokio::time::sleep(MIN_PROBE_INTERVAL).await,
        }
        let event = probe_once(&target, &client, timing, &state).await;
        let Some(event) = event else {
            continue;
        };
        if events.send(WatchEvent::Failover(event)).await.is_err() {
            return;
        }
    }
}

/// Requests a target's report; returns `None` if the target does not respond
/// in time.
pub(super) async fn probe_once(
    target: &TargetId,
    client: &TargetClient,
    timing: ProbeTiming,
    state: &SharedState,
) -> Option<FailoverEvent> {
    let requested_at = state.now();
    match client.report(timing.timeout).await {
        Ok(report) => Some(FailoverEvent::Reported {
            report,
            requested_at,
        }),
        Err(TargetError::Refused) => Some(FailoverEvent::ConnectionRefused {
            target: target.clone(),
        }),
        Err(TargetError::Declined(reason)) => {
            log::debug!("target={target} declined={reason:?}");
            Some(FailoverEvent::ConnectionDeclined {
                target: target.clone(),
            })
        }
        Err(error) => {
            log::debug!("target={target} probe={error}");
            None
        }
    }
}
