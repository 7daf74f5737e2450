use std::time::Duration;

use super::isolated_bucket::IsolatedBucket;
use super::{
    AdmissionContext, AllowanceGrant, AllowanceSource, BucketGeneration, CustomerRate, RateRefusal,
    ShareAmount,
};
use crate::units::MonotonicTime;

/// Time without a response of the leader after which an instance is isolated and admits
/// operations within its own share of the rates; longer than the interval between two requests.
pub(super) const ISOLATED_AFTER: Duration = Duration::from_millis(750);

/// Time for which an isolated instance may use its share of the rate after it received the
/// share; longer than most partitions.
pub(super) const SHARE_VALIDITY: Duration = Duration::from_secs(15);
/// Fraction of an even share that an isolated instance may use after its share has expired; the
/// leader reserves this much for every instance.
const EXPIRED_SHARE: f64 = 0.25;

/// The operations of one customer that one instance has admitted and may still admit.
#[derive(Clone, Copy, Debug)]
pub struct CustomerAllowance {
    limits: CustomerRate,
    spent: u64,
    ceiling: u64,
    closed_until: MonotonicTime,
    share: f64,
    share_until: MonotonicTime,
    last_fill: Option<i64>,
    isolated_fill: f64,
    isolated_refilled_at: MonotonicTime,
    /// The allowance of the last grant.
    granted: u64,
    /// What was left to use without a leader since the last grant, under overload control.
    isolated: Option<IsolatedBucket>,
    generation: BucketGeneration,
}

impl CustomerAllowance {
    /// Creates the allowance of a customer, which admits nothing before the first grant.
    #[must_use]
    pub const fn new(limits: CustomerRate, now: MonotonicTime) -> Self {
        Self {
            limits,
            spent: 0,
            ceiling: 0,
            closed_until: now,
            share: 0.0,
            share_until: now,
            last_fill: None,
            isolated_fill: 0.0,
            isolated_refilled_at: now,
            granted: 0,
            isolated: None,
            generation: BucketGeneration::FIRST,
        }
    }

    /// Sets the customer's limits.
    ///
    /// Lower limits reduce the remaining allowance in proportion, even while the leader is
    /// unreachable.
    pub fn set_limits(&mut self, limits: CustomerRate) {
        let ratio = (limits.allowances() / self.limits.allowances()).min(1.0);
        // The value is small and not negative.
        let left = self.ceiling.saturating_sub(self.spent) as f64 * ratio;
        self.ceiling = self.spent.saturating_add(left.floor() as u64);
        self.limits = limits;
    }

    /// Returns the customer's limits.
    #[must_use]
    pub const fn limits(&self) -> CustomerRate {
        self.limits
    }

    /// Returns the number of operations admitted from allowances.
    #[must_use]
    pub const fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns whether the granted allowance is exhausted.
    #[must_use]
    pub const fn is_exhausted(&self) -> bool {
        self.spent >= self.ceiling
    }

    /// Returns the number of operations that the granted allowance still admits.
    #[must_use]
    pub const fn remaining(&self) -> u64 {
        self.ceiling.saturating_sub(self.spent)
    }

    /// Returns the level of the customer's bucket in the last grant, less what was used without
    /// a leader since.
    #[must_use]
    pub fn last_fill(&self) -> Option<i64> {
        let Some(bucket) = &self.isolated else {
            return self.last_fill;
        };
        let unused = self.ceiling.saturating_sub(self.spent);
        // The value is small.
        let used = bucket.used_by_all(unused).ceil() as i64;
        self.last_fill.map(|fill| fill.saturating_sub(used))
    }

    /// Returns the level to report to a leader; `None` if the instance is isolated and had no
    /// operation since, so that it can't tell what the others used.
    #[must_use]
    pub fn reported_fill(&self, is_isolated: bool) -> Option<i64> {
        let is_unknown = is_isolated && self.isolated.is_none();
        self.last_fill().filter(|_| !is_unknown)
    }

    /// Returns the level of the customer's bucket in the last grant.
    #[must_use]
    pub const fn granted_fill(&self) -> Option<i64> {
        self.last_fill
    }

    /// Returns the share of the rate that [`last_fill`](Self::last_fill) was extrapolated from, in
    /// millionths.
    #[must_use]
    pub fn reported_share(&self) -> u32 {
        let share = self
            .isolated
            .as_ref()
            .map_or(self.share, IsolatedBucket::share);
        // The share is at most one.
        (share * 1_000_000.0) as u32
    }

    /// Expires the share of the rate, which an earlier leader granted.
    pub const fn expire_share(&mut self, now: MonotonicTime) {
        self.share_until = now;
    }

    /// Admits one operation.
    ///
    /// # Errors
    ///
    /// Returns an error if the allowance is exhausted or, for an isolated instance, its share of
    /// the rate.
    pub fn admit(
        &mut self,
        context: AdmissionContext,
        now: MonotonicTime,
    ) -> Result<AllowanceSource, RateRefusal> {
        let isolated_at = context.last_response_at + ISOLATED_AFTER;
        let is_isolated = now > isolated_at;
        if is_isolated && context.overload.is_on() {
            self.begin_isolation(context.instances, isolated_at, now);
        }
        if self.spent < self.ceiling {
            self.spent += 1;
            return Ok(AllowanceSource::Grant);
        }
        if is_isolated {
            let admitted = match &mut self.isolated {
                Some(bucket) if context.overload.is_on() => bucket
                    .take(self.limits, isolated_at, now)
                    .map_err(RateRefusal::Exhausted),
                _ => self.admit_isolated(context.last_response_at, context.instances, now),
            };
            let bucket = self.generation;
            return admitted.map(|()| AllowanceSource::IsolatedShare { bucket });
        }
        if now < self.closed_until {
            return Err(RateRefusal::Exhausted(
                self.closed_until.saturating_since(now),
            ));
        }
        Err(RateRefusal::RequestMore)
    }

