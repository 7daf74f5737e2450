use std::time::Duration;

/// Time after the claim of the leadership for which targets count that a restored store doesn't
/// list. Servers register again within two seconds of the store's return.
const EXPIRED_TARGET_TIME: Duration = Duration::from_secs(3);

/// Whether enough targets of a group have responded for its setup after a restore of the store.
///
/// Fewer targets may all have missed the last change of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetupQuorum {
    /// The number of targets that responded.
    pub responded: usize,
    /// The number of listed targets.
    pub listed: usize,
    /// The number of targets that were known before the restore and whose registration has expired
    /// since.
    pub expired: usize,
}

impl SetupQuorum {
    /// Returns whether the group can be set up, `since_claim` after the leader claimed.
    #[must_use]
    pub fn is_reached(self, since_claim: Duration) -> bool {
        let expired = if since_claim < EXPIRED_TARGET_TIME {
            self.expired
        } else {
            0
        };
        self.responded * 2 > self.listed + expired
    }
}
