use std::collections::HashMap;
use std::time::Duration;

use super::{AllowanceGrant, CustomerAllowance, CustomerRate, RateRefusal, UsageReport};
use crate::ids::CustomerId;
use crate::units::MonotonicTime;

/// A change is reported for this long, so that a few lost reports do no harm.
const REPORT_WINDOW: Duration = Duration::from_secs(2);
/// An operation that needs more than is allowed waits for it about this long.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// When to come back for a customer that the configuration doesn't name.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct AllowanceEntry {
    allowance: CustomerAllowance,
    used_at: MonotonicTime,
    /// When it was reported last, and what was spent then.
    reported: Option<(MonotonicTime, u64)>,
    /// What was spent by the last report that the holder answered.
    acknowledged: Option<u64>,
}

impl AllowanceEntry {
    fn new(limits: CustomerRate, now: MonotonicTime) -> Self {
        Self {
            allowance: CustomerAllowance::new(limits, now),
            used_at: now,
            reported: None,
            acknowledged: None,
        }
    }

    fn report(&mut self, customer: &CustomerId, now: MonotonicTime) -> UsageReport {
        let spent = self.allowance.spent();
        self.reported = Some((now, spent));
        UsageReport {
            customer: customer.clone(),
            spent,
            last_fill: self.allowance.last_fill(),
        }
    }

    /// Returns whether the holder has something to learn of it, or to say.
    fn needs_report(&self) -> bool {
        self.acknowledged != Some(self.allowance.spent()) || self.allowance.is_exhausted()
    }
}

/// All customers' meters on one instance.
#[derive(Clone, Debug, Default)]
pub struct AllowanceTable {
    entries: HashMap<CustomerId, AllowanceEntry>,
    last_response_at: MonotonicTime,
    newest_request_at: MonotonicTime,
}

impl AllowanceTable {
    /// Takes the customers of a configuration.
    pub fn set_customers<'a>(
        &mut self,
        customers: impl IntoIterator<Item = (&'a CustomerId, CustomerRate)>,
        now: MonotonicTime,
    ) {
        let mut kept = HashMap::new();
        for (customer, limits) in customers {
            let known = self.entries.remove(customer);
            let mut entry = known.unwrap_or_else(|| AllowanceEntry::new(limits, now));
            entry.allowance.set_limits(limits);
            kept.insert(customer.clone(), entry);
        }
        self.entries = kept;
    }

    /// Returns a customer's limits.
    #[must_use]
    pub fn limits(&self, customer: &CustomerId) -> Option<CustomerRate> {
        self.entries
            .get(customer)
            .map(|entry| entry.allowance.limits())
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
    ) -> Result<(), RateRefusal> {
        let Some(entry) = self.entries.get_mut(customer) else {
            return Err(RateRefusal::Exhausted(UNKNOWN_RETRY));
        };
        entry.used_at = now;
        entry.allowance.admit(self.last_response_at, instances, now)
    }

    /// Returns what is reported to the holder in a question asked `now`: the customers that were
    /// used lately, as far as it has not answered their counts, or has to allow more.
    pub fn reports(&mut self, now: MonotonicTime) -> Vec<UsageReport> {
        let entries = self.entries.iter_mut().filter(|(_, entry)| {
            now.saturating_since(entry.used_at) < REPORT_WINDOW && entry.needs_report()
        });
        entries
            .map(|(customer, entry)| entry.report(customer, now))
            .collect()
    }

    /// Returns what is reported of the customers whose allowance is used up, to ask for more
    /// at once.
    pub fn exhausted_reports(&mut self, now: MonotonicTime) -> Vec<UsageReport> {
        let entries = self.entries.iter_mut().filter(|(_, entry)| {
            entry.allowance.is_exhausted() && now.saturating_since(entry.used_at) < MAX_WAIT
        });
        entries
            .map(|(customer, entry)| entry.report(customer, now))
            .collect()
    }

    /// Takes that the holder is another one, which has to be told all that was used lately.
    pub fn resend_all(&mut self) {
        for entry in self.entries.values_mut() {
            entry.acknowledged = None;
        }
    }

    /// Takes what the holder allows, in answer to a question asked at `asked_at`.
    pub fn apply_grants(
        &mut self,
        grants: &[AllowanceGrant],
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        if requested_at < self.newest_request_at {
            return;
        }
        self.newest_request_at = requested_at;
        self.last_response_at = requested_at;
        for grant in grants {
            if let Some(entry) = self.entries.get_mut(&grant.customer) {
                entry.allowance.apply_grant(grant, now);
                let reported = entry.reported.filter(|(at, _)| *at == requested_at);
                entry.acknowledged = reported.map(|(_, spent)| spent).or(entry.acknowledged);
            }
        }
    }
}
