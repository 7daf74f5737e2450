//! The candidates for a read, and the choice of its target by expected free capacity.

use std::rc::Rc;
use std::time::Duration;

use mustardhinge_core::gateway::GatewayRank;
use mustardhinge_core::placement::{
    PlacementCandidate, PreferredTargets, SpreadCandidate, SpreadLimits, SpreadPlacement,
    TargetAffinity,
};
use mustardhinge_core::prelude::{MonotonicTime, TargetId};

use super::SessionRequest;
use crate::group::GroupState;
use crate::node::NodeState;
use crate::target::TargetHandle;

/// What is the same for all candidates of one choice.
struct ReadContext<'a> {
    node: &'a NodeState,
    request: &'a SessionRequest,
    primary: Option<Rc<TargetHandle>>,
    preferred: PreferredTargets,
    max_staleness: Duration,
    now: MonotonicTime,
}

impl ReadContext<'_> {
    fn candidate(&self, index: usize, target: &Rc<TargetHandle>) -> SpreadCandidate {
        let (node, now) = (self.node, self.now);
        let (entry, health) = (target.entry(), target.health());
        let pair = target.gateways();
        let rank = pair.map(|pair| node.peers.own_rank(&pair));
        let load = target.shared_load(rank == Some(GatewayRank::First), now);
        let primary = self.primary.as_ref();
        let target = PlacementCandidate {
            is_primary: primary.is_some_and(|primary| Rc::ptr_eq(primary, target)),
            is_same_zone: entry.zone == node.settings.zone,
            is_leaving: target.is_leaving() || target.target_use(now).is_restricted(),
            is_failing: health.is_failing(),
            lacks_position: health.lacks_position(now),
            is_too_stale: !target.meets_max_age(self.max_staleness, now),
            in_flight: load.statements,
            slots: target.shared_slots(now),
            typical_latency: target.shared_latency(now),
            // The open connections of a gateway are not known to this instance.
            has_connection: match pair {
                Some(_) => self.preferred.contains(index),
                None => target.has_idle(&self.request.connection_request(now)),
            },
        };
        SpreadCandidate {
            target,
            age: load.age,
            is_silent: load.is_silent,
        }
    }
}

/// Returns the targets of a group whose zones aren't evacuated and whose regions are homes of the
/// request.
pub(crate) fn usable_targets(
    node: &NodeState,
    group: &GroupState,
    request: &SessionRequest,
    now: MonotonicTime,
) -> Vec<Rc<TargetHandle>> {
    let homes = request.homes.as_deref();
    let mut targets = group.targets();
    targets.retain(|target| {
        !target.target_use(now).is_evacuated() && node.allows_target(homes, target)
    });
    targets
}

/// Returns the indices of the targets that were tried.
pub(super) fn indices_of(tried: &[TargetId], targets: &[Rc<TargetHandle>]) -> Vec<usize> {
    if tried.is_empty() {
        return Vec::new();
    }
    let indices = 0..targets.len();
    indices
        .filter(|index| tried.contains(&targets[*index].id()))
        .collect()
}

/// Returns the candidates for a read without overload control.
pub(crate) fn plain_candidates(
    node: &NodeState,
    (group, targets): (&GroupState, &[Rc<TargetHandle>]),
    request: &SessionRequest,
    (max_staleness, now): (Duration, MonotonicTime),
) -> Vec<PlacementCandidate> {
    let connection_request = request.connection_request(now);
    let primary = node
        .usable_primary(group, now)
        .map(|(_, target)| target.id());
    let ids: Vec<_> = targets.iter().map(|target| target.id()).collect();
    let preferred = TargetAffinity::prefer(&request.customer, &ids);
    let candidates = targets.iter().enumerate().map(|(index, target)| {
        let entry = target.entry();
        let health = target.health();
        PlacementCandidate {
            is_primary: primary.as_ref() == Some(&entry.target),
            is_same_zone: entry.zone == node.settings.zone,
            is_leaving: target.is_leaving() || target.target_use(now).is_restricted(),
            is_failing: health.is_failing(),
            lacks_position: health.lacks_position(now),
            is_too_stale: !target.meets_max_age(max_staleness, now),
            in_flight: target.estimated_load(now),
            slots: entry.slots,
            typical_latency: target.typical_latency(now),
            // The open connections of a gateway are not known to this instance.
            has_connection: match target.gateways() {
                Some(_) => preferred == Some(index),
                None => target.has_idle(&connection_request),
            },
        }
    });
    candidates.collect()
}

/// Returns the candidates for a read and the limits of the choice, with overload control.
pub(crate) fn spread_candidates(
    node: &NodeState,
    (group, targets): (&GroupState, &[Rc<TargetHandle>]),
    request: &SessionRequest,
    (max_staleness, now): (Duration, MonotonicTime),
) -> (Vec<SpreadCandidate>, SpreadLimits) {
    let context = ReadContext {
        node,
        request,
        primary: node.usable_primary(group, now).map(|(_, target)| target),
        preferred: preferred_targets(node, group, request, targets),
        max_staleness,
        now,
    };
    let candidates = targets
        .iter()
        .enumerate()
        .map(|(index, target)| context.candidate(index, target));
    let limits = SpreadLimits {
        max_wait: request.wait_left(now),
        senders: node.instances(),
    };
    (candidates.collect(), limits)
}

/// Returns the target for a read, or `None` if no target outside `tried` can be used.
pub(super) fn choose_by_capacity(
    node: &NodeState,
    group: &GroupState,
    request: &SessionRequest,
    (max_staleness, tried): (Duration, &[TargetId]),
) -> Option<Rc<TargetHandle>> {
    let now = node.clock.now();
    let targets = usable_targets(node, group, request, now);
    let skipped = indices_of(tried, &targets);
    let (candidates, limits) =
        spread_candidates(node, (group, &targets), request, (max_staleness, now));
    let mut rng = node.placement_rng.borrow_mut();
    let share = |index: usize| node.read_share(&targets[index], now);
    let choice =
        SpreadPlacement::choose_with_shares(&candidates, limits, &skipped, share, &mut *rng)?;
    let is_same_zone = candidates.get(choice.index)?.target.is_same_zone;
    metrics::counter!(
        "resident_reads_placed_total",
        "choice" => if choice.is_cheapest { "cheapest" } else { "spread" },
        "zone" => if is_same_zone { "same" } else { "other" }
    )
    .increment(1);
    targets.get(choice.index).cloned()
}

/// Returns the replicas that the customer prefers, if the group's targets have gateways.
///
/// The primary of the latest known epoch is left out, since reads avoid it.
fn preferred_targets(
    node: &NodeState,
    group: &GroupState,
    request: &SessionRequest,
    targets: &[Rc<TargetHandle>],
) -> PreferredTargets {
    if targets.iter().all(|target| target.gateways().is_none()) {
        return PreferredTargets::default();
    }
    let entries: Vec<_> = targets.iter().map(|target| target.entry()).collect();
    let leases = node.leases.borrow();
    let primary = leases.newest(group.service()).map(|state| state.primary);
    let replicas = entries.iter().enumerate();
    let replicas = replicas
        .map(|(index, entry)| (index, &entry.target))
        .filter(|(_, target)| Some(*target) != primary);
    let share = node.plan().customer_share(&request.customer);
    TargetAffinity::prefer_by_share(&request.customer, share, replicas)
}
