use mustardhinge_process::event::{self, LogSample};

use super::SessionRequest;
use crate::node::NodeState;
use crate::target::TargetReply;

/// Logs a request that a target responded to, if the request belongs to the log sample.
pub(super) fn log_response(node: &NodeState, request: &SessionRequest, reply: &TargetReply) {
    if !LogSample::includes(&request.id) {
        return;
    }
    let now = node.clock.now();
    let attempt = request.last_attempt.borrow();
    let Some(attempt) = attempt.as_ref() else {
        return;
    };
    let service = &request.route.service;
    let position = reply.position.map(|position| position.to_string());
    event::REQUEST_ANSWERED.log(format_args!(
        "request={} customer={} service={service} writes={} target={} waited_ms={} answer_ms={} \
         epoch={} position={} fault={:?} version={}",
        String::from_utf8_lossy(&request.id),
        request.customer,
        request.writes,
        attempt.target,
        attempt
            .sent_at
            .saturating_since(request.received_at)
            .as_millis(),
        now.saturating_since(attempt.sent_at).as_millis(),
        attempt.epoch.unwrap_or(node.group(service).epoch()),
        position.as_deref().unwrap_or("none"),
        reply.fault,
        node.plan().version(),
    ));
}
