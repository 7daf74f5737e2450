use std::collections::BTreeMap;
use std::time::Duration;

use super::customer_ledger::CustomerLedger;
use super::{ShareMove, ZoneShare};
use crate::budget::{BudgetLimit, ShareFraction};
use crate::ids::{CustomerId, ZoneId};
use crate::units::MonotonicTime;

/// Moves parts of a zone's share to zones whose entries keep requesting grants from
/// it.
#[derive(Clone, Debug)]
pub(crate) struct MovePlanner {
    next_at: MonotonicTime,
}

impl MovePlanner {
    /// The interval between two plans.
    const PLAN_PERIOD: Duration = Duration::from_secs(10);
    /// The smallest move that is worth a write, in millionths.
    const MIN_MOVE_MILLIONTHS: u32 = 50_000;
    /// The burst that a move leaves to a zone, in thousandths of a request.
    const MIN_BURST_MILLIS: u64 = 2_000;

    pub(crate) const fn new() -> Self {
        Self {
            next_at: MonotonicTime::from_micros(0),
        }
    }

    /// Returns whether a plan is due, and then schedules the next one.
    pub(crate) fn start_plan(&mut self, now: MonotonicTime) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + Self::PLAN_PERIOD;
        }
        is_due
    }

    /// Returns the moves that shift remote demand to the share of the requesting zone,
    /// and subtracts them from the ledgers.
    pub(crate) fn plan(
        zone: &ZoneId,
        share: &ZoneShare,
        floor: ShareFraction,
        ledgers: &mut BTreeMap<CustomerId, CustomerLedger>,
        now: MonotonicTime,
    ) -> Vec<ShareMove> {
        let mut moves = Vec::new();
        for (customer, ledger) in ledgers {
            let flexible = share.flexible_of(customer);
            let Some((to, fraction)) = remote_demand(zone, ledger, now) else {
                continue;
            };
            let fraction = fraction.min(movable_fraction(ledger.get_whole(), floor, flexible));
            let remaining = floor.checked_add(flexible.saturating_sub(fraction));
            let remaining = remaining.unwrap_or_default();
            if fraction.as_millionths() < Self::MIN_MOVE_MILLIONTHS
                || !ledger.covers_outstanding(remaining, now)
            {
                continue;
            }
            ledger.set_fraction(remaining, now);
            moves.push(ShareMove {
                customer: customer.clone(),
                from: zone.clone(),
                to,
                fraction,
            });
        }
        moves
    }
}

/// Returns the other zone with the highest demand for a customer's share, and that
/// demand as a fraction of the customer's rate.
fn remote_demand(
    zone: &ZoneId,
    ledger: &CustomerLedger,
    now: MonotonicTime,
) -> Option<(ZoneId, ShareFraction)> {
    let (remote_zone, per_second) = ledger.demand.highest_remote(zone, now)?;
    let rate = ledger.get_whole().rate.as_millis();
    if rate == 0 {
        return None;
    }
    let remote_rate = (per_second * 1_000.0) as u64;
    let whole = u64::from(ShareFraction::WHOLE.as_millionths());
    let millionths = remote_rate.min(rate).saturating_mul(whole) / rate;
    let millionths = u32::try_from(millionths).unwrap_or(u32::MAX);
    Some((remote_zone, ShareFraction::from_millionths(millionths)))
}

/// Returns the flexible part that can move while the zone keeps its minimum burst.
fn movable_fraction(
    whole: BudgetLimit,
    floor: ShareFraction,
    flexible: ShareFraction,
) -> ShareFraction {
    let burst = whole.burst.as_millis();
    if burst == 0 {
        return ShareFraction::NONE;
    }
    let millionths = u64::from(ShareFraction::WHOLE.as_millionths());
    let kept = MovePlanner::MIN_BURST_MILLIS.saturating_mul(millionths) / burst;
    let kept = ShareFraction::from_millionths(u32::try_from(kept).unwrap_or(u32::MAX));
    let kept_flexible = kept.saturating_sub(floor);
    flexible.saturating_sub(kept_flexible)
}
