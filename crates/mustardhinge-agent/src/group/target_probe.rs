use std::sync::Arc;
use std::time::Duration;

use mustardhinge_core::failover::FailoverEvent;
use mustardhinge_core::prelude::*;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::WatchEvent;
use crate::state::SharedState;
use crate::target::{TargetClient, TargetError};

/// The least time between two probes, however many hints there are.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// How a target is probed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeTiming {
    /// The time between two probes.
    pub(crate) interval: Duration,
    /// The time after which a call of a target is given up.
    pub(crate) timeout: Duration,
}

/// Probes a target at intervals and at each hint, for as long as it is polled.
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

/// Asks a target for its report; none if it gives no answer in time.
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
