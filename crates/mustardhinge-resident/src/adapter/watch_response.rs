use mustardhinge_core::primary_lease::RecordRevision;

/// One change of an object that is followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectChange<T> {
    /// The object is new or has changed.
    Put(T),
    /// The object of this name is gone, or no longer makes sense.
    Removed(String),
}

/// What a watch of the store brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse<T> {
    /// Changes up to a revision, perhaps none.
    Changes {
        /// The changes in their order.
        changes: Vec<ObjectChange<T>>,
        /// From where to watch on.
        revision: RecordRevision,
    },
    /// The store has dropped this history: read everything again.
    HistoryGone,
}
