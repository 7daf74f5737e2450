use std::collections::HashMap;
use std::time::Duration;

use super::decaying_rate::{DECAY_TIME, DecayingRate};
use super::fill_recovery::FillRecovery;
use super::listed_instances::ListedInstances;
use super::share_ledger::ShareLedger;
use super::unreachable_instances::UnreachableInstances;
use super::unreported_instances::UnreportedInstances;
use super::{AllowanceGrant, CustomerRate, UsageReport};
use crate::ids::{CustomerId, InstanceId};
use crate::overload::OverloadControl;
use crate::units::MonotonicTime;

/// Initial level of a bucket, in seconds of the rate, if no instance reports a level: all
/// instances have restarted, which takes about this long.
const INITIAL_FILL_SECONDS: f64 = 1.0;
/// Time for which a new leader uses the bucket levels reported by instances.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Sum of all allowances as a multiple of the bucket's level, while the bucket is low.
const ALLOWANCE_PER_FILL: f64 = 2.0;

/// Time for which the share of the reachable instances is cached. An instance that becomes
/// unreachable counts as reachable for this much longer. Without the cache, a new leader iterates
/// over hundreds of unreachable instances for each customer in each request.
const REACHABLE_SHARE_VALIDITY: Duration = Duration::from_millis(100);

/// Fraction of the rate that is divided evenly among the instances, for use while they are
/// isolated; the rest is divided by their usage.
const EVEN_FRACTION: f64 = 0.25;
/// An instance without a request for this long uses no more than its even share of that
/// fraction; a second longer than an isolated instance may use its granted share.
const SHARE_EXPIRY: Duration = Duration::from_secs(16);

/// Time constant of the usage that shares follow under overload control. A small customer has an
/// operation every few seconds on each of its instances; with 4 s, its shares jump with each one.
const SHARE_DECAY_TIME: Duration = Duration::from_secs(20);
/// Usage that is assumed in addition, evenly divided, as a fraction of the rate: the first
/// instances that report to a new leader must not get all shares.
const ASSUMED_USAGE: f64 = 0.03;

/// Time after its first report in which most instances report a customer to a new leader, which
/// reserves shares until then.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Operations by which a bucket may be overdrawn during that time. The first instances to report
/// have too small a part of a small customer's bucket for a single operation: without this and the
/// refill of released shares, the replay refuses 1.9 % instead of 0.8 % at half of the rates.
/// Together with the operations that the allowances may exceed the burst by, it is within the 20
/// operations beyond the limit.
const SETTLE_OVERDRAFT: f64 = 5.0;

#[derive(Clone, Copy, Debug)]
struct InstanceUsage {
    incarnation: u64,
    spent: u64,
    usage_rate: DecayingRate,
    share: f64,
}

#[derive(Clone, Debug)]
struct CustomerBucket {
    fill: f64,
    refilled_at: MonotonicTime,
    created_at: MonotonicTime,
    usage: HashMap<InstanceId, InstanceUsage>,
    /// The sum over all instances.
    usage_rate: DecayingRate,
    /// The share of the rate for the reachable instances, and when it was computed.
    cached_reachable_share: Option<(MonotonicTime, f64)>,
    /// The shares by usage, under overload control.
    shares: ShareLedger,
    /// The level that the instances report, under overload control.
    recovery: FillRecovery,
    /// Sum of the shares of an earlier leader that instances have reported.
    accounted_share: f64,
    /// The share that instances without a request may use, under overload control.
    reserved_share: f64,
}

/// The leader's token buckets of all customers.
///
/// Load pattern: many instances, each with a few operations per second of many customers,
/// unevenly distributed; sometimes a customer sends several times its rate. Usage is counted
/// exactly but late. No allowance is granted while a bucket is negative, so the delay costs no
/// more than the sum of the allowances.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<CustomerId, CustomerBucket>,
    unreachable: UnreachableInstances,
    listed: ListedInstances,
    instances: usize,
    overload: OverloadControl,
}

