//! The leader's handling of requests from instances.

use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::membership::RosterEntry;
use mustardhinge_core::prelude::{InstanceId, MonotonicTime, ServiceId};
use mustardhinge_core::primary_lease::{GrantLimit, LeaseDemand, LeaseResponse};
use mustardhinge_core::rate_limit::{AllowanceGrant, UsageReport};

use super::leader_messages::{check_evacuations, check_plan_version};
use super::record_restore::record_epochs;
use super::{
    AllowanceRequest, AllowanceResponse, ControlState, GrantMessage, GrantedGroup, GrantedGroups,
    LeaseRequest, StateNotice,
};
use crate::adapter::PlatformClient;

/// Returns the grant for a request for leases, or `None` if this instance is not the leader.
pub(super) fn handle_lease_request<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    request: &LeaseRequest,
) -> Option<GrantMessage> {
    let node = &control.node;
    let now = node.clock.now();
    record_voter(control, request, now);
    record_epochs(control, &request.known_epochs);
    let lease = node.election.borrow().lease_duration(now)?;
    record_requester(control, request, now);
    let instances = control.count_instances(now);
    let groups = grant_leases(control, request, lease, now);
    let requester = (&request.from, request.incarnation);
    let allowances = grant_allowances(control, requester, &request.usage, instances);
    let election = node.election.borrow();
    let roster = control.instances.borrow();
    let (record, revision, renewed_at) = election.held_record()?;
    Some(GrantMessage {
        record: record.clone(),
        revision,
        renewed_ms: elapsed_millis(now, renewed_at),
        requested_at: request.requested_at,
        granted_at: now.as_micros(),
        // Rounded down to whole milliseconds; a lease lasts a few seconds, so the cast is lossless.
        lease_ms: lease.as_millis() as u64,
        leaving: node.leaving_targets(),
        groups,
        allowances,
        instances,
        index: roster.index_of(&request.from),
        relay: roster.relay_for(&request.from, &request.zone),
        plan_version: node.plan().version(),
        targets: node.targets_digest(),
        gateways: control.gateways.borrow().update_since(request.gateways),
        evacuations: node.evacuation_version(),
        pool_keeper: roster.pool_keeper_for(&request.from, &request.zone),
        confirmed: node.confirmation_ages(now),
    })
}

/// Returns the response to a request for allowances, or `None` if this instance is not the leader.
pub(super) fn handle_allowance_request<P>(
    control: &ControlState<P>,
    request: &AllowanceRequest,
) -> Option<AllowanceResponse> {
    let node = &control.node;
    let now = node.clock.now();
    node.election.borrow_mut().observe_fence(request.fence);
    if !node.election.borrow().may_grant(now) {
        return None;
    }
    let requester = (&request.from, request.incarnation);
    let allowances = grant_allowances(control, requester, &request.usage, node.instances());
    Some(AllowanceResponse {
        fence: node.election.borrow().highest_fence(),
        requested_at: request.requested_at,
        allowances,
    })
}

/// Grants allowances for the reported customers that have a limit.
fn grant_allowances<P>(
    control: &ControlState<P>,
    requester: (&InstanceId, u64),
    reports: &[UsageReport],
    instances: usize,
) -> Vec<AllowanceGrant> {
    let now = control.node.clock.now();
    let mut rate_limiter = control.rate_limiter.borrow_mut();
    rate_limiter.set_overload_control(control.node.overload_control());
    rate_limiter.record_request(requester.0, instances, now);
    let table = control.node.allowances.borrow();
    let grants = reports.iter().filter_map(|report| {
        let limits = table.limits(&report.customer)?;
        Some(rate_limiter.grant(requester, report, limits, now))
    });
    grants.collect()
}

