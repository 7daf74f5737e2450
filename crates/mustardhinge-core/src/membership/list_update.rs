use crate::ids::TargetId;

/// What an instance sends to another one that has an earlier version of its list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list.
    Whole,
    /// The present entries of these targets; those without an entry were removed.
    Changes(Vec<TargetId>),
}
