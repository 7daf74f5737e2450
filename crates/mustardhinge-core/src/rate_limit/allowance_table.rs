use std::collections::HashMap;
use std::time::Duration;

use super::customer_allowance::{ISOLATED_AFTER, SHARE_VALIDITY};
use super::response_delay::ResponseDelay;
use super::{
    AdmissionContext, AllowanceGrant, AllowancePreview, AllowanceSource, CustomerAllowance,
    CustomerDeposit, CustomerRate, LeaderDelays, RateRefusal, ShareAmount, UsageReport,
};
use crate::ids::CustomerId;
use crate::overload::OverloadControl;
use crate::units::MonotonicTime;

/// Time after the last operation for which a customer is reported, so that a few lost reports
/// do no harm.
const REPORT_WINDOW: Duration = Duration::from_secs(2);
/// Approximate maximum time for which an operation waits for a larger allowance.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Time after the start of the process for which operations may wait for the first grant; a
/// started instance usually finds the leader within half a second.
const FIRST_GRANT_WINDOW: Duration = Duration::from_millis(1_500);
/// Time without a response of the leader after which it is overdue: the interval between two
/// requests and many round trips.
const LEADER_OVERDUE_AFTER: Duration = Duration::from_millis(550);
/// Time after a customer's last operation for which the instance keeps whole operations of it
/// instead of lending them.
const IDLE_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of customers in one deposit, about 25 kB; a datagram carries 64 kB. The next
/// deposits hold the others.
const MAX_DEPOSITS: usize = 1_000;
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

    /// Admits one operation, unless it has to wait `first_grant_left` for the first grant.
    fn admit(
        &mut self,
        first_grant_left: Option<Duration>,
        context: AdmissionContext,
        now: MonotonicTime,
    ) -> Result<AllowanceSource, RateRefusal> {
        self.used_at = now;
        match first_grant_left {
            Some(left) => Err(RateRefusal::AwaitFirstGrant(left)),
            None => self.allowance.admit(context, now),
        }
    }

    fn report(
        &mut self,
        customer: &CustomerId,
        is_isolated: bool,
        now: MonotonicTime,
    ) -> UsageReport {
        let spent = self.allowance.spent();
        self.reported = Some((now, spent));
        UsageReport {
            customer: customer.clone(),
            spent,
            last_fill: self.allowance.reported_fill(is_isolated),
            granted_fill: self.allowance.granted_fill(),
            share: self.allowance.reported_share(),
        }
    }

    /// Returns the time after the last operation for which the customer is reported. A new leader
    /// also learns of customers whose share of an earlier leader would still be valid.
    fn report_window(&self, overload: OverloadControl) -> Duration {
        if overload.is_on() && self.acknowledged.is_none() && self.allowance.last_fill().is_some() {
            SHARE_VALIDITY
        } else {
            REPORT_WINDOW
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
    overload: OverloadControl,
    started_at: MonotonicTime,
    has_response: bool,
    response_delay: ResponseDelay,
}

impl AllowanceTable {
    /// Creates the table of a process that started at `started_at`.
    #[must_use]
    pub fn starting_at(started_at: MonotonicTime) -> Self {
        Self {
            started_at,
            ..Self::default()
        }
    }

    /// Sets whether overload control is in force.
    pub const fn set_overload_control(&mut self, overload: OverloadControl) {
        self.overload = overload;
    }

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

    /// Returns the time until the instance counts as isolated unless the leader answers.
    #[must_use]
    pub fn time_until_isolated(&self, now: MonotonicTime) -> Duration {
        let isolated_at = self.last_response_at + ISOLATED_AFTER;
        isolated_at.saturating_since(now)
    }

    /// Returns the expected time until the leader's next response, as measured and at most 100 ms.
    #[must_use]
    pub fn time_until_response(&self, now: MonotonicTime) -> Duration {
        self.response_delay.until_next(now)
    }

    /// Returns when the instance expects the leader's next response, and when it counts as isolated
    /// without one.
    #[must_use]
    pub fn leader_delays(&self, now: MonotonicTime) -> LeaderDelays {
        LeaderDelays {
            until_isolated: self.time_until_isolated(now),
            until_response: self.time_until_response(now),
        }
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
    ) -> Result<AllowanceSource, RateRefusal> {
        let context = self.context(self.overload, instances);
        let first_grant_left = self.first_grant_left(self.overload, now);
        let Some(entry) = self.entries.get_mut(customer) else {
            return Err(RateRefusal::Exhausted(UNKNOWN_RETRY));
        };
        entry.admit(first_grant_left, context, now)
    }

    /// Returns what [`admit`](Self::admit) would return now with this setting of overload control,
    /// and what that depends on. Nothing is used.
    #[must_use]
    pub fn preview(
        &self,
        customer: &CustomerId,
        (overload, instances): (OverloadControl, usize),
        now: MonotonicTime,
    ) -> AllowancePreview {
        let context = self.context(overload, instances);
        let mut copy = self.entries.get(customer).copied();
        let before = copy.map(|entry| entry.allowance);
        let first_grant_left = self.first_grant_left(overload, now);
        let admitted = copy
            .as_mut()
            .map_or(Err(RateRefusal::Exhausted(UNKNOWN_RETRY)), |entry| {
                entry.admit(first_grant_left, context, now)
            });
        AllowancePreview {
            admitted,
            remaining: before.map(|allowance| allowance.remaining()),
            share: before.map(|allowance| allowance.current_share(instances, now)),
            is_isolated: now > self.last_response_at + ISOLATED_AFTER,
            leader: self.leader_delays(now),
            response_age: self
                .has_response
                .then(|| now.saturating_since(self.last_response_at)),
        }
    }

    const fn context(&self, overload: OverloadControl, instances: usize) -> AdmissionContext {
        AdmissionContext {
            overload,
            last_response_at: self.last_response_at,
            instances,
        }
    }

    /// Returns how long operations may still wait for the first grant, if they may.
    fn first_grant_left(&self, overload: OverloadControl, now: MonotonicTime) -> Option<Duration> {
        let waits_until = self.started_at + FIRST_GRANT_WINDOW;
        let may_wait = overload.is_on() && !self.has_response && now < waits_until;
        may_wait.then(|| waits_until.saturating_since(now))
    }

    /// Returns an operation that was admitted out of `source` and never sent to a target.
    ///
    /// Load pattern: callers are refused because a primary or the age of replicas is unknown, and
    /// retry twice. If the refused attempts counted, a customer within its rate would be refused
    /// for its rate as well.
    pub fn release(&mut self, customer: &CustomerId, source: AllowanceSource) {
        if let Some(entry) = self.entries.get_mut(customer) {
            let reported = entry.reported.map_or(0, |(_, spent)| spent);
            entry.allowance.release(source, reported);
        }
    }

    /// Returns whether this instance admits operations within its own share of the rates, under
    /// overload control.
    #[must_use]
    pub fn uses_shares(&self, now: MonotonicTime) -> bool {
        let has_waited = self.has_response || now >= self.started_at + FIRST_GRANT_WINDOW;
        self.overload.is_on() && has_waited && now > self.last_response_at + ISOLATED_AFTER
    }

    /// Returns whether a response of the leader is overdue, so that this instance may keep the
    /// share pool of its zone. Other instances may count as isolated a little earlier.
    #[must_use]
    pub fn is_leader_overdue(&self, now: MonotonicTime) -> bool {
        self.overload.is_on() && now > self.last_response_at + LEADER_OVERDUE_AFTER
    }

    /// Takes what this instance can't use out of the buckets of all customers, to be lent to other
    /// instances. Nothing is taken where it is less than `least`.
    ///
    /// The result is empty unless the instance [uses its shares](Self::uses_shares).
    pub fn withdraw(
        &mut self,
        instances: usize,
        least: ShareAmount,
        now: MonotonicTime,
    ) -> Vec<CustomerDeposit> {
        if !self.uses_shares(now) {
            return Vec::new();
        }
        let context = AdmissionContext {
            overload: self.overload,
            last_response_at: self.last_response_at,
            instances,
        };
        let entries = self.entries.iter_mut();
        let deposits = entries.filter_map(|(customer, entry)| {
            let is_idle = now.saturating_since(entry.used_at) >= IDLE_AFTER;
            let (amount, room) = entry.allowance.withdraw(context, (is_idle, least), now)?;
            Some(CustomerDeposit {
                customer: customer.clone(),
                amount,
                room,
            })
        });
        deposits.take(MAX_DEPOSITS).collect()
    }

    /// Records how much of the deposits for these customers the share pool has accepted.
    pub fn record_accepted<'a>(
        &mut self,
        accepted: impl IntoIterator<Item = (&'a CustomerId, ShareAmount)>,
    ) {
        for (customer, amount) in accepted {
            if let Some(entry) = self.entries.get_mut(customer) {
                entry.allowance.record_accepted(amount);
            }
        }
    }

    /// Puts back deposits that the share pool has not received.
    pub fn restore<'a>(
        &mut self,
        deposits: impl IntoIterator<Item = &'a (CustomerId, ShareAmount)>,
    ) {
        for (customer, amount) in deposits {
            if let Some(entry) = self.entries.get_mut(customer) {
                entry.allowance.restore(*amount);
            }
        }
    }

    /// Adds operations borrowed from the share pool.
    pub fn add_loan(&mut self, customer: &CustomerId, operations: u32) {
        if let Some(entry) = self.entries.get_mut(customer) {
            entry.allowance.add_loan(operations);
        }
    }

    /// Returns the reports for a request to the leader at `now`: recently active customers whose
    /// count the leader has not acknowledged or whose allowance is exhausted.
    pub fn reports(&mut self, now: MonotonicTime) -> Vec<UsageReport> {
        self.response_delay.record_request(now);
        let overload = self.overload;
        let is_isolated = overload.is_on() && self.time_until_isolated(now).is_zero();
        let entries = self.entries.iter_mut().filter(|(_, entry)| {
            now.saturating_since(entry.used_at) < entry.report_window(overload)
                && entry.needs_report()
        });
        entries
            .map(|(customer, entry)| entry.report(customer, is_isolated, now))
            .collect()
    }

    /// Returns the reports for an immediate request: customers with an exhausted allowance for
    /// which an operation may be waiting.
    pub fn exhausted_reports(&mut self, now: MonotonicTime) -> Vec<UsageReport> {
        self.response_delay.record_request(now);
        let entries = self.entries.iter_mut().filter(|(_, entry)| {
            entry.allowance.is_exhausted() && now.saturating_since(entry.used_at) < MAX_WAIT
        });
        entries
            .map(|(customer, entry)| entry.report(customer, false, now))
            .collect()
    }

    /// Clears all acknowledgements for a new leader, so that all recently active customers are
    /// reported again.
    ///
    /// Under overload control, the shares of the earlier leader end as well. The new one doesn't
    /// know them and grants shares that add up to the whole rate.
    pub fn resend_all(&mut self) {
        let ended_at = self.newest_request_at;
        for entry in self.entries.values_mut() {
            entry.acknowledged = None;
            if self.overload.is_on() {
                entry.allowance.expire_share(ended_at);
            }
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
        self.has_response = true;
        self.response_delay.record_response(requested_at, now);
        for grant in grants {
            if let Some(entry) = self.entries.get_mut(&grant.customer) {
                let reported = entry.reported.filter(|(at, _)| *at == requested_at);
                let reported = reported.map(|(_, spent)| spent);
                let counted = reported.unwrap_or(entry.allowance.spent());
                entry.allowance.apply_grant(grant, counted, now);
                entry.acknowledged = reported.or(entry.acknowledged);
            }
        }
    }
}
