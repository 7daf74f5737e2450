use super::RecordRevision;
use crate::units::MonotonicTime;

/// An object that another writer has put in the place of the leadership record.
///
/// It does not say who the last leader was, or under which fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnreadableRecord {
    /// The revision of the object.
    pub(super) revision: RecordRevision,
    /// When this revision was first seen.
    pub(super) first_seen: MonotonicTime,
}
