use crate::units::count_unit;

count_unit! {
    /// The revision of a record in the platform's store; each change increases it.
    RecordRevision, "a revision number"
}
