use serde::{Deserialize, Serialize};

use crate::primary_lease::RecordRevision;

/// Version of a set of evacuated zones: the store's revision up to which it is known, and a digest
/// of the zones.
///
/// The revision grows with each change of any object, so instances with an equal set may have
/// different ones. The digest shows that nothing has to be fetched then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationVersion {
    /// The revision up to which changes are included.
    pub revision: RecordRevision,
    /// The digest of the zones.
    pub digest: u64,
}

impl EvacuationVersion {
    /// Returns whether nothing was read or received yet.
    #[must_use]
    pub fn is_initial(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether this set is another and newer one than `known`.
    #[must_use]
    pub fn is_newer_than(&self, known: &Self) -> bool {
        self.digest != known.digest && self.revision > known.revision
    }
}
