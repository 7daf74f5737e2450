/// Whether a connection can carry a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseVerdict {
    /// The connection is idle and responded recently.
    Ready,
    /// The connection reached the idle limit: validate it with a short exchange first.
    ValidateFirst,
    /// The connection is busy, opening, overdue or closed.
    Unusable,
}
