use std::time::Duration;

use super::{AllowanceGrant, CustomerRate, RateRefusal};
use crate::units::MonotonicTime;

/// Time without a response of the leader after which an instance is isolated and admits
/// operations within its own share of the rates; longer than the interval between two requests.
const ISOLATED_AFTER: Duration = Duration::from_millis(750);

/// Time for which an isolated instance may use its share of the rate after it received the
/// share; longer than most partitions.
const SHARE_VALIDITY: Duration = Duration::from_secs(15);
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
        self.ceiling = self.spent + left.floor() as u64;
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

    /// Returns the level of the customer's bucket in the last grant.
    #[must_use]
    pub const fn last_fill(&self) -> Option<i64> {
        self.last_fill
    }

    /// Admits one operation.
    ///
    /// The leader's last response belongs to a request sent at `last_response_at`, and
    /// `instances` instances share the rate.
    ///
    /// # Errors
    ///
    /// Returns an error if the allowance is exhausted or, for an isolated instance, its share of
    /// the rate.
    pub fn admit(
        &mut self,
        last_response_at: MonotonicTime,
        instances: usize,
        now: MonotonicTime,
    ) -> Result<(), RateRefusal> {
        if self.spent < self.ceiling {
            self.spent += 1;
            return Ok(());
        }
        if now.saturating_since(last_response_at) > ISOLATED_AFTER {
            return self.admit_isolated(last_response_at, instances, now);
        }
        if now < self.closed_until {
            return Err(RateRefusal::Exhausted(
                self.closed_until.saturating_since(now),
            ));
        }
        Err(RateRefusal::RequestMore)
    }

    fn admit_isolated(
        &mut self,
        last_response_at: MonotonicTime,
        instances: usize,
        now: MonotonicTime,
    ) -> Result<(), RateRefusal> {
        let share = if now < self.share_until {
            self.share
        } else {
            EXPIRED_SHARE / instances.max(1) as f64
        };
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
    pub fn apply_grant(&mut self, grant: &AllowanceGrant, now: MonotonicTime) {
        self.ceiling = grant.ceiling;
        self.share = f64::from(grant.share) / 1_000_000.0;
        self.share_until = now + SHARE_VALIDITY;
        self.last_fill = Some(grant.fill);
        self.closed_until = now + Duration::from_millis(grant.closed_ms.unwrap_or(0));
    }
}