impl RateLimiter {
    /// Creates the limiter of a leader whose process has never received a grant.
    ///
    /// It doesn't know how many instances an earlier leader had, so it reserves no shares for those
    /// from which it has not received a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardhinge_core::prelude::{InstanceId, MonotonicTime};
    /// use mustardhinge_core::rate_limit::RateLimiter;
    ///
    /// let mut limiter = RateLimiter::without_predecessor();
    /// let instance: InstanceId = "i0".parse()?;
    /// limiter.record_request(&instance, 8, MonotonicTime::default());
    /// # Ok::<(), mustardhinge_core::ids::IdError>(())
    /// ```
    #[must_use]
    pub fn without_predecessor() -> Self {
        Self {
            listed: ListedInstances::unknown(),
            ..Self::default()
        }
    }

    /// Sets whether overload control is in force.
    pub const fn set_overload_control(&mut self, overload: OverloadControl) {
        self.overload = overload;
    }

    /// Records a request of an instance, and the number of instances that may exist.
    pub fn record_request(&mut self, instance: &InstanceId, instances: usize, now: MonotonicTime) {
        self.unreachable.record_request(instance, now);
        self.listed.record_request(instances, now);
        self.instances = instances.max(1);
    }

    /// Applies a report of an instance and returns the instance's allowance.
    ///
    /// The first report of an instance only sets the start of its count, since an earlier leader
    /// counted the usage before it.
    pub fn grant(
        &mut self,
        (instance, incarnation): (&InstanceId, u64),
        report: &UsageReport,
        limits: CustomerRate,
        now: MonotonicTime,
    ) -> AllowanceGrant {
        let instances = self.instances;
        let overload = self.overload;
        let decay_time = if overload.is_on() {
            SHARE_DECAY_TIME
        } else {
            DECAY_TIME
        };
        let bucket = self.buckets.get(&report.customer);
        let is_first = bucket.is_none_or(|bucket| !bucket.usage.contains_key(instance));
        if is_first && report.granted_fill.is_some() {
            self.listed.record_predecessor();
        }
        let unreported = self.listed.unreported(self.unreachable.heard(), now);
        let unreachable = self.unreachable.current(now);
        let bucket = self
            .buckets
            .entry(report.customer.clone())
            .or_insert_with(|| CustomerBucket {
                fill: limits.burst.min(limits.rate * INITIAL_FILL_SECONDS),
                refilled_at: now,
                created_at: now,
                usage: HashMap::new(),
                usage_rate: DecayingRate::new(decay_time),
                cached_reachable_share: None,
                shares: ShareLedger::default(),
                recovery: FillRecovery::default(),
                accounted_share: 0.0,
                reserved_share: 0.0,
            });
        let reachable = bucket.reachable_share(unreachable, instances, now);
        let rate = limits.rate * (reachable - bucket.reserved_share).max(0.0);
        bucket.refill(rate, limits.burst, now);
        if overload.is_on() {
            bucket.add_reported_fill(instance, report, (limits, unreported), now);
        } else {
            bucket.reserved_share = 0.0;
            bucket.recover_fill(instance, report.last_fill, now);
        }
        let spent = bucket.record_usage(instance, incarnation, report.spent, now);
        let share = if overload.is_on() {
            bucket.grant_share(instance, (instances, unreported), limits, now)
        } else {
            bucket.update_share(instance, instances, now)
        };
        let usable = bucket.fill + bucket.overdraft(now);
        let allowance = Self::allowance(usable, limits, instances);
        AllowanceGrant {
            customer: report.customer.clone(),
            ceiling: spent.saturating_add(allowance),
            // The share is at most one.
            share: (share * 1_000_000.0) as u32,
            fill: bucket.level_of_all(limits, now).floor() as i64,
            closed_ms: (allowance == 0).then(|| Self::closed_ms(usable, rate)),
        }
    }

    fn allowance(fill: f64, limits: CustomerRate, instances: usize) -> u64 {
        if fill < 0.0 {
            return 0;
        }
        let total = limits.allowances().min(fill * ALLOWANCE_PER_FILL);
        let shares = instances.max(1) as f64;
        // The value is small and not negative.
        ((total / shares).round() as u64).max(1)
    }

