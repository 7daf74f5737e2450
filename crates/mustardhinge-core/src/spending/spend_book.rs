use std::collections::HashMap;
use std::time::Duration;

use super::spend_speed::SpendSpeed;
use super::unheard_list::UnheardList;
use super::{CustomerRate, SpendGrant, SpendReport};
use crate::ids::{CustomerId, InstanceId};
use crate::units::MonotonicTime;

/// Seconds of the rate that a bucket holds if no instance knows more: all have started
/// anew, which takes about as long.
const FIRST_FILL_SECONDS: f64 = 1.0;
/// A new holder takes what instances remember of the buckets for this long.
const LEARNING_TIME: Duration = Duration::from_secs(2);
/// While the bucket runs low, all allowances together are this many times what is in it.
const ALLOWANCE_OF_FILL: f64 = 2.0;

/// How long that is kept: an instance that falls silent takes part for this much longer. A new
/// leader has hundreds of them to look through, for each customer of each question.
const REACHABLE_LASTS: Duration = Duration::from_millis(100);

/// Part of the rate that is left evenly to instances which are cut off; the rest goes by
/// what they spent.
const EVEN_PART: f64 = 0.25;
/// An instance that was not heard for this long spends no more than its even part of that:
/// a second longer than it may go on by what it was told.
const PART_ENDS_AFTER: Duration = Duration::from_secs(16);

#[derive(Clone, Copy, Debug)]
struct InstanceSpending {
    incarnation: u64,
    spent: u64,
    speed: SpendSpeed,
    part: f64,
}

#[derive(Clone, Debug)]
struct CustomerAccount {
    fill: f64,
    filled_at: MonotonicTime,
    opened_at: MonotonicTime,
    spending: HashMap<InstanceId, InstanceSpending>,
    /// Of all instances together.
    speed: SpendSpeed,
    /// The part of the rate that reachable instances share, and when it was worked out.
    reachable: Option<(MonotonicTime, f64)>,
}

/// The holder's books on the customers' rates.
///
/// Load pattern: many instances, each with a few operations a second of many customers,
/// unevenly spread; sometimes a customer that sends several times its rate. What was spent
/// is counted exactly, if late; a debt is paid back before anything else is allowed, so
/// that lateness costs no more than the allowances together.
#[derive(Clone, Debug, Default)]
pub struct SpendBook {
    accounts: HashMap<CustomerId, CustomerAccount>,
    unheard: UnheardList,
    instances: usize,
}

impl SpendBook {
    /// Notes that an instance was heard, one of `instances` that there may be.
    pub fn heard(&mut self, instance: &InstanceId, instances: usize, now: MonotonicTime) {
        self.unheard.heard(instance, now);
        self.instances = instances.max(1);
    }

    /// Takes one report of an instance, and returns what it may spend.
    ///
    /// The first report of an instance only says where its counts begin: what it spent
    /// before was counted by an earlier holder.
    pub fn grant(
        &mut self,
        (instance, incarnation): (&InstanceId, u64),
        report: &SpendReport,
        limits: CustomerRate,
        now: MonotonicTime,
    ) -> SpendGrant {
        let instances = self.instances;
        let unheard = self.unheard.look(now);
        let account = self
            .accounts
            .entry(report.customer.clone())
            .or_insert_with(|| CustomerAccount {
                fill: limits.burst.min(limits.rate * FIRST_FILL_SECONDS),
                filled_at: now,
                opened_at: now,
                spending: HashMap::new(),
                speed: SpendSpeed::default(),
                reachable: None,
            });
        let rate = limits.rate * account.look_reachable(unheard, instances, now);
        account.refill(rate, limits.burst, now);
        account.learn(instance, report.told_fill, now);
        let spent = account.count(instance, incarnation, report.spent, now);
        let part = account.set_part(instance, instances, now);
        let allowance = Self::allowance(account.fill, limits, instances);
        SpendGrant {
            customer: report.customer.clone(),
            ceiling: spent + allowance,
            // The part is at most one.
            part: (part * 1_000_000.0) as u32,
            fill: account.fill.floor() as i64,
            closed_ms: (allowance == 0).then(|| Self::closed_ms(account.fill, rate)),
        }
    }

