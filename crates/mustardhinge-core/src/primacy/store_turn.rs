use std::time::Duration;

use crate::ids::InstanceId;
use crate::membership::member_hash;

/// The started instances read the record of the leader over this time, unless one is asked
/// for it before: the first ones tell the others.
const FIRST_SPREAD: Duration = Duration::from_millis(300);
/// As many instances may read the store as often as they like; more take turns.
const READERS: usize = 64;
/// At most this many times more seldom does each of a large fleet read.
const MOST_TURNS: u32 = 8;
/// Over this time the instances of a large fleet begin to watch the store themselves when they
/// hear of no leader: outages of the leader are usually over by then.
const WATCH_SPREAD: Duration = Duration::from_millis(2_000);
/// Instances whose watches need no turns.
const WATCHERS: usize = 16;

/// An instance's turn at the platform's store when nobody says what is in it.
///
/// Load pattern: hundreds of instances are started at once, or lose their leader in the same
/// moment. Each call is paid for and counts to the fleet's rate, and what one of them reads helps
/// all. They read one after the other, in an order that differs with each life of a process, until
/// the word of those who have read is there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreTurn {
    place: f64,
}

impl StoreTurn {
    /// Makes the turn of an instance in one life of its process.
    #[must_use]
    pub fn new(instance: &InstanceId, incarnation: u64) -> Self {
        let hash = member_hash(&incarnation.to_le_bytes(), instance.as_str().as_bytes());
        Self {
            // 53 bits fill a double exactly.
            place: (hash >> 11) as f64 / (1_u64 << 53) as f64,
        }
    }

    /// Returns how long after its start the instance reads for the first time.
    #[must_use]
    pub fn first_read(&self) -> Duration {
        FIRST_SPREAD.mul_f64(self.place)
    }

    /// Returns how many times more seldom each of `instances` reads than it would alone.
    #[must_use]
    pub fn stretch(instances: usize) -> u32 {
        let stretch = instances.div_ceil(READERS);
        u32::try_from(stretch).map_or(MOST_TURNS, |stretch| stretch.clamp(1, MOST_TURNS))
    }

    /// Returns how long the instance, one of `instances`, waits before it reads again what it
    /// reads each `every` alone.
    #[must_use]
    pub fn next_read(&self, every: Duration, instances: usize) -> Duration {
        (every * (Self::stretch(instances) - 1)).mul_f64(self.place)
    }

    /// Returns how long the instance, one of `instances`, waits before it watches the store.
    #[must_use]
    pub fn watch(&self, instances: usize) -> Duration {
        if instances <= WATCHERS {
            Duration::ZERO
        } else {
            WATCH_SPREAD.mul_f64(self.place)
        }
    }
}