    fn closed_ms(fill: f64, rate: f64) -> u64 {
        let seconds = if rate > 0.0 {
            (-fill / rate).clamp(0.05, 10.0)
        } else {
            10.0
        };
        // The value is small and not negative.
        (seconds * 1_000.0) as u64
    }
}

impl CustomerBucket {
    fn refill(&mut self, rate: f64, burst: f64, now: MonotonicTime) {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.fill = (self.fill + rate * elapsed).min(burst);
    }

    /// Applies the bucket level that an instance received from an earlier leader. The refill since
    /// then was used by the isolated instances.
    fn recover_fill(&mut self, instance: &InstanceId, last_fill: Option<i64>, now: MonotonicTime) {
        let is_new = !self.usage.contains_key(instance);
        let is_recovering = now.saturating_since(self.created_at) < RECOVERY_TIME;
        if let Some(fill) = last_fill.filter(|_| is_new && is_recovering) {
            // Buckets hold far less than the exact range of the type.
            self.fill = self.fill.min(fill as f64);
        }
    }

    /// Applies the level that an instance reports after it used its share without a leader, and
    /// reserves the share of the `unreported` instances.
    fn add_reported_fill(
        &mut self,
        instance: &InstanceId,
        report: &UsageReport,
        (limits, unreported): (CustomerRate, UnreportedInstances),
        now: MonotonicTime,
    ) {
        let is_new = !self.usage.contains_key(instance);
        let age = now.saturating_since(self.created_at);
        let is_recovering = age < RECOVERY_TIME;
        let before = self.recovery.level(limits);
        let share = f64::from(report.share) / 1_000_000.0;
        if is_new {
            self.accounted_share += share;
        }
        if let Some(fill) = report.last_fill.filter(|_| is_new && is_recovering) {
            // Buckets hold far less than the exact range of the type.
            let fills = (fill as f64, report.granted_fill.unwrap_or(fill) as f64);
            self.recovery.add(fills, share);
        }
        let reporting = self.usage.len() + usize::from(is_new);
        let reserved = unreported.reserved_share((reporting, self.accounted_share), EVEN_FRACTION);
        let released = (self.reserved_share - reserved).max(0.0);
        self.reserved_share = reserved;
        if is_recovering {
            self.recovery.reserve(reserved);
            // What is no longer reserved counts as if it had been refilled from the beginning.
            let refill = released * limits.rate * age.as_secs_f64();
            self.fill += self.recovery.level(limits) - before + refill;
        }
        self.fill = self.fill.min(limits.burst * (1.0 - reserved));
    }

    /// Returns by how much the bucket may be overdrawn, while the instances still report to a new
    /// leader.
    fn overdraft(&self, now: MonotonicTime) -> f64 {
        if self.is_settling(now) {
            SETTLE_OVERDRAFT
        } else {
            0.0
        }
    }

    /// Returns the level for all instances, with the part that is reserved for the unreported ones
    /// while the others still report. An isolated instance takes its share of it.
    fn level_of_all(&self, limits: CustomerRate, now: MonotonicTime) -> f64 {
        if self.is_settling(now) {
            self.fill + self.recovery.reserved_level(limits)
        } else {
            self.fill
        }
    }

    fn is_settling(&self, now: MonotonicTime) -> bool {
        now.saturating_since(self.created_at) < SETTLE_TIME && self.reserved_share > 0.0
    }

    /// Returns the share of the rate for the reachable instances, which may be cached.
    fn reachable_share(
        &mut self,
        unreachable: &[(InstanceId, MonotonicTime)],
        instances: usize,
        now: MonotonicTime,
    ) -> f64 {
        if let Some((at, share)) = self.cached_reachable_share
            && now.saturating_since(at) < REACHABLE_SHARE_VALIDITY
        {
            return share;
        }
        let share = self.compute_reachable_share(unreachable, instances, now);
        self.cached_reachable_share = Some((now, share));
        share
    }

