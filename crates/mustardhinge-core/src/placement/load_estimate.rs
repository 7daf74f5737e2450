use std::time::Duration;

/// What an instance expects of the load of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadEstimate {
    /// The number of statements that run at the target or are queued for it.
    pub statements: usize,
    /// Age of the information about the statements of other instances, or the age that it usually
    /// reaches, whichever is greater. Other instances act on the same information until its end.
    pub age: Duration,
    /// Whether the target owes responses for longer than its load explains.
    pub is_silent: bool,
}
