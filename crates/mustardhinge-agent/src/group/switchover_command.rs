use mustardhinge_core::failover::SwitchoverRefusal;
use mustardhinge_core::prelude::*;
use tokio::sync::oneshot;

/// Why a switchover did not take place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SwitchoverError {
    /// The machine refused it or gave it up.
    #[error("{0}")]
    Refused(SwitchoverRefusal),
    /// This agent does not watch the group.
    #[error("not watched here")]
    NotWatched,
}

/// An operator's order to change the primary.
#[derive(Debug)]
pub(crate) struct SwitchoverCommand {
    /// The target to promote, if one is named.
    pub(crate) successor: Option<TargetId>,
    /// Where the outcome goes: the new term and primary.
    pub(crate) reply: oneshot::Sender<Result<(LeaderTerm, TargetId), SwitchoverError>>,
}