/// Records what the request acknowledges: a grant of this leader, or at least that the requester
/// no longer follows an earlier leader.
fn record_voter<P>(control: &ControlState<P>, request: &LeaseRequest, now: MonotonicTime) {
    let mut election = control.node.election.borrow_mut();
    election.observe_fence(request.fence);
    let requester = (&request.from, request.incarnation);
    if let Some(grant_ack) = request.grant_ack {
        let at = MonotonicTime::from_micros(grant_ack.granted_at);
        election.voter_acked(requester, grant_ack.fence, at);
    }
    let own = election.held_record().map(|(record, _, _)| record.fence);
    if own.is_some_and(|own| request.fence >= own) {
        election.voter_moved(requester, now);
    }
}

/// Records the requester in the roster, the leaving targets that it reports and where a newer
/// configuration is available.
///
/// A request shows that the previous leader has stopped if it comes from that instance with a
/// new incarnation or acknowledges this leader's fence.
fn record_requester<P: PlatformClient>(
    control: &Rc<ControlState<P>>,
    request: &LeaseRequest,
    now: MonotonicTime,
) {
    control.record_instance(
        &request.from,
        RosterEntry {
            address: request.address,
            zone: request.zone.clone(),
            can_relay: request.can_relay,
            weight: request.weight,
            incarnation: request.incarnation,
            last_received_at: now,
        },
        now,
    );
    control.node.mark_leaving(&request.leaving);
    let notice = (request.address, StateNotice::Request);
    check_plan_version(control, request.plan_version, notice, now);
    check_evacuations(control, &request.evacuations, notice, now);
    let mut predecessor = control.predecessor.borrow_mut();
    let Some(previous) = predecessor
        .as_ref()
        .filter(|previous| previous.holder == request.from)
    else {
        return;
    };
    let mut election = control.node.election.borrow_mut();
    let fence = election
        .held_record()
        .map_or(u64::MAX, |(record, _, _)| record.fence);
    if previous.incarnation != request.incarnation || request.fence >= fence {
        election.predecessor_stopped(now);
        *predecessor = None;
    }
}

/// Applies the requester's group reports and grants it leases on the groups' primaries.
fn grant_leases<P>(
    control: &ControlState<P>,
    request: &LeaseRequest,
    lease: Duration,
    now: MonotonicTime,
) -> GrantedGroups {
    let mut group_leases = control.group_leases.borrow_mut();
    for report in &request.groups {
        let Some(leases) = group_leases.get_mut(&report.service) else {
            continue;
        };
        leases.report(&request.from, report.epoch, report.evidence, now);
        if report.is_stopped {
            leases.confirm_stopped(&request.from, report.epoch);
        }
        if let Some(position) = report.position.filter(|_| report.epoch == leases.epoch()) {
            leases.observe_position(position);
        }
    }
    let reported = request.groups.iter().map(|report| &report.service);
    let demand = LeaseDemand {
        instance: &request.from,
        known: &request.epochs,
        wanted: request.wanted_positions.iter().chain(reported).collect(),
        limit: if request.from == control.node.settings.instance {
            GrantLimit::NONE
        } else {
            let instances = control.count_instances(now);
            GrantLimit::for_instances(instances, &control.node.lease_settings)
        },
    };
    let response = LeaseResponse::grant(&mut group_leases, &demand, lease, now);
    let position_of = |service: &ServiceId| {
        let group = control.node.group(service);
        let is_current = group_leases.get(service)?.epoch() == group.epoch();
        let (at, position) = group.newest_position().filter(|_| is_current)?;
        Some((position, elapsed_millis(now, at)))
    };
    let positions = request.wanted_positions.iter().filter_map(|service| {
        let (position, age) = position_of(service)?;
        Some((service.clone(), position, age))
    });
    GrantedGroups {
        positions: positions.collect(),
        digest: response.digest,
        changed: response
            .changed
            .into_iter()
            .map(|grant| GrantedGroup {
                position: position_of(&grant.service),
                grant,
            })
            .collect(),
    }
}

/// Returns the elapsed time in whole milliseconds, rounded up so that an age is never understated.
fn elapsed_millis(now: MonotonicTime, at: MonotonicTime) -> u64 {
    u64::try_from(now.saturating_since(at).as_millis())
        .unwrap_or(u64::MAX)
        .saturating_add(1)
}
