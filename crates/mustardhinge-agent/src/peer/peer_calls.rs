use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use mustardhinge_core::failover::FailoverEvent;
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::PeerApiClient;
use mustardhinge_rpc::operator::{ErrorKind, OperatorError, SwitchoverRequest, SwitchoverResult};
use mustardhinge_rpc::peer::PrimaryQuestion;
use tokio::sync::mpsc;

use super::PeerAddress;
use crate::group::WatchEvent;
use crate::membership::{choose_watchers, find_address};
use crate::state::SharedState;

/// Timeout of a query to another watcher.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a switchover forwarded to another agent.
const SWITCHOVER_TIMEOUT: Duration = Duration::from_secs(6);

/// Creates an RPC client for another agent; returns `None` if the client cannot be
/// built.
pub(crate) fn make_client(peer: &PeerAddress, timeout: Duration) -> Option<HttpClient> {
    let url = format!("http://{}", peer.address);
    HttpClient::builder()
        .request_timeout(timeout)
        .build(url)
        .ok()
}

/// Queries the other watchers of a group whether a target is still responsive to
/// them, and sends their responses as events.
pub(crate) fn query_watchers(
    state: &Arc<SharedState>,
    question: &PrimaryQuestion,
    events: &mpsc::Sender<WatchEvent>,
) {
    for watcher in other_watchers(state, &question.group) {
        let (question, events) = (question.clone(), events.clone());
        tokio::spawn(async move {
            if let Some(event) = query_watcher(&watcher, question).await {
                let _ = events.send(WatchEvent::Failover(event)).await;
            }
        });
    }
}

async fn query_watcher(watcher: &PeerAddress, question: PrimaryQuestion) -> Option<FailoverEvent> {
    let client = make_client(watcher, QUERY_TIMEOUT)?;
    let target = question.target.clone();
    let response = client.hears_target(question).await.ok()?;
    Some(FailoverEvent::PeerObserved {
        observer: response.instance,
        target,
        responded: response.answered?,
    })
}

/// Forwards a switchover to another watcher of the group.
///
/// # Errors
///
/// Returns the error response for the operator: the error of the watcher, no
/// watcher reachable, or outcome unknown.
pub(crate) async fn forward_switchover(
    state: &Arc<SharedState>,
    group: &GroupId,
    request: &SwitchoverRequest,
) -> Result<SwitchoverResult, OperatorError> {
    for watcher in other_watchers(state, group) {
        let Some(client) = make_client(&watcher, SWITCHOVER_TIMEOUT) else {
            continue;
        };
        match client.switch_over(group.clone(), request.clone()).await {
            Ok(Err(error)) if error.kind == ErrorKind::NotRun => {}
            Ok(ended) => return ended,
            Err(jsonrpsee::core::ClientError::RequestTimeout) => return Err(timed_out(group)),
            Err(_) => {}
        }
    }
    let message = format!("no agent that watches group {group} was reached");
    Err(OperatorError::new(ErrorKind::NotRun, message).retry_after_ms(1_000))
}

fn timed_out(group: &GroupId) -> OperatorError {
    let message = format!("the switchover of {group} has not ended in time; look at the status");
    OperatorError::new(ErrorKind::OutcomeUnknown, message)
}

fn other_watchers(state: &SharedState, group: &GroupId) -> Vec<PeerAddress> {
    state.read(|known| {
        let mut groups = known.documents().map(|known| &known.document.group);
        let Some(entry) = groups.find(|entry| entry.name == *group) else {
            return Vec::new();
        };
        let watchers = choose_watchers(entry, &known.instances, None);
        let others = watchers
            .iter()
            .filter(|watcher| **watcher != state.instance);
        others
            .filter_map(|watcher| find_address(known, watcher))
            .collect()
    })
}
