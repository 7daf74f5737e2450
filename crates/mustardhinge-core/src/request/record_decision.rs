use bytes::Bytes;

/// What becomes of a request that carries an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// Run it, and write its record in the same transaction.
    Run,
    /// It has run: give the recorded answer, once a majority holds the record.
    Replay(Bytes),
    /// The id was used for other statements: refuse it as not run.
    RefuseReuse,
    /// Its record may have been dropped: whether it ran is unknown.
    RefuseExpired,
}
