use crate::units::MonotonicTime;

/// What to do while a connection owes an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutAction {
    /// Wait until this time at most.
    WaitUntil(MonotonicTime),
    /// Close the connection: its answer is overdue and would meet another
    /// request.
    Close,
}
