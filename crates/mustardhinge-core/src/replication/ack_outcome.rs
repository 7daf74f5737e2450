use super::AckFailure;

/// The outcome of a wait for a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckOutcome {
    /// A majority holds the write in its term; it is durable.
    Acknowledged,
    /// The write may be durable or may be lost.
    Unknown(AckFailure),
}
