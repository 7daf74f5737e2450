use std::collections::BTreeMap;
use std::time::Duration;

use super::customer_book::CustomerBook;
use super::{ShareMove, ZoneShare};
use crate::budget::{BudgetLimit, ShareParts};
use crate::ids::{CustomerId, ZoneId};
use crate::units::MonotonicTime;

/// Decides when parts of a zone's share move to zones that keep borrowing them,
/// and which.
#[derive(Clone, Debug)]
pub(crate) struct MovePlanner {
    next_at: MonotonicTime,
}

impl MovePlanner {
    /// The time between two plans.
    const PERIOD: Duration = Duration::from_secs(10);
    /// Less than this is not worth a write, in millionths.
    const LEAST_MOVE: u32 = 50_000;
    /// The burst that a zone keeps, in thousandths of a request.
    const LEAST_BURST: u64 = 2_000;

    pub(crate) const fn new() -> Self {
        Self {
            next_at: MonotonicTime::from_micros(0),
        }
    }

    /// Returns whether it is time for a plan; the next one is due a period later.
    pub(crate) fn start_plan(&mut self, now: MonotonicTime) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + Self::PERIOD;
        }
        is_due
    }

    /// Returns the moves that make each borrowing zone's own share serve what it
    /// borrows here, and takes them off the books.
    pub(crate) fn plan(
        zone: &ZoneId,
        share: &ZoneShare,
        floor: ShareParts,
        books: &mut BTreeMap<CustomerId, CustomerBook>,
        now: MonotonicTime,
    ) -> Vec<ShareMove> {
        let mut moves = Vec::new();
        for (customer, book) in books {
            let flexible = share.flexible_of(customer);
            let Some((to, parts)) = borrowed_parts(zone, book, now) else {
                continue;
            };
            let parts = parts.min(movable(book.get_whole(), floor, flexible));
            let rest = floor.checked_add(flexible.saturating_sub(parts));
            let rest = rest.unwrap_or_default();
            if parts.as_millionths() < Self::LEAST_MOVE || !book.fits_into(rest, now) {
                continue;
            }
            book.set_parts(rest, now);
            moves.push(ShareMove {
                customer: customer.clone(),
                from: zone.clone(),
                to,
                parts,
            });
        }
        moves
    }
}

/// Returns the zone that borrows most of a customer's share, and the part of the
/// whole that this comes to.
fn borrowed_parts(
    zone: &ZoneId,
    book: &CustomerBook,
    now: MonotonicTime,
) -> Option<(ZoneId, ShareParts)> {
    let (borrower, per_second) = book.demand.highest_remote(zone, now)?;
    let rate = book.get_whole().rate.as_millis();
    if rate == 0 {
        return None;
    }
    let borrowed = (per_second * 1_000.0) as u64;
    let whole = u64::from(ShareParts::WHOLE.as_millionths());
    let millionths = borrowed.min(rate).saturating_mul(whole) / rate;
    let millionths = u32::try_from(millionths).unwrap_or(u32::MAX);
    Some((borrower, ShareParts::from_millionths(millionths)))
}

/// Returns the flexible parts that can go without leaving too small a burst.
fn movable(whole: BudgetLimit, floor: ShareParts, flexible: ShareParts) -> ShareParts {
    let burst = whole.burst.as_millis();
    if burst == 0 {
        return ShareParts::NONE;
    }
    let millionths = u64::from(ShareParts::WHOLE.as_millionths());
    let kept = MovePlanner::LEAST_BURST.saturating_mul(millionths) / burst;
    let kept = ShareParts::from_millionths(u32::try_from(kept).unwrap_or(u32::MAX));
    let kept_flexible = kept.saturating_sub(floor);
    flexible.saturating_sub(kept_flexible)
}