    /// Computes the share of the rate for the reachable instances.
    ///
    /// The shares of isolated instances are reserved for them. An unreachable instance without a
    /// known share, or whose last request is too old, gets an even share of [`EVEN_FRACTION`].
    fn compute_reachable_share(
        &self,
        unreachable: &[(InstanceId, MonotonicTime)],
        instances: usize,
        now: MonotonicTime,
    ) -> f64 {
        let even_share = 1.0 / instances.max(1) as f64;
        let shares = unreachable.iter().map(|(instance, last_request_at)| {
            let is_valid = now.saturating_since(*last_request_at) < SHARE_EXPIRY;
            let known = self.usage.get(instance).filter(|_| is_valid);
            known.map_or(EVEN_FRACTION * even_share, |known| known.share)
        });
        (1.0 - shares.sum::<f64>()).clamp(0.0, 1.0)
    }

    /// Records the usage of an instance since its last report and returns its cumulative count.
    fn record_usage(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        spent: u64,
        now: MonotonicTime,
    ) -> u64 {
        let known = self.usage.get(instance).copied();
        let is_same = |known: &InstanceUsage| known.incarnation == incarnation;
        if let Some(before) = known.filter(|known| !is_same(known)) {
            self.usage_rate.subtract(&before.usage_rate, now);
        }
        let mut usage = known.filter(is_same).unwrap_or(InstanceUsage {
            incarnation,
            spent,
            usage_rate: self.usage_rate.restarted(),
            share: 0.0,
        });
        // Counts of a process are far below the exact range of the type.
        let delta = spent.saturating_sub(usage.spent) as f64;
        self.fill -= delta;
        usage.usage_rate.add(delta, now);
        self.usage_rate.add(delta, now);
        usage.spent = usage.spent.max(spent);
        self.usage.insert(instance.clone(), usage);
        usage.spent
    }

    /// Updates and returns the share of the rate that an instance may use while it is isolated.
    fn update_share(&mut self, instance: &InstanceId, instances: usize, now: MonotonicTime) -> f64 {
        let even_share = 1.0 / instances.max(1) as f64;
        let total = self.usage_rate.at(now);
        let Some(own) = self.usage.get_mut(instance) else {
            return EVEN_FRACTION * even_share;
        };
        let by_usage = if total > 0.0 {
            (own.usage_rate.at(now) / total).min(1.0)
        } else {
            even_share
        };
        own.share = EVEN_FRACTION * even_share + (1.0 - EVEN_FRACTION) * by_usage;
        own.share
    }

    /// Returns the share of the rate that an instance may use while it is isolated, under
    /// overload control. The shares of all instances add up to at most the whole rate, with those
    /// that `unreported` instances still hold.
    fn grant_share(
        &mut self,
        instance: &InstanceId,
        (instances, unreported): (usize, UnreportedInstances),
        limits: CustomerRate,
        now: MonotonicTime,
    ) -> f64 {
        let even_share = 1.0 / instances.max(1) as f64;
        let assumed = (limits.rate * ASSUMED_USAGE).max(f64::MIN_POSITIVE);
        let total = self.usage_rate.at(now) + assumed;
        let Some(own) = self.usage.get_mut(instance) else {
            return EVEN_FRACTION * even_share;
        };
        // Instances without callers of the customer would hold their shares until these expire.
        let has_callers = own.spent > 0;
        let assumed_own = if has_callers {
            assumed * even_share
        } else {
            0.0
        };
        let used = own.usage_rate.at(now) + assumed_own;
        let by_usage = (used / total).min(1.0) * (1.0 - EVEN_FRACTION);
        // The unreported instances' parts of the even fraction remain theirs.
        let reserved = (self.reserved_share - EVEN_FRACTION * unreported.fraction()).max(0.0);
        let wanted = (by_usage, 1.0 - EVEN_FRACTION - reserved);
        let granted = self.shares.grant(instance, wanted, SHARE_EXPIRY, now);
        own.share = EVEN_FRACTION * even_share + granted;
        own.share
    }
}
