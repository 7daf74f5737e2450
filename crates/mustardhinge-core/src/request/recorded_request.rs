use std::time::Duration;

use bytes::Bytes;

use crate::ids::{CustomerId, RequestId};
use crate::units::LogPosition;

use super::RecordDecision;

/// The stored record of a request, written in the transaction of the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRequest {
    /// The customer; request ids are unique per customer.
    pub customer: CustomerId,
    /// The request id.
    pub request: RequestId,
    /// The digest of the statements, which detects reuse of the id for other statements.
    pub statement_digest: u64,
    /// The response to return to a retry.
    pub response: Bytes,
    /// The log position of the commit that wrote the record, or `None` while unknown.
    pub position: Option<LogPosition>,
}

impl RecordedRequest {
    /// The maximum size of a recorded response, in bytes.
    pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

    /// Decides how to handle a request with an id, given the record that the primary
    /// holds for this id.
    ///
    /// `age` is the time since the caller first sent the request, if the caller states it.
    /// From an age of `retention` on, the record may have been deleted, so a missing
    /// record does not prove that the request has not run.
    #[must_use]
    pub fn decide(
        found: Option<&Self>,
        statement_digest: u64,
        age: Option<Duration>,
        retention: Duration,
    ) -> RecordDecision {
        match found {
            Some(record) if record.statement_digest != statement_digest => {
                RecordDecision::RefuseReuse
            }
            Some(record) => RecordDecision::Replay(record.response.clone()),
            None if age.is_some_and(|age| age >= retention) => RecordDecision::RefuseExpired,
            None => RecordDecision::Run,
        }
    }
}
