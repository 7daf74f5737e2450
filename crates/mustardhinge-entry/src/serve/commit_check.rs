use mustardhinge_core::prelude::*;
use mustardhinge_core::replication::AckOutcome;

use super::run_context::RunContext;
use super::{CallerSession, CallerStream, RequestEnd};
use crate::wire::WireFrame;

impl<S: CallerStream> CallerSession<S> {
    /// Waits until a majority holds the commit in its term.
    ///
    /// A commit without a position changed nothing. For such a commit, a round of
    /// reports from the servers confirms that it read the newest rows.
    pub(super) async fn confirm(
        &self,
        context: &RunContext,
        primary: &TargetId,
        position: Option<LogPosition>,
        held: Vec<WireFrame>,
    ) -> RequestEnd {
        let group = context.service.group();
        let Some(position) = position else {
            return match group.floor().await {
                Some(_) => RequestEnd::Responded(held),
                None => RequestEnd::unknown("no majority of the group's servers answers"),
            };
        };
        match group.acknowledge(primary.clone(), position).await {
            AckOutcome::Acknowledged => RequestEnd::Confirmed(held, position),
            AckOutcome::Unknown(failure) => {
                let message = format!("the write is not confirmed: {}", failure.label());
                RequestEnd::unknown(&message)
            }
        }
    }
}
