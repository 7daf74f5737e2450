use std::hash::{DefaultHasher, Hash, Hasher};

use mustardhinge_core::membership::ListVersion;
use mustardhinge_core::primary_lease::StoreEra;
use serde::{Deserialize, Serialize};

use super::TargetEntry;

/// Digest of a list of targets. Equal digests mean equal lists, except for the sequences and the
/// lengths of the cold times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetsDigest(u64);

impl TargetsDigest {
    /// Returns the digest as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the version of the list that was read in an era of the store.
    #[must_use]
    pub const fn in_era(self, era: StoreEra) -> ListVersion {
        ListVersion {
            era,
            digest: self.0,
        }
    }

    /// Returns the digest of a list. The order of the entries does not matter.
    #[must_use]
    pub fn of<'a>(entries: impl Iterator<Item = &'a TargetEntry>) -> Self {
        let mut digest = 0_u64;
        for entry in entries {
            let mut hasher = DefaultHasher::new();
            entry.hash(&mut hasher);
            digest = digest.wrapping_add(hasher.finish());
        }
        Self(digest)
    }
}
