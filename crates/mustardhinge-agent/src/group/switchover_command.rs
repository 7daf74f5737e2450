use mustardhinge_core::failover::SwitchoverRefusal;
use mustardhinge_core::prelude::*;
use tokio::sync::oneshot;

/// The reason why a switchover did not take place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SwitchoverError {
    /// The failover machine refused or abandoned it.
    #[error("{0}")]
    Refused(SwitchoverRefusal),
    /// This agent does not watch the group.
    #[error("not watched here")]
    NotWatched,
}

/// A command of an operator to change the primary.
#[derive(Debug)]
pub(crate) struct SwitchoverCommand {
    /// The target to promote; `None` lets the failover machine choose.
    pub(crate) successor: Option<TargetId>,
    /// Receives the outcome: the new term and primary.
    pub(crate) reply: oneshot::Sender<Result<(LeaderTerm, TargetId), SwitchoverError>>,
}
