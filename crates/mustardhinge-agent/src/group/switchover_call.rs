use std::time::Duration;

use mustardhinge_core::prelude::*;
use mustardhinge_rpc::operator::{ErrorKind, OperatorError, SwitchoverResult};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::{SwitchoverCommand, SwitchoverError, WatchEvent, WatchRegistry};
use crate::state::SharedState;

/// Time after which a switchover is reported with an unknown outcome; the
/// operator reads it from the status.
const SWITCHOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry delay suggested to the operator if this agent does not watch the group.
const RETRY_AFTER_MS: u32 = 1_000;

/// Runs a switchover through the watch of a group and waits for the outcome.
///
/// # Errors
///
/// Returns the error response for the operator: unknown group or target, group
/// not watched by this agent, switchover refused, or outcome unknown.
pub(crate) async fn run_switchover(
    state: &SharedState,
    registry: &WatchRegistry,
    group: GroupId,
    successor: Option<TargetId>,
) -> Result<SwitchoverResult, OperatorError> {
    check_names(state, &group, successor.as_ref())?;
    let handle = registry.get(&group).ok_or_else(|| not_watched(&group))?;
    let started_at = state.now();
    let (reply, outcome) = oneshot::channel();
    let command = SwitchoverCommand { successor, reply };
    let sent = handle.events.send(WatchEvent::Switchover(command)).await;
    sent.map_err(|_| not_watched(&group))?;
    let outcome = timeout(SWITCHOVER_TIMEOUT, outcome).await;
    let outcome = outcome.map_err(|_| unknown_outcome(&group))?;
    let outcome = outcome.unwrap_or(Err(SwitchoverError::NotWatched));
    let (term, primary) = outcome.map_err(|error| match error {
        SwitchoverError::Refused(_) => OperatorError::new(ErrorKind::Refused, error.to_string()),
        SwitchoverError::NotWatched => not_watched(&group),
    })?;
    let took = state.now().saturating_since(started_at).as_millis();
    Ok(SwitchoverResult {
        group,
        term,
        primary,
        took_ms: u32::try_from(took).unwrap_or(u32::MAX),
    })
}

fn check_names(
    state: &SharedState,
    group: &GroupId,
    successor: Option<&TargetId>,
) -> Result<(), OperatorError> {
    let not_found = |message| Err(OperatorError::new(ErrorKind::NotFound, message));
    state.read(|known| {
        let mut groups = known.documents().map(|known| &known.document.group);
        let Some(entry) = groups.find(|entry| entry.name == *group) else {
            return not_found(format!("no group {group}"));
        };
        match successor {
            Some(target) if !entry.targets.iter().any(|entry| entry.name == *target) => {
                not_found(format!("no target {target} in group {group}"))
            }
            _ => Ok(()),
        }
    })
}

fn not_watched(group: &GroupId) -> OperatorError {
    let message = format!("no agent that watches group {group} was reached");
    OperatorError::new(ErrorKind::NotRun, message).retry_after_ms(RETRY_AFTER_MS)
}

fn unknown_outcome(group: &GroupId) -> OperatorError {
    let message = format!("the switchover of {group} has not ended in time; look at the status");
    OperatorError::new(ErrorKind::OutcomeUnknown, message)
}
