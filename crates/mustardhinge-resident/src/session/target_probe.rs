use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::prelude::CustomerId;
use mustardhinge_process::{BootClock, event};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::adapter::{ProxyStatement, SessionCodec, StatusReport};
use crate::node::NodeState;
use crate::target::{
    ConnectionError, ResponseTimeouts, TargetConnection, TargetHandle, TargetReply,
};

/// Customer name that the proxy sends to targets for its own requests.
const CONTROL_CUSTOMER: &str = "control";
/// Timeout of a control statement; many times the typical response time.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two probes of a failing target.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Sends a control statement to a target over a separate connection.
///
/// Returns the status report if the response contains one, and the response itself, which
/// carries the target's position.
///
/// # Errors
///
/// Fails if the target is not reached or does not respond in time.
pub async fn request_status<W: SessionCodec>(
    target: &TargetHandle,
    statement: &ProxyStatement,
) -> Result<(Option<StatusReport>, TargetReply), ConnectionError> {
    if target.target_use(BootClock.now()).is_evacuated() {
        return Err(ConnectionError::Evacuated);
    }
    let Ok(control) = CONTROL_CUSTOMER.parse::<CustomerId>() else {
        return Err(ConnectionError::Closed);
    };
    let (mut connection, _) =
        TargetConnection::open::<W>(&target.entry(), &control, STATUS_TIMEOUT).await?;
    W::write_proxy_statement(&mut connection.output, statement);
    let timeouts = ResponseTimeouts {
        unresponsive_after: STATUS_TIMEOUT,
        limit: STATUS_TIMEOUT,
        slow_after: None,
        kind: "status",
    };
    let replies = connection.exchange::<W>(1, timeouts, || {}).await?;
    connection.close_session::<W>();
    let reply = replies.into_iter().next().ok_or(ConnectionError::Closed)?;
    Ok((W::read_status(&reply.first_row), reply))
}

/// Starts to probe a failing target until it responds or is removed.
///
/// At most one probe runs per target. Returns whether this call started it.
pub(super) fn start_probe<W: SessionCodec>(
    node: &Rc<NodeState>,
    target: &Rc<TargetHandle>,
) -> bool {
    if !target.begin_probe() {
        return false;
    }
    let id = target.id();
    event::TARGET_FAILED.log(format_args!(
        "target={id} evidence={:?}",
        target.health().evidence(node.clock.now())
    ));
    let (node, target) = (Rc::clone(node), Rc::clone(target));
    spawn_local(async move {
        let started_at = node.clock.now();
        while !target.is_removed() && target.health().is_failing() {
            let sent_at = node.clock.now();
            match request_status::<W>(&target, &ProxyStatement::Status).await {
                Ok((_, reply)) => {
                    let now = node.clock.now();
                    if !target.record_probe_response(reply.position, now) {
                        sleep(PROBE_INTERVAL).await;
                    }
                }
                Err(error) => {
                    target.record_failure(sent_at, error.is_refusal());
                    sleep(PROBE_INTERVAL).await;
                }
            }
        }
        target.end_probe();
        event::TARGET_RECOVERED.log(format_args!(
            "target={id} gone={} after_ms={}",
            target.is_removed(),
            node.clock.now().saturating_since(started_at).as_millis()
        ));
    });
    true
}

/// Starts to probe the target if it is failing.
///
/// If the target is a primary, the leader is notified immediately, because it replaces a
/// primary only after reports from a majority of the instances.
pub(crate) fn probe_if_failing<W: SessionCodec>(node: &Rc<NodeState>, target: &Rc<TargetHandle>) {
    if !target.health().is_failing() {
        return;
    }
    if start_probe::<W>(node, target) && node.is_primary(target) {
        node.leader_request_due.notify_one();
    }
}