    fn allowance(fill: f64, limits: CustomerRate, instances: usize) -> u64 {
        if fill < 0.0 {
            return 0;
        }
        let together = limits.allowances().min(fill * ALLOWANCE_OF_FILL);
        let parts = instances.max(1) as f64;
        // The value is small and not negative.
        ((together / parts).round() as u64).max(1)
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

impl CustomerAccount {
    fn refill(&mut self, rate: f64, burst: f64, now: MonotonicTime) {
        let passed = now.saturating_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.fill = (self.fill + rate * passed).min(burst);
    }

    /// Takes what an instance remembers of the bucket under an earlier holder. What it earned
    /// since was spent by the instances alone.
    fn learn(&mut self, instance: &InstanceId, told_fill: Option<i64>, now: MonotonicTime) {
        let is_new = !self.spending.contains_key(instance);
        let is_learning = now.saturating_since(self.opened_at) < LEARNING_TIME;
        if let Some(fill) = told_fill.filter(|_| is_new && is_learning) {
            // Buckets hold far less than the exact range of the type.
            self.fill = self.fill.min(fill as f64);
        }
    }

    /// Returns the part of the rate that reachable instances share, as it was lately.
    fn look_reachable(
        &mut self,
        unheard: &[(InstanceId, MonotonicTime)],
        instances: usize,
        now: MonotonicTime,
    ) -> f64 {
        if let Some((at, part)) = self.reachable
            && now.saturating_since(at) < REACHABLE_LASTS
        {
            return part;
        }
        let part = self.reachable_part(unheard, instances, now);
        self.reachable = Some((now, part));
        part
    }

    /// Instances that are cut off go on alone with their part of the rate, which is left to
    /// them; so is an even part of those that were never heard, or long ago.
    fn reachable_part(
        &self,
        unheard: &[(InstanceId, MonotonicTime)],
        instances: usize,
        now: MonotonicTime,
    ) -> f64 {
        let even = 1.0 / instances.max(1) as f64;
        let parts = unheard.iter().map(|(instance, heard_at)| {
            let lasts = now.saturating_since(*heard_at) < PART_ENDS_AFTER;
            let known = self.spending.get(instance).filter(|_| lasts);
            known.map_or(EVEN_PART * even, |known| known.part)
        });
        (1.0 - parts.sum::<f64>()).clamp(0.0, 1.0)
    }

    /// Counts what an instance spent since its last report, and returns its whole count.
    fn count(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        spent: u64,
        now: MonotonicTime,
    ) -> u64 {
        let known = self.spending.get(instance).copied();
        let is_same = |known: &InstanceSpending| known.incarnation == incarnation;
        if let Some(before) = known.filter(|known| !is_same(known)) {
            self.speed.remove(&before.speed, now);
        }
        let mut spending = known.filter(is_same).unwrap_or(InstanceSpending {
            incarnation,
            spent,
            speed: SpendSpeed::default(),
            part: 0.0,
        });
        // Counts of a process are far below the exact range of the type.
        let delta = spent.saturating_sub(spending.spent) as f64;
        self.fill -= delta;
        spending.speed.spend(delta, now);
        self.speed.spend(delta, now);
        spending.spent = spending.spent.max(spent);
        self.spending.insert(instance.clone(), spending);
        spending.spent
    }

    /// Sets the part of the rate that an instance may spend while it is cut off.
    fn set_part(&mut self, instance: &InstanceId, instances: usize, now: MonotonicTime) -> f64 {
        let even = 1.0 / instances.max(1) as f64;
        let total = self.speed.at(now);
        let Some(own) = self.spending.get_mut(instance) else {
            return EVEN_PART * even;
        };
        let by_speed = if total > 0.0 {
            (own.speed.at(now) / total).min(1.0)
        } else {
            even
        };
        own.part = EVEN_PART * even + (1.0 - EVEN_PART) * by_speed;
        own.part
    }
}
