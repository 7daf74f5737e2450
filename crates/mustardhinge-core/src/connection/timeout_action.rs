use crate::units::MonotonicTime;

/// What to do about the current timeout of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutAction {
    /// Check again at this time.
    WaitUntil(MonotonicTime),
    /// Close the connection: its response is overdue and could be taken for
    /// the response to a later request.
    Close,
}
