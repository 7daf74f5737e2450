/// The result of offering a document to an [`AdoptionTable`](super::AdoptionTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptionOutcome {
    /// The version is newer than the known one and is now in force.
    Adopted,
    /// The version is already in force.
    Known,
    /// The version is older than the one in force and was ignored.
    Older,
}
