use std::collections::HashMap;
use std::time::Duration;

use super::{CustomerRate, SpendGrant, SpendMeter, SpendRefusal, SpendReport};
use crate::ids::CustomerId;
use crate::units::MonotonicTime;

/// A change is reported for this long, so that a few lost reports do no harm.
const REPORTED_FOR: Duration = Duration::from_secs(2);
/// An operation that needs more than is allowed waits for it about this long.
const WAITED_FOR: Duration = Duration::from_millis(50);
/// When to come back for a customer that the configuration doesn't name.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct TableRow {
    meter: SpendMeter,
    used_at: MonotonicTime,
    /// When it was reported last, and what was spent then.
    reported: Option<(MonotonicTime, u64)>,
    /// What was spent by the last report that the holder answered.
    answered: Option<u64>,
}

impl TableRow {
    fn new(limits: CustomerRate, now: MonotonicTime) -> Self {
        Self {
            meter: SpendMeter::new(limits, now),
            used_at: now,
            reported: None,
            answered: None,
        }
    }

    fn report(&mut self, customer: &CustomerId, now: MonotonicTime) -> SpendReport {
        let spent = self.meter.spent();
        self.reported = Some((now, spent));
        SpendReport {
            customer: customer.clone(),
            spent,
            told_fill: self.meter.told_fill(),
        }
    }

    /// Returns whether the holder has something to learn of it, or to say.
    fn has_news(&self) -> bool {
        self.answered != Some(self.meter.spent()) || self.meter.is_used_up()
    }
}

/// All customers' meters on one instance.
#[derive(Clone, Debug, Default)]
pub struct SpendTable {
    rows: HashMap<CustomerId, TableRow>,
    heard_at: MonotonicTime,
    asked_at: MonotonicTime,
}

impl SpendTable {
    /// Takes the customers of a configuration.
    pub fn set_customers<'a>(
        &mut self,
        customers: impl IntoIterator<Item = (&'a CustomerId, CustomerRate)>,
        now: MonotonicTime,
    ) {
        let mut kept = HashMap::new();
        for (customer, limits) in customers {
            let known = self.rows.remove(customer);
            let mut row = known.unwrap_or_else(|| TableRow::new(limits, now));
            row.meter.set_limits(limits);
            kept.insert(customer.clone(), row);
        }
        self.rows = kept;
    }

    /// Returns a customer's limits.
    #[must_use]
    pub fn limits(&self, customer: &CustomerId) -> Option<CustomerRate> {
        self.rows.get(customer).map(|row| row.meter.limits())
    }

    /// Admits one operation of a customer; `instances` share its rate.
    ///
    /// # Errors
    ///
    /// Says what to do about it.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        instances: usize,
        now: MonotonicTime,
    ) -> Result<(), SpendRefusal> {
        let Some(row) = self.rows.get_mut(customer) else {
            return Err(SpendRefusal::UsedUp(UNKNOWN_RETRY));
        };
        row.used_at = now;
        row.meter.admit(self.heard_at, instances, now)
    }

    /// Returns what is reported to the holder in a question asked `now`: the customers that were
    /// used lately, as far as it has not answered their counts, or has to allow more.
    pub fn reports(&mut self, now: MonotonicTime) -> Vec<SpendReport> {
        let rows = self
            .rows
            .iter_mut()
            .filter(|(_, row)| now.saturating_since(row.used_at) < REPORTED_FOR && row.has_news());
        rows.map(|(customer, row)| row.report(customer, now))
            .collect()
    }

    /// Returns what is reported of the customers whose allowance is used up, to ask for more
    /// at once.
    pub fn used_up(&mut self, now: MonotonicTime) -> Vec<SpendReport> {
        let rows = self.rows.iter_mut().filter(|(_, row)| {
            row.meter.is_used_up() && now.saturating_since(row.used_at) < WAITED_FOR
        });
        rows.map(|(customer, row)| row.report(customer, now))
            .collect()
    }

    /// Takes that the holder is another one, which has to be told all that was used lately.
    pub fn begin_anew(&mut self) {
        for row in self.rows.values_mut() {
            row.answered = None;
        }
    }

    /// Takes what the holder allows, in answer to a question asked at `asked_at`.
    pub fn take(&mut self, grants: &[SpendGrant], asked_at: MonotonicTime, now: MonotonicTime) {
        if asked_at < self.asked_at {
            return;
        }
        self.asked_at = asked_at;
        self.heard_at = asked_at;
        for grant in grants {
            if let Some(row) = self.rows.get_mut(&grant.customer) {
                row.meter.take(grant, now);
                let reported = row.reported.filter(|(at, _)| *at == asked_at);
                row.answered = reported.map(|(_, spent)| spent).or(row.answered);
            }
        }
    }
}
