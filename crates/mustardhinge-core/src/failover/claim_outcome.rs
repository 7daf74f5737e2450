use crate::units::LeaderTerm;

/// The outcome of claiming a term in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The store has recorded the claim.
    Won,
    /// Another agent has claimed this term or a greater one.
    Lost {
        /// The greatest claimed term.
        term: LeaderTerm,
    },
    /// The store did not respond, or the outcome is unknown.
    Unavailable,
}
