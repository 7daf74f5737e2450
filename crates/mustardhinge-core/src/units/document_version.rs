use super::count_unit::count_unit;

count_unit! {
    /// The version that the platform assigned to an object; it only increases.
    DocumentVersion, "a version number"
}
