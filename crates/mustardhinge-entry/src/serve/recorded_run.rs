use mustardhinge_core::prelude::*;

use super::RequestEnd;
use super::run_context::RunContext;
use crate::request::{CallerRequest, RelayError, RequestRecord};
use crate::target::ConnectionError;
use crate::wire::FrameError;

/// Request with an id, and the state shared by all of its attempts.
pub(super) struct RecordedRun<'a> {
    pub(super) request: &'a CallerRequest,
    pub(super) context: &'a RunContext,
    pub(super) record: RequestRecord,
}

/// Result of one attempt to run a request with an id.
pub(super) enum RecordedAttempt {
    /// The request has ended, successfully or not.
    Ended(RequestEnd),
    /// The primary failed or was replaced. The record on the next primary shows
    /// whether the request ran.
    PrimaryFailed,
    /// The server is not the primary of this term; the request did not run.
    NotPrimary(LeaderTerm),
}

/// Error that interrupted an attempt.
#[derive(Debug, thiserror::Error)]
pub(super) enum RecordedError {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error(transparent)]
    Relay(#[from] RelayError),
    #[error(transparent)]
    Frame(#[from] FrameError),
}
