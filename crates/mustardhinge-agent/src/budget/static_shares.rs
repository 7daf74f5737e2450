use std::collections::BTreeMap;
use std::time::Duration;

use mustardhinge_config::document::{CustomerEntry, LimitEntry};
use mustardhinge_core::prelude::*;
use mustardhinge_rpc::budget::{BudgetGrant, BudgetRequest};

/// How long a grant may be used.
const GRANT_VALID: Duration = Duration::from_millis(500);
/// Thousandths of a request in one request.
const MILLIS_PER_REQUEST: u64 = 1_000;
/// When to ask again for a customer that is not known.
const UNKNOWN_RETRY_MS: u32 = 1_000;

/// Lends each customer's rate and burst, divided evenly by the greatest number
/// of instances.
///
/// A grant counts against the burst until it is reported spent or has lapsed,
/// so that the entry never holds more than the share of the burst.
#[derive(Debug, Default)]
pub struct StaticShares {
    accounts: BTreeMap<(ServiceId, CustomerId), ShareAccount>,
}

#[derive(Debug)]
struct ShareAccount {
    fill_millis: u64,
    filled_at: MonotonicTime,
    lent: Vec<LentRequests>,
    last_answer: Option<(u64, u64, BudgetGrant)>,
}

#[derive(Debug)]
struct LentRequests {
    count: u32,
    lapses_at: MonotonicTime,
}

impl StaticShares {
    /// Answers a request of the entry.
    pub fn answer(
        &mut self,
        request: &BudgetRequest,
        customer: Option<(&CustomerEntry, &LimitEntry)>,
        now: MonotonicTime,
    ) -> BudgetGrant {
        let Some((customer, limits)) = customer else {
            return BudgetGrant {
                granted: 0,
                valid_ms: 0,
                retry_after_ms: UNKNOWN_RETRY_MS,
            };
        };
        let instances = u64::from(limits.max_instances.max(1));
        let share = ShareSize {
            rate_millis: customer.rate.as_millis() / instances,
            burst_millis: customer.burst.as_millis() / instances,
        };
        let key = (request.service.clone(), request.customer.clone());
        let account = self.accounts.entry(key).or_insert_with(|| ShareAccount {
            fill_millis: 0,
            filled_at: now,
            lent: Vec::new(),
            last_answer: None,
        });
        account.answer(request, share, now)
    }
}

#[derive(Clone, Copy)]
struct ShareSize {
    rate_millis: u64,
    burst_millis: u64,
}

impl ShareAccount {
    fn answer(
        &mut self,
        request: &BudgetRequest,
        share: ShareSize,
        now: MonotonicTime,
    ) -> BudgetGrant {
        if let Some((incarnation, sequence, grant)) = &self.last_answer
            && (*incarnation, *sequence) == (request.incarnation, request.sequence)
        {
            return grant.clone();
        }
        self.settle(request.spent, now);
        self.refill(share, now);
        let available = self.fill_millis / MILLIS_PER_REQUEST;
        let granted = u32::try_from(available).unwrap_or(u32::MAX);
        let granted = granted.min(request.wanted);
        self.fill_millis -= u64::from(granted) * MILLIS_PER_REQUEST;
        if granted > 0 {
            self.lent.push(LentRequests {
                count: granted,
                lapses_at: now + GRANT_VALID,
            });
        }
        let grant = BudgetGrant {
            granted,
            valid_ms: u32::try_from(GRANT_VALID.as_millis()).unwrap_or(u32::MAX),
            retry_after_ms: self.next_request_ms(share),
        };
        self.last_answer = Some((request.incarnation, request.sequence, grant.clone()));
        grant
    }

    fn settle(&mut self, mut spent: u32, now: MonotonicTime) {
        for lent in &mut self.lent {
            let settled = lent.count.min(spent);
            lent.count -= settled;
            spent -= settled;
        }
        self.lent
            .retain(|lent| lent.count > 0 && lent.lapses_at > now);
    }

    fn refill(&mut self, share: ShareSize, now: MonotonicTime) {
        let elapsed = now.saturating_since(self.filled_at);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let added = u128::from(micros) * u128::from(share.rate_millis) / 1_000_000;
        let added = u64::try_from(added).unwrap_or(u64::MAX);
        if added == 0 {
            return;
        }
        let lent: u64 = self.lent.iter().map(|lent| u64::from(lent.count)).sum();
        let room = share
            .burst_millis
            .max(MILLIS_PER_REQUEST)
            .saturating_sub(lent * MILLIS_PER_REQUEST);
        self.fill_millis = self.fill_millis.saturating_add(added).min(room);
        self.filled_at = now;
    }

    fn next_request_ms(&self, share: ShareSize) -> u32 {
        let missing = MILLIS_PER_REQUEST.saturating_sub(self.fill_millis);
        let millis = (missing * 1_000).div_ceil(share.rate_millis.max(1));
        u32::try_from(millis).unwrap_or(u32::MAX).max(1)
    }
}
