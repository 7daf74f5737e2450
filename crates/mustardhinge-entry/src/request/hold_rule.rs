/// Which frames of an answer wait until the statement's effect is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldRule {
    /// None: the answer is passed on as it comes.
    Nothing,
    /// CommandComplete and all that follows it.
    Completion,
    /// All.
    Everything,
}
