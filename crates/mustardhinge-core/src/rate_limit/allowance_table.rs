use std::collections::HashMap;
use std::time::Duration;

use super::{AllowanceGrant, CustomerAllowance, CustomerRate, RateRefusal, UsageReport};
use crate::ids::CustomerId;
use crate::units::MonotonicTime;

/// Time after the last operation for which a customer is reported, so that a few lost reports
/// do no harm.
const REPORT_WINDOW: Duration = Duration::from_secs(2);
/// Approximate maximum time for which an operation waits for a larger allowance.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Retry delay for a customer that is not in the configuration.
const UNKNOWN_RETRY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct AllowanceEntry {
    allowance: CustomerAllowance,
    used_at: MonotonicTime,
    /// The time and the count of the last report.
    reported: Option<(MonotonicTime, u64)>,
    /// The count of the last report that the leader acknowledged.
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

    /// Returns whether the leader has not acknowledged the count, or has to grant more.
    fn needs_report(&self) -> bool {
        self.acknowledged != Some(self.allowance.spent()) || self.allowance.is_exhausted()
    }
}

/// The allowances of all customers on one instance.
#[derive(Clone, Debug, Default)]
pub struct AllowanceTable {
    entries: HashMap<CustomerId, AllowanceEntry>,
    last_response_at: MonotonicTime,
    newest_request_at: MonotonicTime,
}

impl AllowanceTable {
    /// Sets the customers of a configuration and their limits.
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

    /// Returns the limits of a customer.
    #[must_use]
    pub fn limits(&self, customer: &CustomerId) -> Option<CustomerRate> {
        self.entries
            .get(customer)
            .map(|entry| entry.allowance.limits())
    }

    /// Admits one operation of a customer whose rate is shared by `instances` instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the customer is unknown or its allowance is exhausted.
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

    /// Returns the reports for a request to the leader at `now`: recently active customers whose
    /// count the leader has not acknowledged or whose allowance is exhausted.
    pub fn reports(&mut self, now: MonotonicTime) -> Vec<UsageReport> {
        let entries = self.entries.iter_mut().filter(|(_, entry)| {
            now.saturating_since(entry.used_at) < REPORT_WINDOW && entry.needs_report()
        });
        entries
            .map(|(customer, entry)| entry.report(customer, now))
            .collect()
    }

    /// Returns the reports for an immediate request: customers with an exhausted allowance for
    /// which an operation may be waiting.
    pub fn exhausted_reports(&mut self, now: MonotonicTime) -> Vec<UsageReport> {
        let entries = self.entries.iter_mut().filter(|(_, entry)| {
            entry.allowance.is_exhausted() && now.saturating_since(entry.used_at) < MAX_WAIT
        });
        entries
            .map(|(customer, entry)| entry.report(customer, now))
            .collect()
    }

    /// Clears all acknowledgements for a new leader, so that all recently active customers are
    /// reported again.
    pub fn resend_all(&mut self) {
        for entry in self.entries.values_mut() {
            entry.acknowledged = None;
        }
    }

    /// Applies the grants received in response to a request sent at `requested_at`.
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
