use mustardhinge_core::prelude::*;

/// What was seen of one target's role: from how many statements on it had it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleSpan {
    /// The index of the target.
    pub target: usize,
    /// The number of statements that had reached it before.
    pub first_statement: usize,
    /// Whether it was the primary from then on.
    pub is_primary: bool,
}

/// What was seen of one group during a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedGroup {
    /// The primaries seen: index of the target, term, and when it was first seen.
    pub promotions: Vec<(usize, LeaderTerm, MonotonicTime)>,
    /// The roles seen.
    pub roles: Vec<RoleSpan>,
}

impl ObservedGroup {
    /// Returns whether a statement at a target was run by the primary.
    #[must_use]
    pub fn was_primary(&self, target: usize, statement: usize) -> bool {
        self.roles
            .iter()
            .rfind(|span| span.target == target && span.first_statement <= statement)
            .is_some_and(|span| span.is_primary)
    }
}
