use mustardhinge_core::primary_lease::RecordRevision;

/// A change of a watched object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectChange<T> {
    /// The object was created or changed.
    Put(T),
    /// The object of this name was removed, or is no longer valid.
    Removed(String),
}

/// Response of the store to a watch request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse<T> {
    /// Changes up to a revision. Empty if there were none in time.
    Changes {
        /// The changes, in order.
        changes: Vec<ObjectChange<T>>,
        /// Revision from which to continue the watch.
        revision: RecordRevision,
    },
    /// The store no longer has this part of the history. All objects must be read again.
    HistoryGone,
}