    /// Returns an operation that was admitted and never sent to a target, while the count of
    /// `reported` operations does not include it yet. A bucket that has been replaced since takes
    /// nothing back, because the operation didn't reduce the new one.
    pub fn release(&mut self, source: AllowanceSource, reported: u64) {
        match (source, &mut self.isolated) {
            (AllowanceSource::Grant, _) if self.spent > reported => self.spent -= 1,
            (AllowanceSource::IsolatedShare { bucket: used }, Some(bucket))
                if used == self.generation =>
            {
                bucket.put_back(self.limits);
            }
            _ => {}
        }
    }

    /// Sets up the bucket of an isolated instance, or updates its share.
    ///
    /// The whole allowance of the last grant counts against the share, also the part that was
    /// used since: the level in that grant doesn't include it.
    fn begin_isolation(
        &mut self,
        instances: usize,
        isolated_at: MonotonicTime,
        now: MonotonicTime,
    ) -> &mut IsolatedBucket {
        let is_valid = now < self.share_until;
        let share = self.current_share(instances, now);
        // Buckets hold far less than the exact range of the type.
        let level = self.last_fill.filter(|_| is_valid).map(|fill| fill as f64);
        let usable = level.map_or(0.0, |level| self.limits.usable(level));
        // A process without a grant refills from its start.
        let refilled_at = isolated_at.max(self.isolated_refilled_at);
        let granted = self.granted;
        let bucket = self
            .isolated
            .get_or_insert_with(|| IsolatedBucket::new(share, usable, granted, refilled_at));
        bucket.set_share(share);
        bucket
    }

    /// Takes what the instance can't use out of the bucket of an isolated instance, and returns it
    /// with how much the share pool may hold for this bucket. `is_idle` says that the customer has
    /// no operations here. Takes nothing if that is less than `least`.
    pub(super) fn withdraw(
        &mut self,
        context: AdmissionContext,
        (is_idle, least): (bool, ShareAmount),
        now: MonotonicTime,
    ) -> Option<(ShareAmount, ShareAmount)> {
        let isolated_at = context.last_response_at + ISOLATED_AFTER;
        let limits = self.limits;
        let unused = self.ceiling.saturating_sub(self.spent);
        let bucket = self.begin_isolation(context.instances, isolated_at, now);
        if is_idle {
            bucket.add_unused(unused);
        }
        let amount = bucket.withdraw(limits, (is_idle, least), isolated_at, now);
        let room = bucket.room(limits);
        if is_idle {
            self.ceiling = self.spent;
        }
        Some((amount?, room))
    }

    /// Records how much of a deposit the share pool has accepted.
    pub(super) const fn record_accepted(&mut self, amount: ShareAmount) {
        if let Some(bucket) = &mut self.isolated {
            bucket.record_accepted(amount);
        }
    }

    /// Puts back a deposit that the share pool has not received.
    pub(super) fn restore(&mut self, amount: ShareAmount) {
        if let Some(bucket) = &mut self.isolated {
            bucket.restore(amount, self.limits);
        }
    }

    /// Adds operations borrowed from the share pool.
    pub(super) fn add_loan(&mut self, operations: u32) {
        if let Some(bucket) = &mut self.isolated {
            bucket.add_loan(operations);
        }
    }

    /// Returns the share of the rate that the instance may use without a leader.
    pub(super) fn current_share(&self, instances: usize, now: MonotonicTime) -> f64 {
        if now < self.share_until {
            self.share
        } else {
            EXPIRED_SHARE / instances.max(1) as f64
        }
    }

    fn admit_isolated(
        &mut self,
        last_response_at: MonotonicTime,
        instances: usize,
        now: MonotonicTime,
    ) -> Result<(), RateRefusal> {
        let share = self.current_share(instances, now);
        let share = CustomerRate {
            rate: self.limits.rate * share,
            burst: self.limits.burst * share,
        };
        let since = self
            .isolated_refilled_at
            .max(last_response_at + ISOLATED_AFTER);
        if self.isolated_refilled_at < last_response_at {
            self.isolated_fill = 0.0;
        }
        let elapsed = now.saturating_since(since).as_secs_f64();
        self.isolated_refilled_at = now;
        let capacity = share.burst.max(1.0);
        self.isolated_fill = (self.isolated_fill + share.rate * elapsed).min(capacity);
        if self.isolated_fill >= 1.0 {
            self.isolated_fill -= 1.0;
            return Ok(());
        }
        let seconds = if share.rate > 0.0 {
            (1.0 - self.isolated_fill) / share.rate
        } else {
            10.0
        };
        Err(RateRefusal::Exhausted(Duration::from_secs_f64(
            seconds.min(10.0),
        )))
    }

    /// Applies a grant of the leader.
    ///
    /// The level in the grant covers the `reported` operations. What was admitted since counts as
    /// granted.
    pub fn apply_grant(&mut self, grant: &AllowanceGrant, reported: u64, now: MonotonicTime) {
        self.ceiling = grant.ceiling;
        self.granted = grant.ceiling.saturating_sub(reported);
        self.isolated = None;
        self.generation = self.generation.next();
        self.share = f64::from(grant.share) / 1_000_000.0;
        self.share_until = now + SHARE_VALIDITY;
        self.last_fill = Some(grant.fill);
        self.closed_until = now + Duration::from_millis(grant.closed_ms.unwrap_or(0));
    }
}
