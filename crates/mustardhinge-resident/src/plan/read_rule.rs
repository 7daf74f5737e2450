use std::time::Duration;

/// Which writes the reads of a route must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRule {
    /// All acknowledged writes.
    Primary,
    /// All writes acknowledged longer than this ago.
    Bounded(Duration),
    /// The session's own writes, and all writes acknowledged longer than this ago.
    Own(Duration),
}
