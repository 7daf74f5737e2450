use std::collections::BTreeMap;
use std::time::Duration;

use super::ReductionLimits;
use super::peer_comparison::PeerComparison;
use super::target_failures::TargetFailures;
use crate::ids::{CustomerId, ServiceId, TargetId, ZoneId};
use crate::units::MonotonicTime;

/// Time between removals of targets without recent outcomes, so that few reads scan all targets.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// The targets that fail a part of the reads of one instance, and therefore get a reduced share.
///
/// Failure: a target breaks off or rejects a part of its statements and serves the others, so that
/// it never counts as failing. A customer whose statements fail at other targets as well counts
/// against none.
///
/// # Examples
///
/// ```
/// use mustardhinge_core::overload::{FailureTable, ReductionLimits};
/// use mustardhinge_core::prelude::*;
///
/// let service: ServiceId = "orders".parse().unwrap();
/// let [bad, good] = ["s-1", "s-2"].map(|name| name.parse::<TargetId>().unwrap());
/// let zone: ZoneId = "north".parse().unwrap();
/// let limits = ReductionLimits { zone_targets: 6, group_targets: 2 };
/// let mut table = FailureTable::default();
/// for at in 0..40 {
///     let now = MonotonicTime::from_millis(at);
///     let customer: CustomerId = format!("c{}", at % 4).parse().unwrap();
///     table.record_served((&service, &good), &zone, &customer, now);
///     if at % 5 < 2 {
///         table.record_failed((&service, &bad), &zone, (&customer, || limits), now);
///     } else {
///         table.record_served((&service, &bad), &zone, &customer, now);
///     }
/// }
/// let now = MonotonicTime::from_millis(40);
/// assert!(table.share((&service, &bad), now) < 0.3);
/// assert_eq!(table.share((&service, &good), now), 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FailureTable {
    groups: BTreeMap<ServiceId, BTreeMap<TargetId, TargetFailures>>,
    cleaned_at: MonotonicTime,
}

impl FailureTable {
    /// Records a served read of a customer. Returns whether it restores the target's full share.
    pub fn record_served(
        &mut self,
        place: (&ServiceId, &TargetId),
        zone: &ZoneId,
        customer: &CustomerId,
        now: MonotonicTime,
    ) -> bool {
        self.remove_expired(now);
        let target = self.entry(place, zone);
        target.record(customer, true, now);
        target.record_recovery()
    }

    /// Records a read of a customer that the target failed. Returns whether this reduces the
    /// target's share. Calls `limits` only if the target fails much more than its peers.
    pub fn record_failed(
        &mut self,
        (service, target): (&ServiceId, &TargetId),
        zone: &ZoneId,
        (customer, limits): (&CustomerId, impl FnOnce() -> ReductionLimits),
        now: MonotonicTime,
    ) -> bool {
        self.remove_expired(now);
        let entry = self.entry((service, target), zone);
        entry.record(customer, false, now);
        let is_reduced = entry.reduction(now).is_some();
        let Some(group) = self.groups.get(service) else {
            return false;
        };
        let comparison = PeerComparison::new(target, group, now);
        if is_reduced {
            if comparison.counts_against(customer) {
                self.entry((service, target), zone).confirm(now);
            }
            return false;
        }
        if !comparison.is_excessive() || !self.may_reduce(service, zone, limits(), now) {
            return false;
        }
        self.entry((service, target), zone).reduce(now);
        true
    }

    /// Forgets what is known of a target, after its restart or removal.
    pub fn remove(&mut self, (service, target): (&ServiceId, &TargetId)) {
        if let Some(group) = self.groups.get_mut(service) {
            group.remove(target);
        }
    }

    /// Returns the part of its usual reads that the target gets.
    #[must_use]
    pub fn share(&self, (service, target): (&ServiceId, &TargetId), now: MonotonicTime) -> f64 {
        let known = self.groups.get(service).and_then(|group| group.get(target));
        let reduction = known.and_then(|known| known.reduction(now));
        reduction.map_or(1.0, |reduction| reduction.share())
    }

    /// Returns the number of targets whose outcomes are kept.
    #[must_use]
    pub fn known_targets(&self) -> usize {
        self.groups.values().map(BTreeMap::len).sum()
    }

    /// Drops targets without recent outcomes, such as those that have left since.
    fn remove_expired(&mut self, now: MonotonicTime) {
        if now.saturating_since(self.cleaned_at) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_at = now;
        self.groups.retain(|_, group| {
            group.retain(|_, known| known.has_evidence(now));
            !group.is_empty()
        });
    }

    fn may_reduce(
        &self,
        service: &ServiceId,
        zone: &ZoneId,
        limits: ReductionLimits,
        now: MonotonicTime,
    ) -> bool {
        let reduced = self.groups.iter().flat_map(|(service, group)| {
            let reduced = group
                .values()
                .filter(|known| known.reduction(now).is_some());
            reduced.map(move |known| (service, &known.zone))
        });
        let (mut in_zone, mut in_group) = (0, 0);
        for (reduced_service, reduced_zone) in reduced {
            in_zone += usize::from(reduced_zone == zone);
            in_group += usize::from(reduced_service == service);
        }
        limits.allow(in_zone, in_group)
    }

    fn entry(
        &mut self,
        (service, target): (&ServiceId, &TargetId),
        zone: &ZoneId,
    ) -> &mut TargetFailures {
        let group = self.groups.entry(service.clone()).or_default();
        group
            .entry(target.clone())
            .or_insert_with(|| TargetFailures::new(zone.clone()))
    }
}
