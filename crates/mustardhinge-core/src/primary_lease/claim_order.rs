use std::time::Duration;

/// Processor time, in hundredths of a core, from which an instance claims leadership first.
const LARGE_CENTICORES: u16 = 50;
/// Processor time, in hundredths of a core, below which an instance claims leadership last. The
/// leader answers all instances: with 0.12 of a core, leaders of 300 instances lost their
/// leadership every two seconds after all processes were started.
const SMALL_CENTICORES: u16 = 25;
/// Number of ranks of large instances, of which there are few.
const LARGE_RANKS: u64 = 8;
/// Number of ranks of all other instances.
const OTHER_RANKS: u64 = 64;
/// Delay between the claims of instances of consecutive ranks, so that the first one wins
/// without a conflict.
const CLAIM_SPREAD: Duration = Duration::from_millis(15);
/// Delay of small instances, after which all large ones have claimed.
const SMALL_DELAY: Duration = Duration::from_millis(120);

/// When an instance claims a vacant leadership, relative to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimOrder {
    /// Delay that staggers the claims.
    pub(super) spread: Duration,
    /// Delay of the very first claim in a store, which needs no stagger: the first write wins.
    pub(super) first_delay: Duration,
}

impl ClaimOrder {
    /// Returns the order of instances that claim by `rank` only.
    #[must_use]
    pub const fn by_rank(rank: u32) -> Self {
        Self {
            spread: CLAIM_SPREAD.saturating_mul(rank),
            first_delay: Duration::ZERO,
        }
    }

    /// Returns the order of an instance with this processor time, in hundredths of a core.
    /// `incarnation` is a random number that differs between instances.
    #[must_use]
    pub fn for_instance(centicores: u16, incarnation: u64) -> Self {
        let ranks = if centicores >= LARGE_CENTICORES {
            LARGE_RANKS
        } else {
            OTHER_RANKS
        };
        let order = Self::by_rank(u32::try_from(incarnation % ranks).unwrap_or(0));
        if centicores >= SMALL_CENTICORES {
            return order;
        }
        Self {
            spread: order.spread + SMALL_DELAY,
            first_delay: SMALL_DELAY,
        }
    }
}
