/// What became of a document that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptionOutcome {
    /// The version is greater than the one known; it is in force from now on.
    Adopted,
    /// The version is in force already.
    Known,
    /// The version is smaller than the one in force; it was ignored.
    Older,
}
