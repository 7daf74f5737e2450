use bytes::Bytes;
use mustardhinge_process::event;

use super::SessionRequest;
use crate::adapter::SessionRefusal;
use crate::node::NodeState;

/// Logs and counts a request that failed, with the state that led to the decision.
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
    let attempt = request.last_attempt.borrow();
    // The field is left out where priorities have no effect.
    let priority = if node.overload_control().is_on() {
        format!(" priority={}", request.route.priority)
    } else {
        String::new()
    };
    // The field is left out where no homes apply.
    let homes = match &request.homes {
        Some(homes) => format!(" homes={homes}"),
        None => String::new(),
    };
    let attempt_epoch = attempt.as_ref().and_then(|attempt| attempt.epoch);
    event.log(format_args!(
        "request={} reason={reason} customer={} service={service} writes={} waited_ms={} \
         target={} epoch={} leased={} position_age_ms={position_age:?} version={}{priority}{homes}",
        String::from_utf8_lossy(&request.id),
        request.customer,
        request.writes,
        now.saturating_since(request.received_at).as_millis(),
        attempt
            .as_ref()
            .map_or("none", |attempt| attempt.target.as_str()),
        attempt_epoch.unwrap_or(group.epoch()),
        node.usable_primary(&group, now).is_some(),
        node.plan().version(),
    ));
}

/// Logs and counts a request without a known route or key, which belongs to no customer.
pub(super) fn log_unauthorized(node: &NodeState, id: &Bytes, refusal: &SessionRefusal) {
    metrics::counter!("resident_refusals_total", "reason" => "unauthorized").increment(1);
    event::REQUEST_REFUSED.log(format_args!(
        "request={} reason=unauthorized refusal={refusal:?} version={}",
        String::from_utf8_lossy(id),
        node.plan().version()
    ));
}
