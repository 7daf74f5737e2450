//! The rows of a report that describe each target.

use mustardhinge_core::explain::{
    AdmissionReport, CandidateReport, ExplainOutcome, GatewayReport, GatewayState, TargetPath,
    WaitReport, WaitSource,
};
use mustardhinge_core::gateway::{GatewayRank, GatewayRoute};
use mustardhinge_core::placement::PlacementExclusion;
use mustardhinge_core::queue::PriorityWaits;

use super::explain_context::ExplainContext;
use super::millis::millis;
use crate::target::{LinkAdmission, LinkPreview, TargetHandle};

/// Returns the row of a target with what doesn't depend on the kind of the request.
pub(super) fn candidate_row(
    context: &ExplainContext<'_>,
    target: &TargetHandle,
) -> CandidateReport {
    let (node, now) = (context.node, context.now);
    let (entry, health) = (target.entry(), target.health());
    let primary = node.usable_primary(&context.group, now);
    let exclusion = if target.target_use(now).is_evacuated() {
        Some(PlacementExclusion::Evacuated)
    } else {
        let is_home = node.allows_target(context.request.homes.as_deref(), target);
        (!is_home).then_some(PlacementExclusion::OutsideHome)
    };
    CandidateReport {
        target: entry.target.clone(),
        zone: entry.zone.clone(),
        is_primary: primary.is_some_and(|(_, primary)| primary.id() == entry.target),
        is_failing: health.is_failing(),
        exclusion,
        cost_ms: None,
        free_capacity: None,
        report_age_ms: target.load_report_age(now).map(millis),
        probability: 0.0,
    }
}

/// Returns the row of a target's gateways.
pub(super) fn gateway_row(
    context: &ExplainContext<'_>,
    (target, link): (&TargetHandle, &LinkPreview),
) -> GatewayReport {
    let pair = target.gateways();
    let second = pair.and_then(|pair| pair.second);
    let state = |address| {
        let peers = &context.node.peers;
        let is_own = pair.is_some_and(|pair| {
            peers.own_rank(&pair) != GatewayRank::Other
                && pair.rank_of(address) == peers.own_rank(&pair)
        });
        match peers.is_usable(address, context.now) {
            _ if is_own => GatewayState::Own,
            _ if !context
                .node
                .may_forward_to(address, context.request.homes.as_deref()) =>
            {
                GatewayState::OutsideHome
            }
            Some(true) => GatewayState::Usable,
            Some(false) => GatewayState::Unusable,
            None => GatewayState::Unused,
        }
    };
    GatewayReport {
        target: target.id(),
        first: pair.map(|pair| pair.first),
        first_state: pair.map(|pair| state(pair.first)),
        second,
        second_state: second.map(state),
        path: path_of(link),
    }
}

/// Returns how a request reaches a target.
pub(super) const fn path_of(link: &LinkPreview) -> TargetPath {
    match link.route {
        Some(GatewayRoute::Forward(_)) => TargetPath::Gateway,
        _ => TargetPath::Direct,
    }
}

/// Returns the row of the expected waits at a target.
pub(super) fn wait_row(
    context: &ExplainContext<'_>,
    (target, link): (&TargetHandle, &LinkPreview),
) -> WaitReport {
    let now = context.now;
    let (source, waits) = match path_of(link) {
        TargetPath::Direct => {
            let waits = (target.own_waits(now), std::time::Duration::ZERO);
            (WaitSource::OwnQueue, Some(waits))
        }
        TargetPath::Gateway => match target.reported_waits(now) {
            Some(reported) => (WaitSource::GatewayReport, Some(reported)),
            None => (WaitSource::Unknown, None),
        },
    };
    WaitReport {
        target: target.id(),
        source,
        age_ms: waits.map(|(_, age)| millis(age)),
        waits_ms: waits.map(|(waits, _)| {
            PriorityWaits::PRIORITIES.map(|priority| millis(waits.wait_of(priority)))
        }),
    }
}

/// Returns the row of the admission at a target.
pub(super) fn admission_row(
    context: &ExplainContext<'_>,
    (target, link): (&TargetHandle, &LinkPreview),
) -> AdmissionReport {
    let request = context.request.connection_request(context.now);
    let (outcome, expected_wait, retry_after) = match link.admission {
        LinkAdmission::Run => (ExplainOutcome::Run, None, None),
        LinkAdmission::Wait(wait) => (ExplainOutcome::Wait, Some(wait), None),
        LinkAdmission::Refuse(retry_after) => (ExplainOutcome::Refuse, None, Some(retry_after)),
    };
    AdmissionReport {
        target: target.id(),
        outcome,
        expected_wait_ms: expected_wait.map(millis),
        max_wait_ms: millis(request.max_expected_wait()),
        cost_ms: f64::from(target.expected_cost(&request).as_micros()) / 1_000.0,
        retry_after_ms: retry_after.map(millis),
    }
}
