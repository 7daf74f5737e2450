use std::collections::VecDeque;
use std::time::Duration;

use super::{CallerSession, CallerStream};
use crate::request::{CallerRequest, HoldMode, RelayError, ReplyEnd, ReplyRelay, ReplyStep};
use crate::target::{ConnectionError, TargetLease};
use crate::wire::FrameError;

/// Result of a request on one connection.
#[derive(Debug)]
pub(super) struct TargetRun {
    /// The end of the response, or the error that interrupted it.
    pub(super) result: Result<ReplyEnd, RelayError>,
    /// Whether a part of the response was forwarded to the caller.
    pub(super) has_forwarded: bool,
}

impl<S: CallerStream> CallerSession<S> {
    /// Sends a request on a leased connection and relays the response.
    ///
    /// The wait for each frame of the target is limited to `max_wait`.
    pub(super) async fn run_on(
        &mut self,
        lease: &mut TargetLease,
        request: &CallerRequest,
        mode: HoldMode,
        max_wait: Duration,
    ) -> TargetRun {
        let run = self.send_and_relay(lease, request, mode, max_wait).await;
        self.cancel_slot.set_running(None);
        run
    }

    async fn send_and_relay(
        &mut self,
        lease: &mut TargetLease,
        request: &CallerRequest,
        mode: HoldMode,
        max_wait: Duration,
    ) -> TargetRun {
        let connection = lease.connection();
        let address = connection.address();
        let cancel_key = connection.cancel_key().cloned();
        self.cancel_slot
            .set_running(cancel_key.map(|key| (address, key)));
        let steps = match queue_request(lease, request) {
            Ok(steps) => steps,
            Err(error) => return failed(error),
        };
        let connection = lease.connection();
        if let Err(error) = connection.stream().flush().await {
            return failed(error);
        }
        let mut relay = ReplyRelay::new(steps, mode, max_wait);
        let result = relay.run(connection, &mut self.stream).await;
        mark_after_skipped_parse(lease, &result);
        close_idle_after_timeout(lease, &result);
        TargetRun {
            result,
            has_forwarded: relay.has_forwarded(),
        }
    }
}

fn queue_request(
    lease: &mut TargetLease,
    request: &CallerRequest,
) -> Result<VecDeque<ReplyStep>, FrameError> {
    let connection = lease.connection();
    if let Some(query) = &request.query {
        connection.stream().queue_frame(query);
    }
    match &request.batch {
        Some(plan) => plan.queue_on(connection),
        None => Ok(VecDeque::new()),
    }
}

/// Marks the connection for closing if an error skipped a Parse.
///
/// The target skips the rest of a batch after an error, so statements recorded as
/// prepared may not exist there.
fn mark_after_skipped_parse(lease: &mut TargetLease, result: &Result<ReplyEnd, RelayError>) {
    let is_prepare = |step: &ReplyStep| matches!(step, ReplyStep::Parse | ReplyStep::HiddenParse);
    let Ok(end) = result else {
        return;
    };
    if end.missing_steps.iter().any(is_prepare) {
        lease.connection().mark_for_close();
    }
}

/// Closes the idle connections to a target after a response timed out.
///
/// They may be broken as well, and each would cost a further timeout.
fn close_idle_after_timeout(lease: &TargetLease, result: &Result<ReplyEnd, RelayError>) {
    if let Err(RelayError::Target(ConnectionError::TimedOut)) = result {
        lease.pool().close_idle();
    }
}

fn failed(error: FrameError) -> TargetRun {
    TargetRun {
        result: Err(RelayError::Target(error.into())),
        has_forwarded: false,
    }
}
