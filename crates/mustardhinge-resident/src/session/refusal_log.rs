use bytes::Bytes;
use mustardhinge_process::event;

use super::SessionRequest;
use crate::adapter::SessionRefusal;
use crate::node::NodeState;

/// Logs and counts a request that did not succeed, with what decided it.
pub(super) fn log_refusal(node: &NodeState, request: &SessionRequest, refusal: &SessionRefusal) {
    let reason = refusal.reason();
    metrics::counter!("resident_refusals_total", "reason" => reason).increment(1);
    let event = match refusal {
        SessionRefusal::Unknown => event::OUTCOME_UNKNOWN,
        _ => event::REQUEST_REFUSED,
    };
    let now = node.clock.now();
    let service = &request.route.service;
    let group = node.group(service);
    let position_age = group
        .newest_position()
        .map(|(at, _)| now.saturating_since(at).as_millis());
    let sent = request.sent.borrow();
    let sent_in = sent.as_ref().and_then(|sent| sent.epoch);
    event.log(format_args!(
        "request={} reason={reason} customer={} service={service} writes={} waited_ms={} \
         target={} epoch={} leased={} position_age_ms={position_age:?} version={}",
        String::from_utf8_lossy(&request.id),
        request.customer,
        request.writes,
        now.saturating_since(request.came_at).as_millis(),
        sent.as_ref().map_or("none", |sent| sent.target.as_str()),
        sent_in.unwrap_or(group.epoch()),
        node.usable_primary(&group, now).is_some(),
        node.plan().version(),
    ));
}

/// Logs a request that has no route or key, and so no customer.
pub(super) fn log_unauthorized(node: &NodeState, id: &Bytes, refusal: &SessionRefusal) {
    metrics::counter!("resident_refusals_total", "reason" => "unauthorized").increment(1);
    event::REQUEST_REFUSED.log(format_args!(
        "request={} reason=unauthorized refusal={refusal:?} version={}",
        String::from_utf8_lossy(id),
        node.plan().version()
    ));
}
