use super::AckFailure;

/// How the wait for a majority ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckOutcome {
    /// A majority holds the write in its term; it lasts.
    Acknowledged,
    /// The write may last or may be lost.
    Unknown(AckFailure),
}
