use mustardhinge_core::prelude::*;

use super::RequestEnd;
use super::run_context::RunContext;
use crate::request::{CallerRequest, RelayError, RequestRecord};
use crate::target::ConnectionError;
use crate::wire::FrameError;

/// A request with an id and what its tries share.
pub(super) struct RecordedRun<'a> {
    pub(super) request: &'a CallerRequest,
    pub(super) context: &'a RunContext,
    pub(super) record: RequestRecord,
}

/// What became of a request with an id in one try.
pub(super) enum RecordedAttempt {
    /// The request has ended.
    Ended(RequestEnd),
    /// The primary failed or has been replaced; whether the request ran will be
    /// seen at the next one.
    PrimaryFailed,
    /// The server is not primary in this term, and nothing ran.
    NotPrimary(LeaderTerm),
}

/// Why a try broke off.
#[derive(Debug, thiserror::Error)]
pub(super) enum RecordedError {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error(transparent)]
    Relay(#[from] RelayError),
    #[error(transparent)]
    Frame(#[from] FrameError),
}
