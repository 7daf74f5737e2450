/// Whether an idle connection may carry a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseVerdict {
    /// It answered lately: use it.
    Ready,
    /// It has been idle for long: prove it with a short exchange first.
    ValidateFirst,
    /// It is busy, overdue or not clean: do not use it.
    Unusable,
}
