use std::cmp::Reverse;
use std::time::Duration;

use super::ledger_account::{LedgerAccount, RequestedAmounts};
use super::{Admission, ClientId, DemandMeter, LedgerRequest, LedgerResponse, RequestAmount};
use crate::ids::ZoneId;
use crate::outcome::RetryDelay;
use crate::units::MonotonicTime;

/// The grants that an entry holds for one customer.
///
/// Admits requests from these grants and requests more: first from the ledger of the
/// entry's own zone, then from those of the other zones. Refuses a request only if
/// none of them grants it.
#[derive(Clone, Debug)]
pub struct EntryAllowance {
    client: ClientId,
    own_zone: ZoneId,
    accounts: Vec<LedgerAccount>,
    demand: DemandMeter,
    last_demand_at: MonotonicTime,
}

impl EntryAllowance {
    /// Demand expected within this time is prefetched.
    const PREFETCH_WINDOW: Duration = Duration::from_millis(20);
    /// If the own zone's ledger has less available, the ledger with the most available
    /// gets the request.
    const LOW_WATERMARK: RequestAmount = RequestAmount::from_requests(3);
    /// The time constant of the demand average.
    const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);
    /// Unused grants are returned after this time without demand.
    const IDLE_RETURN_DELAY: Duration = Duration::from_millis(50);
    /// The time until the next request to a ledger that did not respond.
    const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

    /// Creates an allowance without grants; `other_zones` are tried in their order.
    #[must_use]
    pub fn new(
        client: ClientId,
        own_zone: ZoneId,
        other_zones: impl IntoIterator<Item = ZoneId>,
        now: MonotonicTime,
    ) -> Self {
        let zones = std::iter::once(own_zone.clone()).chain(other_zones);
        Self {
            client,
            own_zone,
            accounts: zones.map(LedgerAccount::new).collect(),
            demand: DemandMeter::new(Self::DEMAND_TIME_CONSTANT, now),
            last_demand_at: now,
        }
    }

    /// Decides about a new request.
    pub fn try_admit(&mut self, now: MonotonicTime) -> Admission {
        self.demand.count(1, now);
        self.last_demand_at = now;
        self.retry_admit(now)
    }

    /// Decides again about a request that waited for a grant.
    pub fn retry_admit(&mut self, now: MonotonicTime) -> Admission {
        if self.usable(now) >= RequestAmount::ONE {
            self.spend_one(now);
            return Admission::Admitted;
        }
        if self.may_request(now) {
            return Admission::NeedsGrant;
        }
        Admission::Refused {
            retry_after: self.retry_after(now),
        }
    }

    /// Returns the request to send now, if any, with the zone of its ledger.
    ///
    /// `waiting` is the number of client requests that wait for budget.
    pub fn next_request(
        &mut self,
        waiting: u32,
        now: MonotonicTime,
    ) -> Option<(ZoneId, LedgerRequest)> {
        let amounts = self.amounts(waiting, now);
        let index = self.choose_ledger(amounts, now)?;
        let account = &mut self.accounts[index];
        let is_own = index == 0;
        let amounts = RequestedAmounts {
            wanted: if is_own {
                amounts.wanted
            } else {
                amounts.waiting
            },
            ..amounts
        };
        let request = account.make_request(&self.client, &self.own_zone, amounts, now);
        Some((account.get_zone().clone(), request))
    }

    /// Handles the response of a ledger. Ignores it if the request is no longer pending.
    pub fn on_response(&mut self, zone: &ZoneId, response: &LedgerResponse, now: MonotonicTime) {
        if let Some(account) = self.account_mut(zone) {
            account.on_response(response, now);
        }
    }

    /// Handles a request to a ledger that failed or timed out.
    pub fn on_failure(&mut self, zone: &ZoneId, sequence: u64, now: MonotonicTime) {
        if let Some(account) = self.account_mut(zone) {
            account.on_failure(sequence, Self::FAILURE_BACKOFF, now);
        }
    }

    /// Returns the amount that can be spent now without a further grant.
    #[must_use]
    pub fn usable(&self, now: MonotonicTime) -> RequestAmount {
        self.accounts
            .iter()
            .map(|account| account.usable(now))
            .sum()
    }

    fn account_mut(&mut self, zone: &ZoneId) -> Option<&mut LedgerAccount> {
        self.accounts
            .iter_mut()
            .find(|account| account.get_zone() == zone)
    }

    fn may_request(&self, now: MonotonicTime) -> bool {
        self.accounts
            .iter()
            .any(|account| account.is_pending() || !account.is_backing_off(now))
    }

    fn retry_after(&self, now: MonotonicTime) -> RetryDelay {
        let soonest = self
            .accounts
            .iter()
            .map(LedgerAccount::get_backoff_until)
            .min();
        RetryDelay::new(soonest.unwrap_or_default().saturating_since(now))
    }

    /// Spends one request, from the grants of several ledgers if necessary.
    fn spend_one(&mut self, now: MonotonicTime) {
        let mut missing = RequestAmount::ONE;
        for account in &mut self.accounts {
            missing = missing.saturating_sub(account.spend(missing, now));
        }
    }

    /// Decides which amounts to hold and to request.
    ///
    /// A fraction of a request is returned if no request waits for it: combined with
    /// other fractions it may admit a request at another entry.
    fn amounts(&self, waiting: u32, now: MonotonicTime) -> RequestedAmounts {
        let usable = self.usable(now);
        let is_idle = now.saturating_since(self.last_demand_at) >= Self::IDLE_RETURN_DELAY;
        let is_fraction = waiting == 0 && usable < RequestAmount::ONE;
        let returns_held = is_idle || is_fraction;
        let waiting = RequestAmount::from_requests(u64::from(waiting)).saturating_sub(usable);
        let expected = if is_idle {
            0
        } else {
            self.expected_demand(now)
        };
        let prefetch = RequestAmount::from_requests(expected).saturating_sub(usable);
        RequestedAmounts {
            held: if returns_held {
                RequestAmount::ZERO
            } else {
                RequestAmount::MAX
            },
            waiting,
            wanted: waiting.saturating_add(prefetch),
        }
    }

    fn expected_demand(&self, now: MonotonicTime) -> u64 {
        u64::from(self.demand.expected_in(Self::PREFETCH_WINDOW, now))
    }

    /// Chooses the ledger of the next request.
    ///
    /// For waiting requests, only one request to a ledger is pending at a time. Prefetch
    /// uses the own zone's ledger only. Otherwise any ledger with an amount to return or
    /// to report is chosen.
    fn choose_ledger(&self, amounts: RequestedAmounts, now: MonotonicTime) -> Option<usize> {
        if amounts.waiting > RequestAmount::ZERO {
            let has_pending = self.accounts.iter().any(LedgerAccount::is_pending);
            return if has_pending {
                None
            } else {
                self.choose_ledger_for_waiting(now)
            };
        }
        let own = self.accounts.first()?;
        if amounts.wanted > RequestAmount::ZERO && own.may_prefetch(now) {
            return Some(0);
        }
        let must_report = |account: &LedgerAccount| {
            account.usable(now) > amounts.held || account.should_report(now)
        };
        self.accounts
            .iter()
            .position(|account| !account.is_pending() && must_report(account))
    }

    /// Chooses the ledger for requests that wait: the own zone's until it runs low, then
    /// the one with the most available.
    ///
    /// The ledgers thus run low together, and none is full while another one refuses.
    fn choose_ledger_for_waiting(&self, now: MonotonicTime) -> Option<usize> {
        let own = self.accounts.first()?;
        if !own.is_backing_off(now) && own.estimated_available(now) >= Self::LOW_WATERMARK {
            return Some(0);
        }
        let candidates = self.accounts.iter().enumerate();
        candidates
            .filter(|(_, account)| !account.is_backing_off(now))
            .max_by_key(|(index, account)| (account.estimated_available(now), Reverse(*index)))
            .map(|(index, _)| index)
    }
}
