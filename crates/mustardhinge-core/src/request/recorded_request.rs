use std::time::Duration;

use bytes::Bytes;

use crate::ids::{CustomerId, RequestId};
use crate::units::LogPosition;

use super::RecordDecision;

/// The record of a request id, written in the request's own transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRequest {
    /// The customer; ids of different customers are different requests.
    pub customer: CustomerId,
    /// The request id.
    pub request: RequestId,
    /// The digest of the statements, so that an id is not used for others.
    pub statement_digest: u64,
    /// The answer to give again.
    pub response: Bytes,
    /// The position of the commit that wrote the record, once it is known.
    pub position: Option<LogPosition>,
}

impl RecordedRequest {
    /// The greatest size of an answer that a record keeps, in bytes.
    pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

    /// Decides what becomes of a request with an id, given what the primary
    /// holds under the id.
    ///
    /// `age` is the time since the caller first made the request, if it says;
    /// past `retention`, no record proves nothing.
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
