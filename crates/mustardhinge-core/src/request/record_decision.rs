use bytes::Bytes;

/// How to handle a request that carries a request id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// Run the request and write its record in the same transaction.
    Run,
    /// The request has already run: return the recorded response once a majority of the
    /// group holds the record.
    Replay(Bytes),
    /// The id was already used for different statements: refuse the request as not run.
    RefuseReuse,
    /// The record may have been deleted, so it is unknown whether the request ran: refuse it.
    RefuseExpired,
}
