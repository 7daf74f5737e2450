use crate::ids::TargetId;

/// The servers of one group, among which majorities are counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembers(Vec<TargetId>);

impl GroupMembers {
    /// Creates the list of servers; repeated names count once.
    #[must_use]
    pub fn new(targets: impl IntoIterator<Item = TargetId>) -> Self {
        let mut targets: Vec<_> = targets.into_iter().collect();
        targets.sort();
        targets.dedup();
        Self(targets)
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Returns the smallest number of servers that is a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Returns the index of a server in the list, or `None` if it is not a member.
    #[must_use]
    pub fn index_of(&self, target: &TargetId) -> Option<usize> {
        self.0.binary_search(target).ok()
    }

    /// Returns whether the server is a member.
    #[must_use]
    pub fn contains(&self, target: &TargetId) -> bool {
        self.index_of(target).is_some()
    }

    /// Iterates over the servers, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &TargetId> {
        self.0.iter()
    }
}
