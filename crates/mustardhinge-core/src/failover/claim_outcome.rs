use crate::units::LeaderTerm;

/// The platform's answer to the claim of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is in the store.
    Won,
    /// Another agent has claimed this term or a greater one.
    Lost {
        /// The term that is claimed.
        term: LeaderTerm,
    },
    /// The store did not answer, or its answer is in doubt.
    Unavailable,
}
